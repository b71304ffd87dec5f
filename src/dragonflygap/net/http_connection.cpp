#include "dragonflygap/net/http_connection.hpp"

#include <array>
#include <cerrno>
#include <utility>

#include <event2/event.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflygap/net/http_format.hpp"

namespace dragonflygap
{

namespace
{

// One event reads no more, so that no connection holds up the others.
constexpr std::size_t read_bytes = 16384;
// A response of this size is sent also if memory is short: the request may have taken effect.
constexpr std::size_t small_response_bytes = 4096;
constexpr std::string_view interim_response = "HTTP/1.1 100 Continue\r\n\r\n";

bool would_block(ssize_t result)
{
    return result < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
}

/// Clearing alone would keep the buffer of a long request for as long as its connection is open.
void free_buffer(std::string& text)
{
    std::string().swap(text);
}

bool is_served_method(std::string_view method)
{
    return method == "GET" || method == "POST" || method == "PUT" || method == "DELETE";
}

} // namespace

class http_connection::exchange : public http_exchange
{
public:
    explicit exchange(http_connection& connection) : m_connection(&connection) {}
    ~exchange() override
    {
        if (m_connection != nullptr)
            reply(failure_response(
                {verdict::may_have_run, reason::internal, "the handler sent no answer"}));
    }
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    void reply(const http_response& response) override
    {
        auto* connection = std::exchange(m_connection, nullptr);
        m_hook = nullptr;
        if (connection == nullptr)
            return;
        connection->m_exchange = nullptr;
        connection->respond(response);
    }

    void on_hangup(std::function<void()> hook) override
    {
        if (m_connection == nullptr)
            return;
        m_hook = std::move(hook);
        m_connection->watch_for_hangup();
    }

    void call_hook()
    {
        if (const auto hook = std::exchange(m_hook, nullptr))
            hook();
    }

    void detach() { m_connection = nullptr; }

private:
    http_connection* m_connection;
    std::function<void()> m_hook;
};

void http_connection::event_deleter::operator()(event* owned) const
{
    event_free(owned);
}

http_connection::http_connection(event_base* base, const http_connection_options& options)
    : m_base(base), m_options(options)
{
    m_read_event = make_event(EV_READ | EV_PERSIST, &http_connection::on_readable);
    event_add(m_read_event.get(), nullptr);
}

http_connection::~http_connection()
{
    if (m_exchange != nullptr)
        m_exchange->detach();
    m_read_event.reset();
    m_write_event.reset();
    m_hangup_event.reset();
    if (!m_closed)
        ::close(m_options.m_socket);
}

http_connection::event_ptr http_connection::make_event(short what,
                                                       void (*callback)(int, short, void*))
{
    return event_ptr(event_new(m_base, m_options.m_socket, what, callback, this));
}

void http_connection::on_readable(int /*socket*/, short /*what*/, void* self)
{
    static_cast<http_connection*>(self)->read();
}

void http_connection::on_writable(int /*socket*/, short /*what*/, void* self)
{
    static_cast<http_connection*>(self)->write();
}

bool http_connection::has_unread_input() const
{
    int bytes = 0;
    return !m_input.empty() || (ioctl(m_options.m_socket, FIONREAD, &bytes) == 0 && bytes > 0);
}

void http_connection::close()
{
    if (std::exchange(m_closed, true))
        return;
    m_read_event.reset();
    m_write_event.reset();
    m_hangup_event.reset();
    ::close(m_options.m_socket);
    m_parser.reset();
    free_buffer(m_input);
    free_buffer(m_output);
    if (auto* pending = std::exchange(m_exchange, nullptr))
    {
        pending->detach();
        pending->call_hook();
    }
    m_options.m_hooks->m_on_closed(*this);
}

void http_connection::enter(connection_phase phase)
{
    if (std::exchange(m_phase, phase) != phase)
        m_options.m_hooks->m_on_phase(*this, phase);
}

void http_connection::read()
{
    if (std::exchange(m_parse_next, false))
        return parse();
    if (m_phase == connection_phase::closing)
        return discard_input();
    std::array<char, read_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto count = recv(m_options.m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (would_block(count))
        return;
    if (count <= 0)
        return close();
    m_input.append(buffer.data(), static_cast<std::size_t>(count));
    parse();
}

void http_connection::parse()
{
    if (!m_parser)
    {
        m_parser.emplace(m_options.m_limits->m_max_head_bytes, m_options.m_max_body_bytes);
        m_continue_sent = false;
    }
    const auto status = m_parser->parse(m_input);
    switch (status)
    {
    case request_parser::status::head:
    case request_parser::status::body:
        return receive_part(status);
    case request_parser::status::complete:
        return dispatch();
    case request_parser::status::malformed:
        return refuse(reason::bad_request, "the request isn't valid HTTP");
    case request_parser::status::head_too_large:
        m_options.m_hooks->m_on_limit(*this, http_limit::head_too_large);
        return refuse(reason::bad_request,
                      "the request line and headers have more than " +
                          std::to_string(m_options.m_limits->m_max_head_bytes) + " bytes");
    case request_parser::status::body_too_large:
        m_options.m_hooks->m_on_limit(*this, http_limit::body_too_large);
        return refuse(reason::body_too_large, "the body has more than " +
                                                  std::to_string(m_options.m_max_body_bytes) +
                                                  " bytes");
    }
}

void http_connection::receive_part(request_parser::status part)
{
    enter(part == request_parser::status::head ? connection_phase::head : connection_phase::body);
    if (!hold_request())
        return refuse_for_memory();
    if (part != request_parser::status::body || !m_parser->awaits_continue() ||
        std::exchange(m_continue_sent, true))
        return;
    // The buffer of a connection that has no response in progress takes so few bytes. If it
    // doesn't, the client sends its body without them after a while.
    send(m_options.m_socket, interim_response.data(), interim_response.size(),
         MSG_NOSIGNAL | MSG_DONTWAIT);
}

bool http_connection::hold_request()
{
    const auto parsed = m_parser ? m_parser->held_bytes() : 0;
    return m_options.m_hooks->m_hold(*this, m_input.size() + parsed);
}

void http_connection::dispatch()
{
    if (!hold_request())
        return refuse_for_memory();
    auto request = m_parser->take();
    request.m_peer = m_options.m_peer;
    if (!is_served_method(request.m_method))
    {
        constexpr int not_implemented = 501;
        return refuse(
            json_response(not_implemented, R"({"error":"use GET, POST, PUT or DELETE"})"));
    }
    enter(connection_phase::handling);
    if (m_input.empty())
        free_buffer(m_input);
    auto pending = std::make_shared<exchange>(*this);
    m_exchange = pending.get();
    m_options.m_hooks->m_handle(std::move(request), std::move(pending));
    // Most requests have their response by now, and the next one is read at once.
    if (m_phase == connection_phase::handling && !m_closed)
        event_del(m_read_event.get());
}

// The request never reaches the handler, so that it has certainly no effect.
void http_connection::refuse(const http_response& response)
{
    m_close_after = true;
    m_linger_after = true;
    free_buffer(m_input);
    respond(response);
}

void http_connection::refuse(reason cause, std::string detail)
{
    refuse(m_options.m_hooks->m_refusal({verdict::not_run, cause, std::move(detail)}));
}

void http_connection::refuse_for_memory()
{
    m_options.m_hooks->m_on_limit(*this, http_limit::memory_refused);
    refuse(reason::overloaded, "this process holds too many requests; retry later");
}

void http_connection::respond(const http_response& response)
{
    m_hangup_event.reset();
    m_close_after = m_close_after || !m_parser->keep_alive() || closes_connection(response) ||
                    m_options.m_hooks->m_draining();
    m_output = format_response(response, {.m_minor_version = m_parser->minor_version(),
                                          .m_keep_alive = !m_close_after,
                                          .m_with_body = !m_parser->is_head()});
    m_parser.reset();
    m_written = 0;
    if (m_output.size() <= small_response_bytes || hold_response())
        return write();
    m_options.m_hooks->m_on_limit(*this, http_limit::memory_closed);
    close();
}

bool http_connection::hold_response()
{
    enter(connection_phase::response);
    return m_options.m_hooks->m_hold(*this, m_input.size() + m_output.size());
}

void http_connection::write()
{
    const auto rest = std::string_view(m_output).substr(m_written);
    const auto count =
        send(m_options.m_socket, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    if (count < 0 && !would_block(count))
        return close();
    if (count > 0)
        m_written += static_cast<std::size_t>(count);
    if (m_written == m_output.size())
        return end_response();
    if (m_phase != connection_phase::response)
        hold_response();
    else if (count > 0)
        m_options.m_hooks->m_on_progress(*this);
    event_del(m_read_event.get());
    if (!m_write_event)
        m_write_event = make_event(EV_WRITE, &http_connection::on_writable);
    event_add(m_write_event.get(), nullptr);
}

void http_connection::end_response()
{
    free_buffer(m_output);
    if (m_close_after)
        return m_linger_after || !m_input.empty() ? linger() : close();
    m_options.m_hooks->m_hold(*this, m_input.size());
    enter(connection_phase::idle);
    if (m_closed) // as there are too many idle ones
        return;
    event_add(m_read_event.get(), nullptr);
    if (m_input.empty())
        return;
    m_parse_next = true;
    event_active(m_read_event.get(), EV_READ, 0);
}

// A close with unread input resets the connection, which may take the response from the client
// before it has read it.
void http_connection::linger()
{
    free_buffer(m_input);
    m_options.m_hooks->m_hold(*this, 0);
    enter(connection_phase::closing);
    shutdown(m_options.m_socket, SHUT_WR);
    event_add(m_read_event.get(), nullptr);
}

void http_connection::discard_input()
{
    std::array<char, read_bytes> buffer; // NOLINT(cppcoreguidelines-pro-type-member-init)
    const auto count = recv(m_options.m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (would_block(count))
        return;
    if (count > 0)
        m_discarded += static_cast<std::size_t>(count);
    if (count <= 0 || m_discarded > m_options.m_limits->m_max_linger_bytes)
        close();
}

// Nothing is read while a request is handled. The event is edge-triggered, since a client that
// sends more, or has reset its connection, would otherwise keep the loop busy.
void http_connection::watch_for_hangup()
{
    if (m_hangup_event)
        return;
    event_del(m_read_event.get()); // libevent can't mix both kinds on one socket
    m_hangup_event =
        make_event(EV_READ | EV_CLOSED | EV_ET | EV_PERSIST, &http_connection::on_hangup_event);
    event_add(m_hangup_event.get(), nullptr);
}

void http_connection::on_hangup_event(int socket, short what, void* self)
{
    char byte = 0;
    const auto count = recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if ((what & EV_CLOSED) != 0 || (count <= 0 && !would_block(count)))
        static_cast<http_connection*>(self)->on_hangup();
}

// The connection is closed later, when the response can't be written.
void http_connection::on_hangup()
{
    event_del(m_hangup_event.get());
    if (m_exchange != nullptr)
        m_exchange->call_hook();
}

} // namespace dragonflygap
