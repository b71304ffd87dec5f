#include "dragonflygap/net/client_connection.hpp"

#include <utility>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/socket_options.hpp"
#include <event2/bufferevent.h>
#include <event2/http.h>

namespace dragonflygap
{

client_connection::client_connection(event_loop& loop, const endpoint& to,
                                     std::size_t max_body_bytes)
    : m_http(evhttp_connection_base_new(loop.base(), nullptr, to.m_ip.c_str(), to.m_port))
{
    evhttp_connection_set_max_body_size(m_http, static_cast<ev_ssize_t>(max_body_bytes));
    constexpr ev_ssize_t max_headers_bytes = 16384;
    evhttp_connection_set_max_headers_size(m_http, max_headers_bytes);
    constexpr int max_request_s = 2 * 3600; // the call's own timer expires earlier
    evhttp_connection_set_timeout(m_http, max_request_s);
    // evhttp fills the output buffer only once the connection is established.
    evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(m_http));
    evbuffer_add_cb(output, &client_connection::on_output_changed, this);
}

client_connection::~client_connection()
{
    if (m_http != nullptr)
        evhttp_connection_free(m_http);
}

void client_connection::reset()
{
    if (m_http == nullptr)
        return;
    reset_on_close(socket());
    evhttp_connection_free(std::exchange(m_http, nullptr));
}

// A new socket has the default priority again.
void client_connection::make_urgent()
{
    bufferevent_priority_set(evhttp_connection_get_bufferevent(m_http),
                             event_loop::urgent_priority);
}

int client_connection::socket() const
{
    return m_http == nullptr ? -1 : bufferevent_getfd(evhttp_connection_get_bufferevent(m_http));
}

void client_connection::on_output_changed(evbuffer* /*buffer*/, const evbuffer_cb_info* info,
                                          void* self)
{
    if (info->n_added > 0)
        static_cast<client_connection*>(self)->m_request_written = true;
}

} // namespace dragonflygap
