#pragma once

#include <cstddef>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/time.hpp"
#include <event2/buffer.h>

struct evhttp_connection;

namespace dragonflygap
{

class event_loop;

/// One connection of an HTTP client; it's established by the first request.
class client_connection
{
public:
    client_connection(event_loop& loop, const endpoint& to, std::size_t max_body_bytes);
    /// Closes the connection.
    ~client_connection();
    client_connection(const client_connection&) = delete;
    client_connection& operator=(const client_connection&) = delete;

    /// Closes the connection with a reset, so that bytes still in the kernel don't reach the
    /// server; nothing is written any more. Not to be called within its own callbacks.
    void reset();

    /// Lets the loop handle the connection's events before others; to be called for each socket.
    void make_urgent();

    /// -1 if the connection isn't established.
    int socket() const;

    evhttp_connection* http() const { return m_http; }

    instant m_idle_since{};
    bool m_request_written = false; ///< Bytes of the current request were written.
    bool m_answered = false;        ///< A response was received on it.

private:
    static void on_output_changed(evbuffer* buffer, const evbuffer_cb_info* info, void* self);

    evhttp_connection* m_http; ///< Null after a reset.
};

} // namespace dragonflygap
