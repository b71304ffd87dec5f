#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap
{

class event_loop;

struct http_client_options
{
    std::size_t m_max_body_bytes = 1 << 20;
    int m_max_connections_per_endpoint = 8;
    bool m_reuse = true; ///< If false, opens a new connection for every request.
    /// While an endpoint refuses new connections, calls wait for an open one, if there is any; new
    /// ones are tried after an exponential delay.
    bool m_delay_refused = false;
    /// Responses are read before the loop's other events are handled. Else a long one takes many
    /// rounds of a busy loop, as each round reads 4 KB of a connection.
    bool m_urgent = false;
    duration m_connect_timeout = 1500ms;
    duration m_idle_timeout = 10s; ///< Connections idle for longer are closed.
};

/// Connections of a client; the counters are totals since it was made.
struct http_client_counts
{
    std::uint64_t m_opened = 0;
    std::uint64_t m_failed = 0;         ///< Closed without a single response.
    std::uint64_t m_closed_idle = 0;    ///< Closed after the idle timeout.
    std::uint64_t m_calls_queued = 0;   ///< Calls that had to wait for a connection.
    std::size_t m_open = 0;             ///< Now, including idle ones.
    std::size_t m_idle = 0;             ///< Now.
    std::size_t m_endpoints = 0;        ///< With an open connection now.
    std::size_t m_max_per_endpoint = 0; ///< Most that are open now to one endpoint.
};

/// HTTP client with a connection pool per endpoint; runs in the event loop of a task.
///
/// The verdict of a failure is not_run if no byte was written to a connection, and none will be;
/// else may_have_run.
/// A response that is truncated, too large or of unknown length is a failure.
class http_client
{
public:
    using done = std::function<void(outcome<http_response>)>;
    using call_id = std::uint64_t;

    http_client(event_loop& loop, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a request; done is called once from the loop, unless the call is cancelled first.
    /// The timeout includes the wait for a free connection of the endpoint.
    call_id send(const endpoint& to, http_request request, duration timeout, done on_done);

    /// Cancels a call and closes its connection; done is not called. It may still have run.
    void cancel(call_id call);

    /// Closes the idle connections of an endpoint, which forces the next request to reconnect.
    void close_idle(const endpoint& to);

    http_client_counts counts() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
