#pragma once

#include <cstdint>
#include <functional>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap
{

class http_client;

/// Outgoing HTTP calls of a task; tests and the embedded platform substitute their own functions.
///
/// The verdict of a failure is not_run only if the request definitely never reached the server.
struct http_transport
{
    using done = std::function<void(outcome<http_response>)>;
    using call_id = std::uint64_t;

    /// Starts a call; done is called once, asynchronously, unless the call is cancelled first.
    std::function<call_id(const endpoint& to, http_request request, duration timeout, done on_done)>
        m_send;

    /// Cancels a call; it may still have run.
    std::function<void(call_id call)> m_cancel;

    /// Closes idle connections to an endpoint, which forces the next call to reconnect.
    std::function<void(const endpoint& to)> m_close_idle;
};

/// Makes a transport that uses an HTTP client; the client must outlive it.
http_transport make_transport(http_client& client);

} // namespace dragonflygap
