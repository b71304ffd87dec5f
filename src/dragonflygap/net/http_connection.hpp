#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "dragonflygap/net/connection_table.hpp"
#include "dragonflygap/net/http_message.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/net/request_parser.hpp"

struct event;
struct event_base;

namespace dragonflygap
{

class http_connection;

/// What a connection needs of its server.
struct http_connection_hooks
{
    std::function<void(http_connection&, connection_phase)> m_on_phase;
    /// Sets the bytes that the connection holds; false if it must give them up.
    std::function<bool(http_connection&, std::size_t bytes)> m_hold;
    std::function<void(http_connection&)> m_on_progress; ///< Part of a response was written.
    std::function<void(http_connection&, http_limit)> m_on_limit;
    std::function<http_response(const failure&)> m_refusal;
    std::function<void(http_request, http_exchange_ptr)> m_handle;
    std::function<bool()> m_draining;
    /// Called once; the connection must not be destroyed before it has returned to the event loop.
    std::function<void(http_connection&)> m_on_closed;
};

struct http_connection_options
{
    int m_socket = -1; ///< Owned by the connection.
    endpoint m_peer;
    connection_table::connection_id m_id = 0;
    std::size_t m_max_body_bytes = 0;
    const http_limits* m_limits = nullptr;
    const http_connection_hooks* m_hooks = nullptr;
};

/// One connection of an HTTP server: reads a request, waits for its response and writes it.
///
/// Nothing is read between the end of a request and the end of its response, so that a client that
/// sends ahead holds no more than one read.
class http_connection
{
public:
    http_connection(event_base* base, const http_connection_options& options);
    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    connection_table::connection_id id() const { return m_options.m_id; }

    /// True if bytes have arrived that were not read yet.
    bool has_unread_input() const;

    void close();

private:
    class exchange;
    struct event_deleter
    {
        void operator()(event* owned) const;
    };
    using event_ptr = std::unique_ptr<event, event_deleter>;

    static void on_readable(int socket, short what, void* self);
    static void on_writable(int socket, short what, void* self);
    static void on_hangup_event(int socket, short what, void* self);

    event_ptr make_event(short what, void (*callback)(int, short, void*));
    void read();
    void parse();
    void receive_part(request_parser::status part);
    void dispatch();
    void refuse(const http_response& response);
    void refuse(reason cause, std::string detail);
    void refuse_for_memory();
    void respond(const http_response& response);
    void write();
    void end_response();
    void linger();
    void discard_input();
    void watch_for_hangup();
    void on_hangup();
    bool hold_request();
    bool hold_response();
    void enter(connection_phase phase);

    event_base* m_base;
    http_connection_options m_options;
    connection_phase m_phase = connection_phase::idle;
    event_ptr m_read_event;
    event_ptr m_write_event;
    event_ptr m_hangup_event; ///< While a request is handled whose exchange has a hook for it.
    std::string m_input;      ///< Not parsed yet.
    std::optional<request_parser> m_parser;
    std::string m_output;
    std::size_t m_written = 0;
    std::size_t m_discarded = 0;
    bool m_parse_next = false; ///< Requests that arrived together are parsed one a round.
    bool m_continue_sent = false;
    bool m_close_after = false;  ///< After the response.
    bool m_linger_after = false; ///< What arrives then is discarded before the close.
    bool m_closed = false;
    exchange* m_exchange = nullptr; ///< Of the request being handled.
};

} // namespace dragonflygap
