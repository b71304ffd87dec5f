#include "dragonflygap/net/http_server.hpp"

#include <cstring>
#include <map>
#include <mutex>
#include <stdexcept>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/socket_options.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap
{

namespace
{

constexpr int idle_timeout_s = 600;
constexpr duration accept_pause = 100ms; ///< After an accept that failed.
constexpr std::size_t max_closed_per_pause = 16;

const char* method_name(evhttp_cmd_type method)
{
    switch (method)
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    default:
        return "OTHER";
    }
}

std::string read_body(evhttp_request* request)
{
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    std::string body(evbuffer_get_length(buffer), '\0');
    evbuffer_remove(buffer, body.data(), body.size());
    return body;
}

http_request read_request(evhttp_request* request)
{
    http_request result;
    result.m_method = method_name(evhttp_request_get_command(request));
    const evhttp_uri* uri = evhttp_request_get_evhttp_uri(request);
    const char* path = evhttp_uri_get_path(uri);
    if (path != nullptr)
    {
        size_t size = 0;
        char* decoded = evhttp_uridecode(path, 0, &size);
        result.m_path.assign(decoded == nullptr ? "" : decoded, decoded == nullptr ? 0 : size);
        free(decoded);
    }
    const char* query = evhttp_uri_get_query(uri);
    if (query != nullptr)
        result.m_query = query;
    for (const evkeyval* pair = evhttp_request_get_input_headers(request)->tqh_first;
         pair != nullptr; pair = pair->next.tqe_next)
        result.m_headers.push_back({pair->key, pair->value});
    result.m_body = read_body(request);
    char* ip = nullptr;
    evhttp_connection_get_peer(evhttp_request_get_connection(request), &ip, &result.m_peer.m_port);
    result.m_peer.m_ip = ip == nullptr ? "" : ip;
    return result;
}

/// Keep-alive connections without a request in progress.
class idle_connections
{
public:
    void add(evhttp_connection* connection)
    {
        if (m_idle.size() >= m_max_count)
            close_oldest(1);
        remove(connection);
        m_order[connection] = ++m_last_order;
        m_idle[m_last_order] = connection;
        evhttp_connection_set_closecb(connection, &idle_connections::on_closed, this);
    }

    void remove(evhttp_connection* connection)
    {
        const auto found = m_order.find(connection);
        if (found == m_order.end())
            return;
        m_idle.erase(found->second);
        m_order.erase(found);
    }

    /// Closes those that have been idle the longest; returns their number.
    std::size_t close_oldest(std::size_t max_count)
    {
        std::vector<evhttp_connection*> oldest;
        for (auto entry = m_idle.begin(); entry != m_idle.end() && oldest.size() < max_count;
             ++entry)
            if (!has_input(entry->second))
                oldest.push_back(entry->second);
        for (auto* connection : oldest)
            evhttp_connection_free(connection); // calls on_closed()
        return oldest.size();
    }

    void close_all() { close_oldest(m_idle.size()); }

    void set_max_count(std::size_t count) { m_max_count = count; }

private:
    static void on_closed(evhttp_connection* connection, void* self)
    {
        static_cast<idle_connections*>(self)->remove(connection);
    }

    // A request that has arrived but was not read yet still gets its response.
    static bool has_input(evhttp_connection* connection)
    {
        auto* buffered = evhttp_connection_get_bufferevent(connection);
        int bytes = 0;
        return evbuffer_get_length(bufferevent_get_input(buffered)) > 0 ||
               (ioctl(bufferevent_getfd(buffered), FIONREAD, &bytes) == 0 && bytes > 0);
    }

    std::size_t m_max_count = 0;
    std::uint64_t m_last_order = 0;
    std::map<std::uint64_t, evhttp_connection*> m_idle; ///< In the order in which they fell idle.
    std::map<evhttp_connection*, std::uint64_t> m_order;
};

/// Finds the hook of a listener, as libevent passes no argument of ours to its error callback.
class accept_error_hooks
{
public:
    void add(evconnlistener* listener, std::function<void(int error)> hook)
    {
        const std::scoped_lock lock(m_mutex);
        m_hooks[listener] = std::move(hook);
    }

    void remove(evconnlistener* listener)
    {
        const std::scoped_lock lock(m_mutex);
        m_hooks.erase(listener);
    }

    void call(evconnlistener* listener, int error)
    {
        std::function<void(int)> hook;
        {
            const std::scoped_lock lock(m_mutex);
            if (const auto found = m_hooks.find(listener); found != m_hooks.end())
                hook = found->second;
        }
        if (hook)
            hook(error);
    }

private:
    std::mutex m_mutex; ///< Servers may run in different threads.
    std::map<evconnlistener*, std::function<void(int)>> m_hooks;
};

accept_error_hooks& accept_errors()
{
    static accept_error_hooks hooks;
    return hooks;
}

struct server_state
{
    idle_connections m_idle;
    bool m_draining = false;
};

class evhttp_exchange : public http_exchange
{
public:
    evhttp_exchange(evhttp_request* request, server_state& server)
        : m_request(request), m_server(server)
    {
        evhttp_connection* connection = evhttp_request_get_connection(request);
        m_server.m_idle.remove(connection);
        evhttp_connection_set_closecb(connection, &evhttp_exchange::on_closed, this);
    }

    ~evhttp_exchange() override
    {
        if (m_request != nullptr)
            reply(failure_response(
                {verdict::may_have_run, reason::internal, "the handler sent no answer"}));
    }

    void reply(const http_response& response) override
    {
        if (m_request == nullptr)
            return;
        evhttp_request* request = std::exchange(m_request, nullptr);
        m_hangup = nullptr;
        m_close_event.reset();
        evhttp_connection_set_closecb(evhttp_request_get_connection(request), nullptr, nullptr);
        evhttp_request_set_on_complete_cb(request, &evhttp_exchange::on_written, &m_server);
        auto* headers = evhttp_request_get_output_headers(request);
        for (const auto& header : response.m_headers)
            evhttp_add_header(headers, header.m_name.c_str(), header.m_value.c_str());
        if (m_server.m_draining && evhttp_find_header(headers, "Connection") == nullptr)
            evhttp_add_header(headers, "Connection", "close");
        evbuffer_add(evhttp_request_get_output_buffer(request), response.m_body.data(),
                     response.m_body.size());
        evhttp_send_reply(request, response.m_status, nullptr, nullptr);
    }

    void on_hangup(std::function<void()> hook) override
    {
        if (m_request == nullptr)
            return;
        m_hangup = std::move(hook);
        // evhttp doesn't read while a response is pending, so on its own it would notice a closed
        // connection only when writing the response.
        evhttp_connection* connection = evhttp_request_get_connection(m_request);
        const int socket = bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
        m_close_event.reset(event_new(evhttp_connection_get_base(connection), socket, EV_CLOSED,
                                      &evhttp_exchange::on_half_closed, this));
        event_add(m_close_event.get(), nullptr);
    }

private:
    struct event_deleter
    {
        void operator()(event* owned) const { event_free(owned); }
    };

    static void on_half_closed(evutil_socket_t /*socket*/, short /*what*/, void* self)
    {
        // The connection is freed later, when the response can't be written.
        const auto hook = std::exchange(static_cast<evhttp_exchange*>(self)->m_hangup, nullptr);
        if (hook)
            hook();
    }

    static void on_written(evhttp_request* request, void* server)
    {
        static_cast<server_state*>(server)->m_idle.add(evhttp_request_get_connection(request));
    }

    static void on_closed(evhttp_connection* /*connection*/, void* self)
    {
        auto* exchange = static_cast<evhttp_exchange*>(self);
        exchange->m_request = nullptr;
        exchange->m_close_event.reset();
        const auto hook = std::exchange(exchange->m_hangup, nullptr);
        if (hook)
            hook();
    }

    evhttp_request* m_request;
    server_state& m_server; ///< Outlives all connections.
    std::function<void()> m_hangup;
    std::unique_ptr<event, event_deleter> m_close_event;
};

failure body_too_large(std::size_t limit)
{
    return {verdict::not_run, reason::body_too_large,
            "the body has more than " + std::to_string(limit) + " bytes"};
}

} // namespace

struct http_server::state
{
    explicit state(event_loop& loop) : m_loop(loop) {}

    event_loop& m_loop;
    http_server_options m_options;
    evhttp* m_http = nullptr;
    evhttp_bound_socket* m_socket = nullptr;
    event_loop::timer_ptr m_accept_timer;
    server_state m_server_state;

    evconnlistener* listener() const { return evhttp_bound_socket_get_listener(m_socket); }

    static void on_accept_error(evconnlistener* listener, void* /*http*/)
    {
        accept_errors().call(listener, EVUTIL_SOCKET_ERROR());
    }

    // Without a free descriptor the waiting connection stays readable, and the loop would spin.
    // Connections whose peers don't use them give way to it.
    void pause_accepting(int error)
    {
        const auto closed = m_server_state.m_idle.close_oldest(max_closed_per_pause);
        log_event(log_level::warning, "accept_failed",
                  {{"listen", to_string(m_options.m_listen)},
                   {"cause", evutil_socket_error_to_string(error)},
                   {"idle_closed", closed}});
        evconnlistener_disable(listener());
        m_accept_timer = m_loop.after(accept_pause, [this] { evconnlistener_enable(listener()); });
    }

    void close_listener()
    {
        m_accept_timer.reset();
        accept_errors().remove(listener());
        evhttp_del_accept_socket(m_http, std::exchange(m_socket, nullptr));
    }

    static void handle(evhttp_request* request, void* self)
    {
        auto* server = static_cast<state*>(self);
        auto exchange = std::make_shared<evhttp_exchange>(request, server->m_server_state);
        auto read = read_request(request);
        if (read.m_body.size() > server->m_options.m_max_body_bytes)
        {
            exchange->reply(failure_response(body_too_large(server->m_options.m_max_body_bytes)));
            return;
        }
        server->m_options.m_handler(std::move(read), exchange);
    }
};

http_server::http_server(event_loop& loop, http_server_options options)
    : m_state(std::make_unique<state>(loop))
{
    m_state->m_options = std::move(options);
    m_state->m_server_state.m_idle.set_max_count(m_state->m_options.m_max_idle_connections);
    m_state->m_http = evhttp_new(loop.base());
    // libevent rejects large bodies with an HTML page. Bodies of up to twice the limit are read, so
    // that the handler above can reject them with a reason.
    evhttp_set_max_body_size(m_state->m_http,
                             static_cast<ev_ssize_t>(2 * m_state->m_options.m_max_body_bytes));
    constexpr int max_headers_bytes = 16384;
    evhttp_set_max_headers_size(m_state->m_http, max_headers_bytes);
    evhttp_set_allowed_methods(m_state->m_http, EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                    EVHTTP_REQ_DELETE);
    evhttp_set_timeout(m_state->m_http, idle_timeout_s);
    evhttp_set_gencb(m_state->m_http, &state::handle, m_state.get());
    const auto& listen = m_state->m_options.m_listen;
    m_state->m_socket =
        evhttp_bind_socket_with_handle(m_state->m_http, listen.m_ip.c_str(), listen.m_port);
    if (m_state->m_socket == nullptr)
    {
        evhttp_free(m_state->m_http);
        throw std::runtime_error("can't listen on " + to_string(listen));
    }
    set_connection_options(evhttp_bound_socket_get_fd(m_state->m_socket));
    accept_errors().add(m_state->listener(),
                        [owner = m_state.get()](int error) { owner->pause_accepting(error); });
    evconnlistener_set_error_cb(m_state->listener(), &state::on_accept_error);
}

http_server::~http_server()
{
    stop_accepting();
    evhttp_free(m_state->m_http);
}

std::uint16_t http_server::port() const
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(m_state->m_socket),
                reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void http_server::stop_accepting()
{
    if (m_state->m_socket != nullptr)
        m_state->close_listener();
}

void http_server::drain()
{
    stop_accepting();
    m_state->m_server_state.m_draining = true;
    m_state->m_server_state.m_idle.close_all();
}

} // namespace dragonflygap
