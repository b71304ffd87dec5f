#include "dragonflygap/net/http_server.hpp"

#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_connection.hpp"
#include "dragonflygap/net/http_format.hpp"
#include "dragonflygap/net/socket_options.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap
{

namespace
{

constexpr int listen_backlog = 512;
constexpr int accepts_per_event = 16;      // other events of the loop are handled in between
constexpr duration accept_pause = 100ms;   // after an accept that failed
constexpr duration sweep_interval = 500ms; // between checks of the time limits
constexpr int retry_after_s = 1;
constexpr std::size_t max_closed_per_pause = 16;
constexpr std::size_t max_eviction_candidates = 16;

struct event_deleter
{
    void operator()(event* owned) const { event_free(owned); }
};
using event_ptr = std::unique_ptr<event, event_deleter>;

sockaddr_in to_sockaddr(const endpoint& address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.m_port);
    if (inet_pton(AF_INET, address.m_ip.c_str(), &result.sin_addr) != 1)
        throw std::runtime_error("not an IPv4 address: " + address.m_ip);
    return result;
}

endpoint to_endpoint(const sockaddr_in& address)
{
    char ip[INET_ADDRSTRLEN] = {};
    inet_ntop(AF_INET, &address.sin_addr, ip, sizeof ip);
    return {ip, ntohs(address.sin_port)};
}

int listen_on(const endpoint& address)
{
    const auto to = to_sockaddr(address);
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (listener >= 0 && bind(listener, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0 &&
        listen(listener, listen_backlog) == 0)
        return listener;
    if (listener >= 0)
        close(listener);
    throw std::runtime_error("can't listen on " + to_string(address));
}

/// Answers a connection that can't be served, without waiting for its request.
void refuse_socket(int socket, const http_response& response)
{
    const auto text = format_response(response, {.m_keep_alive = false});
    // A new socket's buffer takes the whole of it.
    send(socket, text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    close(socket);
}

} // namespace

struct http_server::state
{
    state(event_loop& loop, http_server_options options)
        : m_loop(loop),
          m_options(std::move(options)),
          m_table(m_options.m_limits, m_options.m_max_idle_connections)
    {
        m_hooks = {.m_on_phase = [this](http_connection& connection, connection_phase phase)
                   { on_phase(connection, phase); },
                   .m_hold = [this](http_connection& connection, std::size_t bytes)
                   { return hold(connection, bytes); },
                   .m_on_progress = [this](http_connection& connection)
                   { m_table.progress(connection.id(), monotonic_clock::now()); },
                   .m_on_limit = [this](http_connection& /*connection*/, http_limit limit)
                   { count(limit); },
                   .m_refusal = [this](const failure& error) { return refusal(error); },
                   .m_handle = [this](http_request request, http_exchange_ptr exchange)
                   { m_options.m_handler(std::move(request), std::move(exchange)); },
                   .m_draining = [this] { return m_draining; },
                   .m_on_closed = [this](http_connection& connection) { on_closed(connection); }};
        m_purge.reset(event_new(m_loop.base(), -1, EV_PERSIST, &state::purge, this));
    }

    event_loop& m_loop;
    http_server_options m_options;
    connection_table m_table;
    http_connection_hooks m_hooks;
    http_server_counts m_counts;
    std::unordered_map<connection_table::connection_id, std::unique_ptr<http_connection>>
        m_connections;
    /// Closed ones, whose functions may still be on the stack.
    std::vector<std::unique_ptr<http_connection>> m_closed;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    event_ptr m_accept_event;
    event_ptr m_purge;
    event_loop::timer_ptr m_accept_timer;
    event_loop::timer_ptr m_sweep_timer; ///< Only while there are connections.
    bool m_draining = false;

    void count(http_limit limit) { ++m_counts.m_limits[static_cast<std::size_t>(limit)]; }

    http_response refusal(const failure& error) const
    {
        auto response = m_options.m_refusal(error);
        if (error.m_reason == reason::overloaded)
            response.m_headers.push_back({"Retry-After", std::to_string(retry_after_s)});
        return response;
    }

    static void purge(evutil_socket_t /*socket*/, short /*what*/, void* self)
    {
        static_cast<state*>(self)->m_closed.clear();
    }

    void listen()
    {
        m_listener = listen_on(m_options.m_listen);
        set_connection_options(m_listener); // which accepted connections inherit
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        getsockname(m_listener, reinterpret_cast<sockaddr*>(&bound), &size);
        m_port = ntohs(bound.sin_port);
        m_accept_event.reset(event_new(m_loop.base(), m_listener, EV_READ | EV_PERSIST,
                                       &state::on_acceptable, this));
        event_add(m_accept_event.get(), nullptr);
    }

    void close_listener()
    {
        if (m_listener < 0)
            return;
        m_accept_timer.reset();
        m_accept_event.reset();
        close(std::exchange(m_listener, -1));
    }

    static void on_acceptable(evutil_socket_t /*socket*/, short /*what*/, void* self)
    {
        auto* server = static_cast<state*>(self);
        for (int i = 0; i < accepts_per_event && server->accept_one(); ++i)
        {
        }
    }

    bool accept_one()
    {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int socket = accept4(m_listener, reinterpret_cast<sockaddr*>(&peer), &size,
                                   SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (socket < 0)
        {
            const int error = errno;
            const bool out_of_resources =
                error == EMFILE || error == ENFILE || error == ENOBUFS || error == ENOMEM;
            if (out_of_resources)
                pause_accepting(error);
            return error == ECONNABORTED || error == EINTR;
        }
        if (m_table.full() && !evict_one())
        {
            count(http_limit::connection_refused);
            refuse_socket(socket, refusal({verdict::not_run, reason::overloaded,
                                           "this process has too many connections"}));
            return true;
        }
        const auto id = m_table.open(monotonic_clock::now());
        m_connections[id] = std::make_unique<http_connection>(
            m_loop.base(), http_connection_options{.m_socket = socket,
                                                   .m_peer = to_endpoint(peer),
                                                   .m_id = id,
                                                   .m_max_body_bytes = m_options.m_max_body_bytes,
                                                   .m_limits = &m_options.m_limits,
                                                   .m_hooks = &m_hooks});
        close_idle(m_table.excess_idle());
        if (!m_sweep_timer)
            m_sweep_timer = m_loop.every(sweep_interval, [this] { sweep(); });
        return true;
    }

    // Without a free descriptor the waiting connection stays readable, and the loop would spin.
    // Connections whose peers don't use them give way to it.
    void pause_accepting(int error)
    {
        ++m_counts.m_failed_accepts;
        const auto closed = close_idle(max_closed_per_pause);
        log_event(log_level::warning, "accept_failed",
                  {{"listen", to_string(m_options.m_listen)},
                   {"cause", std::strerror(error)},
                   {"idle_closed", closed}});
        event_del(m_accept_event.get());
        m_accept_timer =
            m_loop.after(accept_pause, [this] { event_add(m_accept_event.get(), nullptr); });
    }

    http_connection& connection(connection_table::connection_id id)
    {
        return *m_connections.at(id);
    }

    // A request that has arrived but was not read yet still gets its response.
    bool is_in_use(connection_table::connection_id id)
    {
        return m_table.phase(id) == connection_phase::idle && connection(id).has_unread_input();
    }

    std::size_t close_idle(std::size_t max_count)
    {
        std::size_t closed = 0;
        for (const auto id : m_table.longest_idle(max_count))
            if (!is_in_use(id))
            {
                connection(id).close();
                ++closed;
            }
        return closed;
    }

    bool evict_one()
    {
        for (const auto id : m_table.longest_waiting(max_eviction_candidates))
            if (!is_in_use(id))
            {
                count(http_limit::connection_evicted);
                connection(id).close();
                return true;
            }
        return false;
    }

    void on_phase(const http_connection& changed, connection_phase phase)
    {
        m_table.enter(changed.id(), phase, monotonic_clock::now());
        if (phase == connection_phase::idle)
            close_idle(m_table.excess_idle());
    }

    bool hold(const http_connection& holder, std::size_t bytes)
    {
        m_table.hold(holder.id(), bytes);
        while (const auto largest = m_table.over_limit(holder.id()))
        {
            if (*largest == holder.id())
                return false;
            count(http_limit::memory_closed);
            connection(*largest).close();
        }
        return true;
    }

    void sweep()
    {
        for (const auto& [id, limit] : m_table.expired(monotonic_clock::now()))
        {
            if (m_table.phase(id) != connection_phase::closing)
                count(limit);
            connection(id).close();
        }
        if (m_connections.empty())
            m_sweep_timer.reset();
    }

    void on_closed(const http_connection& closed)
    {
        const auto found = m_connections.find(closed.id());
        m_table.close(closed.id());
        m_closed.push_back(std::move(found->second));
        m_connections.erase(found);
        event_active(m_purge.get(), EV_READ, 0);
    }
};

http_server::http_server(event_loop& loop, http_server_options options)
    : m_state(std::make_unique<state>(loop, std::move(options)))
{
    m_state->listen();
}

http_server::~http_server()
{
    stop_accepting();
}

std::uint16_t http_server::port() const
{
    return m_state->m_port;
}

http_server_counts http_server::counts() const
{
    auto result = m_state->m_counts;
    result.m_open = m_state->m_table.size();
    result.m_buffered_bytes = m_state->m_table.held_bytes();
    return result;
}

void http_server::stop_accepting()
{
    m_state->close_listener();
}

void http_server::drain()
{
    stop_accepting();
    m_state->m_draining = true;
    m_state->close_idle(m_state->m_table.size());
}

} // namespace dragonflygap
