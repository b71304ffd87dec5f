#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/net/connection_table.hpp"
#include "dragonflygap/net/http_limits.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap
{

class event_loop;

/// A request with a pending response, which can be sent once, at any later time.
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    /// Sends the response; no effect if one was sent already or the peer has disconnected.
    virtual void reply(const http_response& response) = 0;

    /// Sets a hook that is called if the peer closes the connection before the response.
    virtual void on_hangup(std::function<void()> hook) = 0;
};
using http_exchange_ptr = std::shared_ptr<http_exchange>;

struct http_server_options
{
    endpoint m_listen;
    std::size_t m_max_body_bytes = 1 << 20;
    std::size_t m_max_idle_connections = 1000; ///< Of more, the longest idle ones are closed.
    http_limits m_limits;
    std::function<void(http_request, http_exchange_ptr)> m_handler;
    /// Makes the response to a request that the server refuses before the handler gets it.
    std::function<http_response(const failure&)> m_refusal = failure_response;
};

/// What a server's clients use, and how often they reached a limit; totals since it was made.
struct http_server_counts
{
    std::size_t m_open = 0;           ///< Connections now.
    std::size_t m_buffered_bytes = 0; ///< Of requests and responses now.
    std::uint64_t m_failed_accepts = 0;
    std::array<std::uint64_t, http_limit_count> m_limits{};
};

/// HTTP server on one address, in the event loop of a task; the handler may reply later.
class http_server
{
public:
    /// Throws std::runtime_error if the address can't be bound.
    http_server(event_loop& loop, http_server_options options);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// The bound port, also if the options specify port 0.
    std::uint16_t port() const;

    http_server_counts counts() const;

    /// Stops accepting connections; open ones are kept.
    void stop_accepting();

    /// Stops accepting connections and closes idle ones; the others are closed after their
    /// response.
    void drain();

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
