#pragma once

#include <cstdint>
#include <functional>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap
{

class http_client;

/// How a task calls out over HTTP; tests and the embedded platform put their own hooks here.
///
/// A failure's verdict is not_run only if the request certainly never reached the other side.
struct http_transport
{
    using done = std::function<void(outcome<http_response>)>;
    using call_id = std::uint64_t;

    /// Starts a call; done is called once and later, unless the call is cancelled before.
    std::function<call_id(const endpoint& to, http_request request, duration timeout, done on_done)>
        m_send;

    /// Drops a call; whether it ran is unknown.
    std::function<void(call_id call)> m_cancel;

    /// Closes idle connections to an endpoint, so that the next call opens a new one.
    std::function<void(const endpoint& to)> m_close_idle;
};

/// Calls that go through a client's connections; the client must outlive the result.
http_transport make_transport(http_client& client);

} // namespace dragonflygap
