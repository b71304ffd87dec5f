#include "dragonflygap/request/class_queue.hpp"

#include <algorithm>

namespace dragonflygap::request
{

namespace
{

constexpr std::size_t max_extra_stale_entries = 64;

} // namespace

bool class_queue::is_live(const entry& item)
{
    return item.m_request->m_stage == stage::waiting &&
           item.m_request->m_queue_entry_number == item.m_number;
}

void class_queue::push(const tracked_request_ptr& request, const weights& caller_weights,
                       bool at_front)
{
    const auto& caller = request->m_request.m_caller;
    auto [found, inserted] = m_flows.try_emplace(caller);
    auto& flow = found->second;
    if (flow.m_live_count == 0)
    {
        if (!inserted)
            m_idle.erase({flow.m_next_start, caller});
        const auto weight = caller_weights.find(caller);
        flow.m_weight = weight == caller_weights.end() ? 1 : weight->second;
        flow.m_next_start = std::max(flow.m_next_start, m_virtual_time);
        m_active.emplace(flow.m_next_start, caller);
        m_active_weight += flow.m_weight;
    }
    request->m_queue_entry_number = ++m_last_entry;
    if (at_front)
        flow.m_entries.push_front({request, m_last_entry});
    else
        flow.m_entries.push_back({request, m_last_entry});
    ++flow.m_live_count;
    ++m_live_count;
}

void class_queue::drop_stale_front(caller_flow& flow)
{
    while (!flow.m_entries.empty() && !is_live(flow.m_entries.front()))
        flow.m_entries.pop_front();
}

const tracked_request* class_queue::front()
{
    if (m_active.empty())
        return nullptr;
    auto& flow = m_flows.find(m_active.begin()->second)->second;
    drop_stale_front(flow);
    return flow.m_entries.front().m_request.get();
}

tracked_request_ptr class_queue::pop()
{
    if (m_active.empty())
        return nullptr;
    const caller_id caller = m_active.begin()->second;
    auto& flow = m_flows.find(caller)->second;
    drop_stale_front(flow);
    auto request = std::move(flow.m_entries.front().m_request);
    flow.m_entries.pop_front();
    m_virtual_time = std::max(m_virtual_time, flow.m_next_start);
    set_next_start(flow, caller, flow.m_next_start + 1.0 / flow.m_weight);
    remove_one(flow, caller);
    evict_idle_flows();
    return request;
}

void class_queue::on_removed(const tracked_request& request)
{
    const auto& caller = request.m_request.m_caller;
    const auto found = m_flows.find(caller);
    if (found == m_flows.end())
        return;
    auto& flow = found->second;
    remove_one(flow, caller);
    if (flow.m_entries.size() <= 2 * flow.m_live_count + max_extra_stale_entries)
        return;
    // The cost is constant per removal when amortized over those since the last compaction.
    std::erase_if(flow.m_entries, [&](const entry& item)
                  { return !is_live(item) || item.m_request.get() == &request; });
}

void class_queue::remove_one(caller_flow& flow, const caller_id& caller)
{
    --flow.m_live_count;
    --m_live_count;
    if (flow.m_live_count != 0)
        return;
    flow.m_entries.clear();
    m_active.erase({flow.m_next_start, caller});
    m_idle.emplace(flow.m_next_start, caller);
    m_active_weight -= flow.m_weight;
}

void class_queue::set_next_start(caller_flow& flow, const caller_id& caller, double start)
{
    auto& order = flow.m_live_count == 0 ? m_idle : m_active;
    order.erase({flow.m_next_start, caller});
    flow.m_next_start = start;
    order.emplace(start, caller);
}

void class_queue::evict_idle_flows()
{
    // Once no requests are waiting, the past usage of all callers is discarded.
    while (!m_idle.empty() && (m_live_count == 0 || m_idle.begin()->first <= m_virtual_time))
    {
        m_flows.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

void class_queue::charge(const caller_id& caller, double extra_run_times)
{
    const auto found = m_flows.find(caller);
    if (found == m_flows.end())
        return;
    auto& flow = found->second;
    set_next_start(flow, caller, flow.m_next_start + extra_run_times / flow.m_weight);
}

std::size_t class_queue::size_of(const caller_id& caller) const
{
    const auto found = m_flows.find(caller);
    return found == m_flows.end() ? 0 : found->second.m_live_count;
}

double class_queue::share_of(const caller_id& caller, int weight) const
{
    const bool active = size_of(caller) != 0;
    return weight / (m_active_weight + (active ? 0 : weight));
}

double class_queue::rank_of_next(const caller_id& caller, int weight) const
{
    const double own_rank = static_cast<double>(size_of(caller)) + 1;
    return std::min(static_cast<double>(m_live_count) + 1, own_rank / share_of(caller, weight));
}

} // namespace dragonflygap::request
