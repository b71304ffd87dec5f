#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap
{

class event_loop;

/// One request that waits for its answer. It may be answered once, at any later time.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends the answer; does nothing if the peer has gone or was answered already.
    virtual void reply(const http_response& response) = 0;

    /// Sets what is called when the peer closes the connection before the answer.
    virtual void on_hangup(std::function<void()> hook) = 0;
};
using http_exchange_ptr = std::shared_ptr<http_exchange>;

struct http_server_options
{
    endpoint m_listen;
    std::size_t m_max_body_bytes = 1 << 20;
    std::function<void(http_request, http_exchange_ptr)> m_handler;
};

/// Serves HTTP on one address within a task's loop; its handler may answer later.
class http_server
{
public:
    /// Throws std::runtime_error if the address can't be bound.
    http_server(event_loop& loop, http_server_options options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The port that was bound, also where the options asked for any (0).
    std::uint16_t port() const;

    /// Takes no further connections; those that are open go on.
    void stop_accepting();

    /// Takes no further connections and closes those on which nothing is asked; the others are
    /// closed after their answer.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
