#include "node/support/worker_connections.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/net/http_client.hpp"

namespace stand_in
{

namespace
{

constexpr int incarnation_shift = 32;

} // namespace

bool worker_connections::accept(const std::string& worker, connection_id connection)
{
    auto& open = m_open[worker];
    if (open.size() >= m_max_per_worker)
    {
        ++m_resets;
        return false;
    }
    open.insert(connection);
    m_most_open = std::max(m_most_open, open.size());
    return true;
}

void worker_connections::close(const std::string& worker, connection_id connection)
{
    m_open[worker].erase(connection);
}

bool worker_connections::is_open(const std::string& worker, connection_id connection) const
{
    const auto found = m_open.find(worker);
    return found != m_open.end() && found->second.count(connection) != 0;
}

std::set<connection_id> worker_connections::close_all(const std::string& worker)
{
    return std::exchange(m_open[worker], {});
}

std::vector<std::pair<std::string, connection_id>>
worker_connections::of_process(std::uint64_t incarnation) const
{
    std::vector<std::pair<std::string, connection_id>> result;
    for (const auto& [worker, open] : m_open)
        for (const auto connection : open)
            if (connection >> incarnation_shift == incarnation)
                result.emplace_back(worker, connection);
    return result;
}

connection_pools::connection_pools(event_loop& loop, connection_options options,
                                   std::uint64_t incarnation, connection_network network)
    : m_loop(loop),
      m_options(options),
      m_network(std::move(network)),
      m_last_connection(incarnation << incarnation_shift)
{
}

void connection_pools::send(const endpoint& to, http_request request, duration timeout,
                            http_transport::done on_done)
{
    const auto id = ++m_last_call;
    m_calls[id] = {.m_to = to, .m_request = std::move(request), .m_done = std::move(on_done)};
    m_loop.defer(timeout,
                 [this, id]
                 {
                     const auto found = m_calls.find(id);
                     if (found != m_calls.end())
                         fail_call(
                             id, found->second.m_written ? verdict::may_have_run : verdict::not_run,
                             reason::timeout);
                 });
    start(id);
}

void connection_pools::start(call_id id)
{
    auto& outgoing = m_calls.at(id);
    const auto to = outgoing.m_to;
    auto& connections = m_pools[to];
    const auto now = monotonic_clock::now();
    while (!connections.m_idle.empty())
    {
        const auto newest = connections.m_idle.back();
        connections.m_idle.pop_back();
        if (now - newest.m_since < http_client_options{}.m_idle_timeout)
        {
            outgoing.m_connection = newest.m_id;
            return write(id);
        }
        abort(to, newest.m_id);
    }
    if (connections.m_open_count >= m_options.m_max_per_vm)
        return connections.m_waiting.push_back(id);
    ++connections.m_open_count;
    const auto connection = outgoing.m_connection = ++m_last_connection;
    m_network.m_connect(to, connection,
                        [this, id, connection](bool accepted)
                        { on_connected(id, connection, accepted); });
    m_loop.defer(http_client_options{}.m_connect_timeout,
                 [this, id]
                 {
                     const auto found = m_calls.find(id);
                     if (found != m_calls.end() && !found->second.m_written)
                         fail_call(id, verdict::not_run, reason::target_unreachable);
                 });
}

void connection_pools::write(call_id id)
{
    auto& outgoing = m_calls.at(id);
    outgoing.m_written = true;
    m_network.m_send(outgoing.m_to, outgoing.m_connection, outgoing.m_request,
                     [this, id](outcome<http_response> result)
                     { on_answer(id, std::move(result)); });
}

void connection_pools::on_connected(call_id id, connection_id connection, bool accepted)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || found->second.m_connection != connection)
        return;
    // A connection over the limit is reset once it is established, and the request written.
    if (accepted)
        write(id);
    else
        fail_call(id, verdict::may_have_run, reason::target_failed);
}

void connection_pools::on_answer(call_id id, outcome<http_response> result)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end())
        return;
    if (!result)
        return fail_call(id, result.error().m_verdict, result.error().m_reason);
    const auto ended = std::move(found->second);
    m_calls.erase(found);
    m_loop.post([this, to = ended.m_to, connection = ended.m_connection]
                { release(to, connection); });
    ended.m_done(std::move(result));
}

void connection_pools::fail_call(call_id id, verdict result_verdict, reason cause)
{
    const auto found = m_calls.find(id);
    const auto ended = std::move(found->second);
    m_calls.erase(found);
    if (ended.m_connection != 0)
        m_loop.post(
            [this, to = ended.m_to, connection = ended.m_connection]
            {
                abort(to, connection);
                start_next_waiting(to);
            });
    ended.m_done(fail(result_verdict, cause, "call to " + to_string(ended.m_to) + " failed"));
}

void connection_pools::release(const endpoint& to, connection_id connection)
{
    const auto now = monotonic_clock::now();
    m_pools[to].m_idle.push_back({connection, now});
    if (m_options.m_close_idle_after > duration{})
        m_loop.defer(m_options.m_close_idle_after,
                     [this, to, connection, now] { close_if_idle(to, connection, now); });
    start_next_waiting(to);
}

void connection_pools::close_if_idle(const endpoint& to, connection_id connection, instant since)
{
    auto& idle = m_pools[to].m_idle;
    const auto found = std::find_if(idle.begin(), idle.end(),
                                    [&](const idle_connection& entry)
                                    { return entry.m_id == connection && entry.m_since == since; });
    if (found == idle.end())
        return;
    idle.erase(found);
    --m_pools[to].m_open_count;
    m_network.m_close(to, connection);
}

void connection_pools::on_reset(connection_id connection)
{
    for (auto& [to, connections] : m_pools)
    {
        auto& idle = connections.m_idle;
        const auto found =
            std::find_if(idle.begin(), idle.end(),
                         [&](const idle_connection& entry) { return entry.m_id == connection; });
        if (found == idle.end())
            continue;
        idle.erase(found);
        --connections.m_open_count;
        return start_next_waiting(to);
    }
    const auto used =
        std::find_if(m_calls.begin(), m_calls.end(),
                     [&](const auto& entry) { return entry.second.m_connection == connection; });
    if (used != m_calls.end())
        fail_call(used->first, verdict::may_have_run, reason::target_failed);
}

void connection_pools::abort(const endpoint& to, connection_id connection)
{
    --m_pools[to].m_open_count;
    m_network.m_reset(to, connection);
}

void connection_pools::start_next_waiting(const endpoint& to)
{
    auto& waiting = m_pools[to].m_waiting;
    while (!waiting.empty())
    {
        const auto next = waiting.front();
        waiting.pop_front();
        if (m_calls.count(next) != 0)
            return start(next);
    }
}

} // namespace stand_in
