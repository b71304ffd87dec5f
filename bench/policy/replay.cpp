#include "replay.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>

namespace dragonflygap::bench
{

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration heartbeat_interval = 500ms;
constexpr duration one_way_delay = 1500us;
// Time simulated after the last arrival; longer than any deadline.
constexpr duration drain_time = 130s;

class replayer
{
public:
    replayer(const std::vector<arrival>& arrivals, std::vector<node>& nodes)
        : m_arrivals(arrivals), m_nodes(nodes), m_forwarded_to(arrivals.size(), -1)
    {
        m_result.m_request_results.resize(arrivals.size());
        for (auto& item : m_result.m_request_results)
            item.m_wait = duration(-1);
    }

    replay_result run()
    {
        const instant begin{1000s};
        const instant end = m_arrivals.back().m_at + drain_time;
        schedule(begin, [this, end] { tick(end); });
        if (m_nodes.size() > 1)
            schedule(begin, [this, end] { heartbeat(end); });
        for (std::size_t i = 0; i < m_arrivals.size() || !m_events.empty();)
        {
            if (i < m_arrivals.size() &&
                (m_events.empty() || m_arrivals[i].m_at <= m_events.begin()->first))
            {
                m_now = m_arrivals[i].m_at;
                submit(m_arrivals[i].m_node, i, 0);
                ++i;
                continue;
            }
            const auto next = m_events.begin();
            m_now = next->first;
            const auto callback = std::move(next->second);
            m_events.erase(next);
            callback();
        }
        return std::move(m_result);
    }

private:
    void schedule(instant at, std::function<void()> callback)
    {
        m_events.emplace(at, std::move(callback));
    }

    void tick(instant end)
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            send(n, request::scheduler_tick{});
        if (m_now < end)
            schedule(m_now + tick_interval, [this, end] { tick(end); });
    }

    void heartbeat(instant end)
    {
        std::vector<request::peer_load> loads;
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            loads.push_back({.m_vm = vm_id(std::to_string(n)),
                             .m_data_centre = m_nodes[n].m_data_centre,
                             .m_free_slots = m_nodes[n].m_load(m_now).m_free_slots,
                             .m_updated_at = m_now + one_way_delay});
        schedule(m_now + one_way_delay,
                 [this, loads]
                 {
                     for (std::size_t n = 0; n < m_nodes.size(); ++n)
                     {
                         auto others = loads;
                         others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
                         send(n, request::peers_changed{std::move(others)});
                     }
                 });
        if (m_now < end)
            schedule(m_now + heartbeat_interval, [this, end] { heartbeat(end); });
    }

    void submit(std::size_t n, std::size_t index, std::uint32_t hops)
    {
        const auto& item = m_arrivals[index];
        m_open_count += hops == 0 ? 1 : 0;
        m_result.m_max_open = std::max(m_result.m_max_open, m_open_count);
        send(n, request::request_submitted{{.m_id = request_id(std::to_string(index)),
                                            .m_caller = item.m_caller,
                                            .m_class = item.m_class,
                                            .m_hops = hops,
                                            .m_arrived_at = m_now,
                                            .m_deadline = item.m_at + item.m_deadline}});
    }

    void send(std::size_t n, const request::scheduler_event& event)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto actions = m_nodes[n].m_handle(event, m_now);
        const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - begin;
        m_result.m_wall_seconds += elapsed.count();
        ++m_result.m_events;
        for (const auto& action : actions)
            std::visit([&](const auto& concrete_action) { apply(n, concrete_action); }, action);
    }

    static std::size_t index_of(const request_id& id) { return std::stoul(id.m_value); }

    void apply(std::size_t n, const request::dispatch_request& action)
    {
        const auto index = index_of(action.m_id);
        const auto& item = m_arrivals[index];
        auto& result = m_result.m_request_results[index];
        ++result.m_start_count;
        result.m_wait = m_now - item.m_at;
        const instant end = m_now + item.m_run_time;
        const instant deadline = item.m_at + item.m_deadline;
        if (end <= deadline)
            return schedule(end, [this, n, id = action.m_id] { complete(n, id); });
        schedule(deadline,
                 [this, n, id = action.m_id] {
                     send(n, request::request_ended{
                                 id, fail(verdict::may_have_run, reason::timeout, ""), false});
                 });
        schedule(end, [this, n, id = action.m_id] { send(n, request::slot_freed{id}); });
    }

    void complete(std::size_t n, const request_id& id)
    {
        const auto index = index_of(id);
        if (m_forwarded_to[index] == static_cast<int>(n))
        {
            schedule(m_now + one_way_delay,
                     [this, id, index]
                     {
                         finish(index);
                         send(m_arrivals[index].m_node, request::request_ended{id, {}});
                     });
        }
        else
            finish(index);
        send(n, request::request_ended{id, {}});
    }

    void finish(std::size_t index)
    {
        auto& result = m_result.m_request_results[index];
        result.m_latency = m_now - m_arrivals[index].m_at;
        result.m_on_time = result.m_latency <= m_arrivals[index].m_deadline + one_way_delay;
        end(result);
    }

    void end(request_result& result)
    {
        ++result.m_end_count;
        --m_open_count;
    }

    void end_unserved(std::size_t n, const request_id& id, const failure& cause)
    {
        const auto index = index_of(id);
        if (m_forwarded_to[index] != static_cast<int>(n))
        {
            m_result.m_request_results[index].m_latency = m_now - m_arrivals[index].m_at;
            return end(m_result.m_request_results[index]);
        }
        m_forwarded_to[index] = -1;
        schedule(m_now + one_way_delay,
                 [this, id, index, cause] {
                     send(m_arrivals[index].m_node, request::forward_failed{id, cause});
                 });
    }

    void apply(std::size_t n, const request::refuse_request& action)
    {
        end_unserved(n, action.m_id, action.m_failure);
    }

    void apply(std::size_t n, const request::fail_request& action)
    {
        end_unserved(n, action.m_id, action.m_failure);
    }

    void apply(std::size_t /*n*/, const request::forward_request& action)
    {
        const auto index = index_of(action.m_id);
        const auto peer = std::stoul(action.m_peer.m_value);
        ++m_result.m_request_results[index].m_forward_count;
        m_forwarded_to[index] = static_cast<int>(peer);
        schedule(m_now + one_way_delay, [this, peer, index] { submit(peer, index, 1); });
    }

    void apply(std::size_t /*n*/, const request::abort_request& /*action*/) {}

    const std::vector<arrival>& m_arrivals;
    std::vector<node>& m_nodes;
    std::vector<int> m_forwarded_to; ///< Peer that a request was forwarded to; -1 for none.
    std::multimap<instant, std::function<void()>> m_events;
    instant m_now{1000s};
    std::size_t m_open_count = 0;
    replay_result m_result;
};

} // namespace

std::size_t replay_result::lost() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_request_results, [](const request_result& item) { return item.m_end_count != 1; }));
}

std::size_t replay_result::duplicated() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_request_results, [](const request_result& item) { return item.m_start_count > 1; }));
}

replay_result replay(const std::vector<arrival>& arrivals, std::vector<node>& nodes)
{
    return replayer(arrivals, nodes).run();
}

} // namespace dragonflygap::bench
