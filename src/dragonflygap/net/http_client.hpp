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
    bool m_reuse = true; ///< False: a new connection for every request.
    duration m_connect_timeout = 1500ms;
    duration m_idle_limit = 10s; ///< Connections idle for longer are not trusted any more.
};

/// Sends HTTP requests within a task's loop and keeps connections for later ones.
///
/// A failure's verdict is not_run if no byte was handed to a connection, else may_have_run. An
/// answer that is cut short, too large or without a length is a failure.
class http_client
{
public:
    using done = std::function<void(outcome<http_response>)>;
    using call_id = std::uint64_t;

    http_client(event_loop& loop, http_client_options options);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Starts a request; done is called once, later, within the loop, unless cancel() comes first.
    /// Waits for a free connection when the endpoint's are all in use; the timeout includes that.
    call_id send(const endpoint& to, http_request request, duration timeout, done on_done);

    /// Drops a request and its connection; done is not called. Whether it ran is unknown.
    void cancel(call_id call);

    /// Closes the idle connections of an endpoint, so that the next request opens a new one.
    void forget(const endpoint& to);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
