#include "dragonflygap/net/http_client.hpp"

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include "dragonflygap/net/event_loop.hpp"

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

} // namespace

struct http_client::state
{
    struct call
    {
        call_id m_id = 0;
        endpoint m_to;
        http_request m_request;
        done m_done;
        event_loop::timer_ptr m_timer;
        evhttp_connection* m_connection = nullptr;
        reason m_reason = reason::target_silent;
        state* m_owner = nullptr;
    };

    struct pool
    {
        std::vector<evhttp_connection*> m_idle;
        std::deque<call_id> m_waiting;
        int m_open = 0;
    };

    event_loop& m_loop;
    http_client_options m_options;
    call_id m_last_call = 0;
    std::map<endpoint, pool> m_pools;
    std::unordered_map<call_id, std::shared_ptr<call>> m_calls;

    explicit state(event_loop& loop) : m_loop(loop) {}

    evhttp_connection* open_connection(const endpoint& to)
    {
        evhttp_connection* connection =
            evhttp_connection_base_new(m_loop.base(), nullptr, to.m_ip.c_str(), to.m_port);
        evhttp_connection_set_max_body_size(connection,
                                            static_cast<ev_ssize_t>(m_options.m_max_body_bytes));
        constexpr int longest_request_s = 3600; // the call's own timer ends it earlier
        evhttp_connection_set_timeout(connection, longest_request_s);
        return connection;
    }

    void start(call& started)
    {
        pool& connections = m_pools[started.m_to];
        if (!connections.m_idle.empty())
        {
            started.m_connection = connections.m_idle.back();
            connections.m_idle.pop_back();
        }
        else if (connections.m_open < m_options.m_max_connections_per_endpoint)
        {
            started.m_connection = open_connection(started.m_to);
            ++connections.m_open;
        }
        else
        {
            connections.m_waiting.push_back(started.m_id);
            return;
        }
        write(started);
    }

    void write(call& started)
    {
        evhttp_request* request = evhttp_request_new(&state::answered, &started);
        evhttp_request_set_error_cb(request, &state::failed);
        evkeyvalq* headers = evhttp_request_get_output_headers(request);
        evhttp_add_header(headers, "Host", to_string(started.m_to).c_str());
        for (const auto& header : started.m_request.m_headers)
            evhttp_add_header(headers, header.m_name.c_str(), header.m_value.c_str());
        evbuffer_add(evhttp_request_get_output_buffer(request), started.m_request.m_body.data(),
                     started.m_request.m_body.size());
        const auto method = method_type(started.m_request.m_method);
        const auto target = encoded_target(started.m_request);
        const call_id id = started.m_id;
        if (evhttp_make_request(started.m_connection, request, method, target.c_str()) != 0)
        {
            m_loop.post([this, id]
                        { fail_call(id, verdict::not_run, reason::target_unreachable); });
            return;
        }
        const int on = 1;
        const int socket =
            bufferevent_getfd(evhttp_connection_get_bufferevent(started.m_connection));
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }

    static void failed(evhttp_request_error error, void* argument)
    {
        if (error == EVREQ_HTTP_DATA_TOO_LONG)
            static_cast<call*>(argument)->m_reason = reason::answer_too_large;
        if (error == EVREQ_HTTP_EOF)
            static_cast<call*>(argument)->m_reason = reason::target_failed;
    }

    static void answered(evhttp_request* request, void* argument)
    {
        auto* ended = static_cast<call*>(argument);
        state* owner = ended->m_owner;
        // libevent gives no request for a broken connection, and one without a status when no
        // connection came about.
        if (request == nullptr)
        {
            owner->fail_call(ended->m_id, verdict::may_have_run, ended->m_reason);
            return;
        }
        if (evhttp_request_get_response_code(request) == 0)
        {
            owner->fail_call(ended->m_id, verdict::not_run, reason::target_unreachable);
            return;
        }
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
        // The request's callback runs within the connection, which must not be used again yet.
        m_loop.post([this, to = ended->m_to, connection = ended->m_connection]
                    { give_back(to, connection); });
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

    void close_later(std::shared_ptr<call> ended)
    {
        if (ended->m_connection == nullptr)
            return;
        // Until the connection is freed, libevent may still call back with the call's address.
        m_loop.post(
            [this, ended = std::move(ended)]
            {
                evhttp_connection_free(ended->m_connection);
                --m_pools[ended->m_to].m_open;
                serve_waiting(ended->m_to);
            });
    }

    void give_back(const endpoint& to, evhttp_connection* connection)
    {
        m_pools[to].m_idle.push_back(connection);
        serve_waiting(to);
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
        const bool sent = found->second->m_connection != nullptr;
        fail_call(id, sent ? verdict::may_have_run : verdict::not_run, reason::timeout);
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
            evhttp_connection_free(ended->m_connection);
    for (auto& [to, connections] : m_state->m_pools)
        for (evhttp_connection* connection : connections.m_idle)
            evhttp_connection_free(connection);
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
    auto& connections = m_state->m_pools[to];
    for (evhttp_connection* connection : connections.m_idle)
    {
        evhttp_connection_free(connection);
        --connections.m_open;
    }
    connections.m_idle.clear();
}

} // namespace dragonflygap
