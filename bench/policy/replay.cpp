#include "replay.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <queue>

namespace dragonflygap::bench
{

namespace
{

constexpr duration tick_every = 10ms;
constexpr duration heartbeat_every = 500ms;
constexpr duration one_way = 1500us;
// After the last arrival; longer than any deadline.
constexpr duration tail = 130s;

class player
{
public:
    player(const std::vector<arrival>& arrivals, std::vector<node>& nodes)
        : m_arrivals(arrivals), m_nodes(nodes), m_origin_peer(arrivals.size(), -1)
    {
        m_result.m_fates.resize(arrivals.size());
        for (auto& item : m_result.m_fates)
            item.m_wait = duration(-1);
    }

    replay_result run()
    {
        const instant begin{1000s};
        const instant end = m_arrivals.back().m_at + tail;
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
            const auto work = std::move(next->second);
            m_events.erase(next);
            work();
        }
        return std::move(m_result);
    }

private:
    void schedule(instant at, std::function<void()> work) { m_events.emplace(at, std::move(work)); }

    void tick(instant end)
    {
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            send(n, request::scheduler_tick{});
        if (m_now < end)
            schedule(m_now + tick_every, [this, end] { tick(end); });
    }

    void heartbeat(instant end)
    {
        std::vector<request::peer_load> rooms;
        for (std::size_t n = 0; n < m_nodes.size(); ++n)
            rooms.push_back({.m_vm = vm_id(std::to_string(n)),
                             .m_data_centre = m_nodes[n].m_data_centre,
                             .m_free_slots = m_nodes[n].m_load(m_now).m_free_slots,
                             .m_updated_at = m_now + one_way});
        schedule(m_now + one_way,
                 [this, rooms]
                 {
                     for (std::size_t n = 0; n < m_nodes.size(); ++n)
                     {
                         auto others = rooms;
                         others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
                         send(n, request::peers_changed{std::move(others)});
                     }
                 });
        if (m_now < end)
            schedule(m_now + heartbeat_every, [this, end] { heartbeat(end); });
    }

    void submit(std::size_t n, std::size_t index, std::uint32_t hops)
    {
        const auto& item = m_arrivals[index];
        m_most_open_now += hops == 0 ? 1 : 0;
        m_result.m_most_open = std::max(m_result.m_most_open, m_most_open_now);
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
        const std::chrono::duration<double> spent = std::chrono::steady_clock::now() - begin;
        m_result.m_wall_seconds += spent.count();
        ++m_result.m_events;
        for (const auto& action : actions)
            std::visit([&](const auto& what) { act(n, what); }, action);
    }

    static std::size_t index_of(const request_id& id) { return std::stoul(id.m_value); }

    void act(std::size_t n, const request::dispatch_request& action)
    {
        const auto index = index_of(action.m_id);
        const auto& item = m_arrivals[index];
        auto& fate = m_result.m_fates[index];
        ++fate.m_starts;
        fate.m_wait = m_now - item.m_at;
        const instant end = m_now + item.m_run_time;
        const instant deadline = item.m_at + item.m_deadline;
        if (end <= deadline)
            return schedule(end, [this, n, id = action.m_id] { answer(n, id); });
        schedule(deadline,
                 [this, n, id = action.m_id] {
                     send(n, request::request_ended{
                                 id, fail(verdict::may_have_run, reason::timeout, ""), false});
                 });
        schedule(end, [this, n, id = action.m_id] { send(n, request::slot_freed{id}); });
    }

    void answer(std::size_t n, const request_id& id)
    {
        const auto index = index_of(id);
        if (m_origin_peer[index] == static_cast<int>(n))
        {
            schedule(m_now + one_way,
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
        auto& fate = m_result.m_fates[index];
        fate.m_end_at = m_now - m_arrivals[index].m_at;
        fate.m_on_time = fate.m_end_at <= m_arrivals[index].m_deadline + one_way;
        end(fate);
    }

    void end(fate& which)
    {
        ++which.m_finals;
        --m_most_open_now;
    }

    void give_up(std::size_t n, const request_id& id, const failure& why)
    {
        const auto index = index_of(id);
        if (m_origin_peer[index] != static_cast<int>(n))
        {
            m_result.m_fates[index].m_end_at = m_now - m_arrivals[index].m_at;
            return end(m_result.m_fates[index]);
        }
        m_origin_peer[index] = -1;
        schedule(m_now + one_way,
                 [this, id, index, why] {
                     send(m_arrivals[index].m_node, request::forward_failed{id, why});
                 });
    }

    void act(std::size_t n, const request::refuse_request& action)
    {
        give_up(n, action.m_id, action.m_failure);
    }

    void act(std::size_t n, const request::fail_request& action)
    {
        give_up(n, action.m_id, action.m_failure);
    }

    void act(std::size_t /*n*/, const request::forward_request& action)
    {
        const auto index = index_of(action.m_id);
        const auto peer = std::stoul(action.m_peer.m_value);
        ++m_result.m_fates[index].m_forwards;
        m_origin_peer[index] = static_cast<int>(peer);
        schedule(m_now + one_way, [this, peer, index] { submit(peer, index, 1); });
    }

    void act(std::size_t /*n*/, const request::abort_request& /*action*/) {}

    const std::vector<arrival>& m_arrivals;
    std::vector<node>& m_nodes;
    std::vector<int> m_origin_peer; ///< The peer that a request is at; -1 for none.
    std::multimap<instant, std::function<void()>> m_events;
    instant m_now{1000s};
    std::size_t m_most_open_now = 0;
    replay_result m_result;
};

} // namespace

std::size_t replay_result::lost() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_fates, [](const fate& item) { return item.m_finals != 1; }));
}

std::size_t replay_result::doubled() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_fates, [](const fate& item) { return item.m_starts > 1; }));
}

replay_result replay(const std::vector<arrival>& arrivals, std::vector<node>& nodes)
{
    return player(arrivals, nodes).run();
}

} // namespace dragonflygap::bench
