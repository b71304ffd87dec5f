#pragma once

#include <functional>
#include <utility>

#include "dragonflygap/net/http_server.hpp"

namespace scenarios
{

using namespace dragonflygap;

/// An exchange without a socket: passes the daemon's response to a hook.
class virtual_exchange : public http_exchange
{
public:
    using reply_hook = std::function<void(const http_response*)>;

    /// The hook receives nullptr if the exchange ends without a response.
    explicit virtual_exchange(reply_hook on_reply) : m_on_reply(std::move(on_reply)) {}
    ~virtual_exchange() override { finish(nullptr); }
    virtual_exchange(const virtual_exchange&) = delete;
    virtual_exchange& operator=(const virtual_exchange&) = delete;

    void reply(const http_response& response) override { finish(&response); }
    void on_hangup(std::function<void()> hook) override { m_on_hangup = std::move(hook); }

    /// The caller closes the connection without waiting for the response.
    void hang_up()
    {
        finish(nullptr);
        if (const auto hook = std::exchange(m_on_hangup, nullptr))
            hook();
    }

private:
    void finish(const http_response* response)
    {
        if (const auto hook = std::exchange(m_on_reply, nullptr))
            hook(response);
    }

    reply_hook m_on_reply;
    std::function<void()> m_on_hangup;
};

} // namespace scenarios
