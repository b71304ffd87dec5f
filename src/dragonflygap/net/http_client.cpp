#include "dragonflygap/net/http_client.hpp"

#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/socket_options.hpp"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace dragonflygap
{

namespace
{

evhttp_cmd_type method_type(std::string_view method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    return EVHTTP_REQ_GET;
}

http_response read_response(evhttp_request* request)
{
    http_response result{.m_status = evhttp_request_get_response_code(request)};
    for (const evkeyval* pair = evhttp_request_get_input_headers(request)->tqh_first;
         pair != nullptr; pair = pair->next.tqe_next)
        result.m_headers.push_back({pair->key, pair->value});
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    result.m_body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, result.m_body.data(), result.m_body.size());
    return result;
}

std::string encoded_target(const http_request& request)
{
    // Only what may not stand in a request line is encoded; paths of this project are plain.
    std::string target;
    for (const char c : request.m_path)
    {
        if (c == ' ' || c == '?' || c == '#' || c == '%')
        {
            constexpr char digits[] = "0123456789ABCDEF";
            const auto byte = static_cast<unsigned char>(c);
            target += {'%', digits[byte / 16], digits[byte % 16]};
            continue;
        }
        target += c;
    }
    if (!request.m_query.empty())
        target += "?" + request.m_query;
    return target;
}

// Without a length or chunks, the end of the connection ends the answer, and a whole one can't be
// told from one that was cut short.
bool has_framed_body(evhttp_request* request)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const int status = evhttp_request_get_response_code(request);
    if (status == no_content || status == not_modified)
        return true;
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    return evhttp_find_header(headers, "Content-Length") != nullptr ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

} // namespace

struct http_client::state
{
    struct call;

    /// A connection and the call that uses it.
    struct connection
    {
        evhttp_connection* m_http = nullptr;
        instant m_idle_since{};
        bool m_handed_over = false; ///< Bytes of the current request were handed to the socket.

        int socket() const { return bufferevent_getfd(evhttp_connection_get_bufferevent(m_http)); }
    };

    struct call
    {
        call_id m_id = 0;
        endpoint m_to;
        http_request m_request;
        done m_done;
        event_loop::timer_ptr m_timer;
        event_loop::timer_ptr m_connect_timer;
        std::unique_ptr<connection> m_connection;
        reason m_reason = reason::target_silent;
        state* m_owner = nullptr;
    };

    struct pool
    {
        std::vector<std::unique_ptr<connection>> m_idle;
        std::deque<call_id> m_waiting;
        int m_open = 0;
    };

    event_loop& m_loop;
    http_client_options m_options;
    call_id m_last_call = 0;
    std::map<endpoint, pool> m_pools;
    std::unordered_map<call_id, std::shared_ptr<call>> m_calls;
    std::set<std::shared_ptr<call>>
        m_ending; ///< Ended; their connections are still to be dealt with.

    explicit state(event_loop& loop) : m_loop(loop) {}

    std::unique_ptr<connection> open_connection(const endpoint& to)
    {
        auto opened = std::make_unique<connection>();
        evhttp_connection* http =
            evhttp_connection_base_new(m_loop.base(), nullptr, to.m_ip.c_str(), to.m_port);
        evhttp_connection_set_max_body_size(http,
                                            static_cast<ev_ssize_t>(m_options.m_max_body_bytes));
        constexpr ev_ssize_t max_headers_bytes = 16384;
        evhttp_connection_set_max_headers_size(http, max_headers_bytes);
        constexpr int longest_request_s = 2 * 3600; // the call's own timer ends it earlier
        evhttp_connection_set_timeout(http, longest_request_s);
        // evhttp fills the output buffer only once the connection stands.
        evbuffer* output = bufferevent_get_output(evhttp_connection_get_bufferevent(http));
        evbuffer_add_cb(output, &state::output_changed, opened.get());
        opened->m_http = http;
        return opened;
    }

    static void output_changed(evbuffer* /*buffer*/, const evbuffer_cb_info* info, void* argument)
    {
        if (info->n_added > 0)
            static_cast<connection*>(argument)->m_handed_over = true;
    }

    void close(connection& closed, pool& connections)
    {
        // What the kernel still holds must not reach the target after the call was given up.
        discard_on_close(closed.socket());
        evhttp_connection_free(closed.m_http);
        --connections.m_open;
    }

    std::unique_ptr<connection> take_idle(pool& connections)
    {
        const instant now = monotonic_clock::now();
        while (!connections.m_idle.empty())
        {
            auto newest = std::move(connections.m_idle.back());
            connections.m_idle.pop_back();
            if (now - newest->m_idle_since < m_options.m_idle_limit)
                return newest;
            close(*newest, connections);
        }
        return nullptr;
    }

    void start(call& started)
    {
        pool& connections = m_pools[started.m_to];
        started.m_connection = take_idle(connections);
        if (started.m_connection == nullptr)
        {
            if (connections.m_open >= m_options.m_max_connections_per_endpoint)
            {
                connections.m_waiting.push_back(started.m_id);
                return;
            }
            started.m_connection = open_connection(started.m_to);
            ++connections.m_open;
        }
        write(started);
    }

    void write(call& started)
    {
        connection& used = *started.m_connection;
        used.m_handed_over = false;
        evhttp_request* request = evhttp_request_new(&state::answered, &started);
        evhttp_request_set_error_cb(request, &state::failed);
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", to_string(started.m_to).c_str());
        if (!m_options.m_reuse)
            evhttp_add_header(headers, "Connection", "close");
        for (const auto& header : started.m_request.m_headers)
            evhttp_add_header(headers, header.m_name.c_str(), header.m_value.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(request), started.m_request.m_body.data(),
                     started.m_request.m_body.size());
        const auto method = method_type(started.m_request.m_method);
        const auto target = encoded_target(started.m_request);
        const call_id id = started.m_id;
        const bool connects = used.socket() < 0;
        if (evhttp_make_request(used.m_http, request, method, target.c_str()) != 0)
        {
            m_loop.post([this, id]
                        { fail_call(id, verdict::not_run, reason::target_unreachable); });
            return;
        }
        if (!connects)
            return;
        set_connection_options(used.socket());
        started.m_connect_timer =
            m_loop.after(m_options.m_connect_timeout, [this, id] { check_connected(id); });
    }

    void check_connected(call_id id)
    {
        const auto found = m_calls.find(id);
        if (found != m_calls.end() && !found->second->m_connection->m_handed_over)
            fail_call(id, verdict::not_run, reason::target_unreachable);
    }

    static void failed(evhttp_request_error error, void* argument)
    {
        if (error == EVREQ_HTTP_DATA_TOO_LONG)
            static_cast<call*>(argument)->m_reason = reason::answer_too_large;
        if (error == EVREQ_HTTP_EOF || error == EVREQ_HTTP_INVALID_HEADER)
            static_cast<call*>(argument)->m_reason = reason::target_failed;
    }

    static void answered(evhttp_request* request, void* argument)
    {
        auto* ended = static_cast<call*>(argument);
        state* owner = ended->m_owner;
        // libevent gives no request for a broken connection, and one without a status when no
        // connection came about.
        if (request == nullptr)
            owner->fail_call(ended->m_id, verdict::may_have_run, ended->m_reason);
        else if (evhttp_request_get_response_code(request) == 0)
            owner->fail_call(ended->m_id, verdict::not_run, reason::target_unreachable);
        else if (!has_framed_body(request))
            owner->fail_call(ended->m_id, verdict::may_have_run, reason::target_failed);
        else
            owner->finish(ended->m_id, read_response(request));
    }

    std::shared_ptr<call> take(call_id id)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return nullptr;
        auto result = std::move(found->second);
        m_calls.erase(found);
        return result;
    }

    void finish(call_id id, http_response response)
    {
        const auto ended = take(id);
        if (ended == nullptr)
            return;
        ended->m_timer.reset();
        ended->m_connect_timer.reset();
        // The request's callback runs within the connection, which must not be used again yet.
        m_ending.insert(ended);
        m_loop.post(
            [this, ended]
            {
                m_ending.erase(ended);
                give_back(*ended);
            });
        ended->m_done(std::move(response));
    }

    void fail_call(call_id id, verdict what, reason why)
    {
        const auto ended = take(id);
        if (ended == nullptr)
            return;
        close_later(ended);
        ended->m_done(fail(what, why, "call to " + to_string(ended->m_to) + " failed"));
    }

    void close_later(const std::shared_ptr<call>& ended)
    {
        ended->m_timer.reset();
        ended->m_connect_timer.reset();
        if (ended->m_connection == nullptr)
            return;
        // Until the connection is freed, libevent may still call back with the call's address.
        m_ending.insert(ended);
        m_loop.post(
            [this, ended]
            {
                m_ending.erase(ended);
                close(*ended->m_connection, m_pools[ended->m_to]);
                serve_waiting(ended->m_to);
            });
    }

    void give_back(call& ended)
    {
        pool& connections = m_pools[ended.m_to];
        if (m_options.m_reuse)
        {
            ended.m_connection->m_idle_since = monotonic_clock::now();
            connections.m_idle.push_back(std::move(ended.m_connection));
        }
        else
            close(*ended.m_connection, connections);
        serve_waiting(ended.m_to);
    }

    void serve_waiting(const endpoint& to)
    {
        pool& connections = m_pools[to];
        while (!connections.m_waiting.empty())
        {
            const call_id next = connections.m_waiting.front();
            connections.m_waiting.pop_front();
            const auto found = m_calls.find(next);
            if (found == m_calls.end())
                continue;
            start(*found->second);
            return;
        }
    }

    void timed_out(call_id id)
    {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            return;
        const auto& used = found->second->m_connection;
        const bool handed_over = used != nullptr && used->m_handed_over;
        fail_call(id, handed_over ? verdict::may_have_run : verdict::not_run, reason::timeout);
    }
};

http_client::http_client(event_loop& loop, http_client_options options)
    : m_state(std::make_unique<state>(loop))
{
    m_state->m_options = options;
}

http_client::~http_client()
{
    for (auto& [id, ended] : m_state->m_calls)
        if (ended->m_connection != nullptr)
            evhttp_connection_free(ended->m_connection->m_http);
    // Calls that ended in the loop's last round, which nobody will run any more.
    for (const auto& ended : m_state->m_ending)
        if (ended->m_connection != nullptr)
            evhttp_connection_free(ended->m_connection->m_http);
    for (auto& [to, connections] : m_state->m_pools)
        for (auto& idle : connections.m_idle)
            evhttp_connection_free(idle->m_http);
}

http_client::call_id http_client::send(const endpoint& to, http_request request, duration timeout,
                                       done on_done)
{
    const call_id id = ++m_state->m_last_call;
    auto started = std::make_shared<state::call>();
    started->m_id = id;
    started->m_to = to;
    started->m_request = std::move(request);
    started->m_done = std::move(on_done);
    started->m_owner = m_state.get();
    started->m_timer =
        m_state->m_loop.after(timeout, [owner = m_state.get(), id] { owner->timed_out(id); });
    auto& stored = *(m_state->m_calls[id] = std::move(started));
    m_state->start(stored);
    return id;
}

void http_client::cancel(call_id call)
{
    const auto ended = m_state->take(call);
    if (ended != nullptr)
        m_state->close_later(ended);
}

void http_client::forget(const endpoint& to)
{
    const auto found = m_state->m_pools.find(to);
    if (found == m_state->m_pools.end())
        return;
    for (auto& idle : found->second.m_idle)
        m_state->close(*idle, found->second);
    found->second.m_idle.clear();
}

} // namespace dragonflygap
