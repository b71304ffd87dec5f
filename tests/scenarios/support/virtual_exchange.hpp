#pragma once

#include <functional>
#include <utility>

#include "dragonflygap/net/http_server.hpp"

namespace scenarios
{

using namespace dragonflygap;

/// A caller's or operator's end of a connection.
class virtual_exchange : public http_exchange
{
public:
    using reply_hook = std::function<void(const http_response*)>;

    /// The hook gets nullptr if the daemon died without an answer.
    explicit virtual_exchange(reply_hook on_reply) : m_on_reply(std::move(on_reply)) {}
    ~virtual_exchange() override { tell(nullptr); }
    virtual_exchange(const virtual_exchange&) = delete;
    virtual_exchange& operator=(const virtual_exchange&) = delete;

    void reply(const http_response& response) override { tell(&response); }
    void on_hangup(std::function<void()> hook) override { m_hangup = std::move(hook); }

    /// The caller goes away without waiting.
    void hang_up()
    {
        tell(nullptr);
        if (const auto hook = std::exchange(m_hangup, nullptr))
            hook();
    }

private:
    void tell(const http_response* response)
    {
        if (const auto hook = std::exchange(m_on_reply, nullptr))
            hook(response);
    }

    reply_hook m_on_reply;
    std::function<void()> m_hangup;
};

} // namespace scenarios
