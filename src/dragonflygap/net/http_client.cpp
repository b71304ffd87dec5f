#include "dragonflygap/net/http_client.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>

#include "dragonflygap/net/client_connection.hpp"
#include "dragonflygap/net/connection_pool.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/evhttp_message.hpp"
#include "dragonflygap/net/socket_options.hpp"
#include <event2/http.h>
#include <event2/http_struct.h>

namespace dragonflygap
{

struct http_client::state
{
    struct call;

    struct call
    {
        call_id m_id = 0;
        endpoint m_to;
        http_request m_request;
        done m_done;
        event_loop::timer_ptr m_timer;
        event_loop::timer_ptr m_connect_timer;
        std::unique_ptr<client_connection> m_connection;
        reason m_reason = reason::target_silent;
        bool m_waited = false;      ///< For a connection.
        bool m_in_callback = false; ///< Of libevent for this call's connection.
        instant m_started_at{};     ///< When it got its connection.
        state* m_owner = nullptr;

        bool written() const { return m_connection && m_connection->m_request_written; }
    };

    event_loop& m_loop;
    http_client_options m_options;
    http_client_counts m_counts;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    call_id m_last_call = 0;
    std::map<endpoint, connection_pool> m_pools;
    std::unordered_map<call_id, std::shared_ptr<call>> m_calls;
    /// Ended calls whose connections are still to be closed or reused.
    std::set<std::shared_ptr<call>> m_closing;
    event_loop::timer_ptr m_expiry_timer;

    state(event_loop& loop, http_client_options options)
        : m_loop(loop),
          m_options(options),
          m_expiry_timer(loop.every(std::min<duration>(options.m_idle_timeout / 2, 1s),
                                    [this] { close_expired(); }))
    {
    }

    void close_expired(connection_pool& connections)
    {
        connections.close_unused_since(monotonic_clock::now() - m_options.m_idle_timeout, m_counts);
    }

    void close_expired()
    {
        for (auto entry = m_pools.begin(); entry != m_pools.end();)
        {
            auto& connections = entry->second;
            close_expired(connections);
            const bool unused = connections.m_open_count == 0 && connections.m_waiting.empty();
            entry = unused ? m_pools.erase(entry) : std::next(entry);
        }
    }

    // False if the call waits for a connection.
    bool start(call& outgoing)
    {
        connection_pool& connections = m_pools[outgoing.m_to];
        if (!outgoing.m_request.m_new_connection)
        {
            close_expired(connections);
            outgoing.m_connection = connections.take_idle();
        }
        else if (connections.m_open_count >= m_options.m_max_connections_per_endpoint)
            connections.close_oldest_idle(m_counts);
        if (outgoing.m_connection == nullptr)
        {
            const bool delayed = connections.m_open_count > 0 &&
                                 monotonic_clock::now() < connections.m_backoff.delayed_until();
            if (delayed)
                retry_after_backoff(outgoing.m_to, connections);
            if (delayed || connections.m_open_count >= m_options.m_max_connections_per_endpoint)
            {
                wait(outgoing, connections);
                return false;
            }
            outgoing.m_connection = std::make_unique<client_connection>(m_loop, outgoing.m_to,
                                                                        m_options.m_max_body_bytes);
            ++connections.m_open_count;
            ++m_counts.m_opened;
        }
        write_request(outgoing);
        return true;
    }

    // A call that waited before keeps its place.
    void wait(call& outgoing, connection_pool& connections)
    {
        if (std::exchange(outgoing.m_waited, true))
        {
            connections.m_waiting.push_front(outgoing.m_id);
            return;
        }
        connections.m_waiting.push_back(outgoing.m_id);
        ++m_counts.m_calls_queued;
    }

    // The loop may go on after the client was destroyed.
    void post(std::function<void()> work)
    {
        m_loop.post(
            [alive = std::weak_ptr(m_alive), work = std::move(work)]
            {
                if (!alive.expired())
                    work();
            });
    }

    void retry_after_backoff(const endpoint& to, connection_pool& connections)
    {
        const instant due = connections.m_backoff.delayed_until();
        if (connections.m_next_attempt_at == due)
            return;
        connections.m_next_attempt_at = due;
        // Not within the timer's callback, as the call may replace the timer.
        connections.m_retry_timer = m_loop.after(due - monotonic_clock::now(), [this, to]
                                                 { post([this, to] { end_backoff(to); }); });
    }

    // A timer may fire early; then the call sets the next one.
    void end_backoff(const endpoint& to)
    {
        m_pools[to].m_next_attempt_at = {};
        start_waiting(to);
    }

    void write_request(call& outgoing)
    {
        client_connection& used = *outgoing.m_connection;
        used.m_request_written = false;
        outgoing.m_started_at = monotonic_clock::now();
        evhttp_request* request = evhttp_request_new(&state::on_response, &outgoing);
        evhttp_request_set_error_cb(request, &state::on_request_error);
        fill_request(request, outgoing.m_request, to_string(outgoing.m_to), m_options.m_reuse);
        const auto target = encoded_target(outgoing.m_request);
        const call_id id = outgoing.m_id;
        const bool is_new = used.socket() < 0;
        if (evhttp_make_request(used.http(), request, method_type(outgoing.m_request.m_method),
                                target.c_str()) != 0)
        {
            post([this, id] { fail_call(id, verdict::not_run, reason::target_unreachable); });
            return;
        }
        if (!is_new)
            return;
        set_connection_options(used.socket());
        if (m_options.m_urgent)
            used.make_urgent();
        outgoing.m_connect_timer =
            m_loop.after(m_options.m_connect_timeout, [this, id] { on_connect_timeout(id); });
    }

    void on_connect_timeout(call_id id)
    {
        const auto found = m_calls.find(id);
        if (found != m_calls.end() && !found->second->m_connection->m_request_written)
            fail_call(id, verdict::not_run, reason::target_unreachable);
    }

    static void on_request_error(evhttp_request_error error, void* argument)
    {
        if (error == EVREQ_HTTP_DATA_TOO_LONG)
            static_cast<call*>(argument)->m_reason = reason::answer_too_large;
        if (error == EVREQ_HTTP_EOF || error == EVREQ_HTTP_INVALID_HEADER)
            static_cast<call*>(argument)->m_reason = reason::target_failed;
    }

    static void on_response(evhttp_request* request, void* argument)
    {
        auto* ended = static_cast<call*>(argument);
        ended->m_in_callback = true;
        state* owner = ended->m_owner;
        // libevent passes null for a broken connection, and a request without a status if the
        // connection could not be established.
        if (request == nullptr)
            owner->fail_call(ended->m_id, verdict::may_have_run, ended->m_reason);
        else if (evhttp_request_get_response_code(request) == 0)
            owner->fail_call(ended->m_id, verdict::not_run, reason::target_unreachable);
        else if (!has_framed_body(request))
            owner->fail_call(ended->m_id, verdict::may_have_run, reason::target_failed);
        else
            owner->finish(ended->m_id, read_response(request));
    }

    std::shared_ptr<call> extract_call(call_id id)
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
        const auto ended = extract_call(id);
        if (ended == nullptr)
            return;
        ended->m_timer.reset();
        ended->m_connect_timer.reset();
        if (!std::exchange(ended->m_connection->m_answered, true))
            m_pools[ended->m_to].m_backoff.accepted();
        // This callback runs within the connection, which must not be reused before it returns.
        m_closing.insert(ended);
        post(
            [this, ended]
            {
                m_closing.erase(ended);
                release_connection(*ended);
            });
        ended->m_done(std::move(response));
    }

    void fail_call(call_id id, verdict result_verdict, reason cause)
    {
        const auto ended = extract_call(id);
        if (ended == nullptr)
            return;
        const auto* used = ended->m_connection.get();
        if (m_options.m_delay_refused && used != nullptr && !used->m_answered &&
            !(cause == reason::timeout && ended->written()))
            m_pools[ended->m_to].m_backoff.refused(monotonic_clock::now());
        // Connections may go silent without a reset, all at once: only those that answered since
        // are known to work.
        if (cause == reason::timeout && ended->written())
            m_pools[ended->m_to].close_unused_since(ended->m_started_at, m_counts);
        close(ended);
        ended->m_done(fail(result_verdict, cause,
                           "call to " + to_string(ended->m_to) +
                               " failed: " + std::string(to_string(cause))));
    }

    void close(const std::shared_ptr<call>& ended)
    {
        ended->m_timer.reset();
        ended->m_connect_timer.reset();
        if (ended->m_connection == nullptr)
            return;
        // The loop handles other events before the posted work: the connection's own would still
        // write the request, although the caller may know that it isn't run.
        if (!ended->m_in_callback)
            ended->m_connection->reset();
        m_closing.insert(ended);
        post(
            [this, ended]
            {
                m_closing.erase(ended);
                m_pools[ended->m_to].abort(std::move(ended->m_connection), m_counts);
                start_waiting(ended->m_to);
            });
    }

    void release_connection(call& ended)
    {
        connection_pool& connections = m_pools[ended.m_to];
        if (m_options.m_reuse)
        {
            ended.m_connection->m_idle_since = monotonic_clock::now();
            connections.m_idle.push_back(std::move(ended.m_connection));
        }
        else
            connections.close(std::move(ended.m_connection), m_counts);
        start_waiting(ended.m_to);
    }

    void start_waiting(const endpoint& to)
    {
        connection_pool& connections = m_pools[to];
        while (!connections.m_waiting.empty())
        {
            const call_id next = connections.m_waiting.front();
            connections.m_waiting.pop_front();
            const auto found = m_calls.find(next);
            if (found == m_calls.end())
                continue;
            if (!start(*found->second))
                return;
        }
    }

    void on_timeout(call_id id)
    {
        if (const auto found = m_calls.find(id); found != m_calls.end())
            fail_call(id, found->second->written() ? verdict::may_have_run : verdict::not_run,
                      reason::timeout);
    }
};

http_client::http_client(event_loop& loop, http_client_options options)
    : m_state(std::make_unique<state>(loop, options))
{
}

http_client::~http_client()
{
    // Posted work may keep calls alive; their connections must not outlive the loop.
    for (auto& [id, call] : m_state->m_calls)
        call->m_connection.reset();
    for (const auto& ended : m_state->m_closing)
        ended->m_connection.reset();
}

http_client::call_id http_client::send(const endpoint& to, http_request request, duration timeout,
                                       done on_done)
{
    const call_id id = ++m_state->m_last_call;
    auto outgoing = std::make_shared<state::call>();
    outgoing->m_id = id;
    outgoing->m_to = to;
    outgoing->m_request = std::move(request);
    outgoing->m_done = std::move(on_done);
    outgoing->m_owner = m_state.get();
    outgoing->m_timer =
        m_state->m_loop.after(timeout, [owner = m_state.get(), id] { owner->on_timeout(id); });
    auto& stored = *(m_state->m_calls[id] = std::move(outgoing));
    m_state->start(stored);
    return id;
}

void http_client::cancel(call_id call)
{
    if (const auto ended = m_state->extract_call(call); ended != nullptr)
        m_state->close(ended);
}

http_client_counts http_client::counts() const
{
    auto result = m_state->m_counts;
    for (const auto& [to, connections] : m_state->m_pools)
    {
        const auto open = static_cast<std::size_t>(connections.m_open_count);
        result.m_open += open;
        result.m_idle += connections.m_idle.size();
        result.m_endpoints += open > 0 ? 1 : 0;
        result.m_max_per_endpoint = std::max(result.m_max_per_endpoint, open);
    }
    return result;
}

void http_client::close_idle(const endpoint& to)
{
    const auto found = m_state->m_pools.find(to);
    if (found == m_state->m_pools.end())
        return;
    for (auto& idle : std::exchange(found->second.m_idle, {}))
        found->second.close(std::move(idle), m_state->m_counts);
}

} // namespace dragonflygap
