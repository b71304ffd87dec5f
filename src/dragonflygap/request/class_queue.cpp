#include "dragonflygap/request/class_queue.hpp"

#include <algorithm>

namespace dragonflygap::request
{

namespace
{

constexpr std::size_t void_entries_kept = 64;

} // namespace

bool class_queue::valid(const entry& item)
{
    return item.m_request->m_stage == stage::waiting &&
           item.m_request->m_queue_entry == item.m_number;
}

void class_queue::push(const tracked_request_ptr& request, const weights& callers, bool at_front)
{
    const auto& caller = request->m_request.m_caller;
    auto [found, fresh] = m_flows.try_emplace(caller);
    auto& flow = found->second;
    if (flow.m_live == 0)
    {
        if (!fresh)
            m_idle.erase({flow.m_start, caller});
        const auto weight = callers.find(caller);
        flow.m_weight = weight == callers.end() ? 1 : weight->second;
        flow.m_start = std::max(flow.m_start, m_virtual_time);
        m_active.emplace(flow.m_start, caller);
        m_active_weight += flow.m_weight;
    }
    request->m_queue_entry = ++m_last_entry;
    if (at_front)
        flow.m_entries.push_front({request, m_last_entry});
    else
        flow.m_entries.push_back({request, m_last_entry});
    ++flow.m_live;
    ++m_live;
}

void class_queue::drop_void_front(caller_flow& flow)
{
    while (!flow.m_entries.empty() && !valid(flow.m_entries.front()))
        flow.m_entries.pop_front();
}

const tracked_request* class_queue::front()
{
    if (m_active.empty())
        return nullptr;
    auto& flow = m_flows.find(m_active.begin()->second)->second;
    drop_void_front(flow);
    return flow.m_entries.front().m_request.get();
}

tracked_request_ptr class_queue::pop()
{
    if (m_active.empty())
        return nullptr;
    const caller_id caller = m_active.begin()->second;
    auto& flow = m_flows.find(caller)->second;
    drop_void_front(flow);
    auto request = std::move(flow.m_entries.front().m_request);
    flow.m_entries.pop_front();
    m_virtual_time = std::max(m_virtual_time, flow.m_start);
    move_start(flow, caller, flow.m_start + 1.0 / flow.m_weight);
    drop_one(flow, caller);
    forget_idle();
    return request;
}

void class_queue::removed(const tracked_request& request)
{
    const auto& caller = request.m_request.m_caller;
    const auto found = m_flows.find(caller);
    if (found == m_flows.end())
        return;
    auto& flow = found->second;
    drop_one(flow, caller);
    if (flow.m_entries.size() <= 2 * flow.m_live + void_entries_kept)
        return;
    // Paid for by the removals since the last time.
    std::erase_if(flow.m_entries, [&](const entry& item)
                  { return !valid(item) || item.m_request.get() == &request; });
}

void class_queue::drop_one(caller_flow& flow, const caller_id& caller)
{
    --flow.m_live;
    --m_live;
    if (flow.m_live != 0)
        return;
    flow.m_entries.clear();
    m_active.erase({flow.m_start, caller});
    m_idle.emplace(flow.m_start, caller);
    m_active_weight -= flow.m_weight;
}

void class_queue::move_start(caller_flow& flow, const caller_id& caller, double start)
{
    auto& order = flow.m_live == 0 ? m_idle : m_active;
    order.erase({flow.m_start, caller});
    flow.m_start = start;
    order.emplace(start, caller);
}

void class_queue::forget_idle()
{
    // Without waiting callers nobody is owed anything.
    while (!m_idle.empty() && (m_live == 0 || m_idle.begin()->first <= m_virtual_time))
    {
        m_flows.erase(m_idle.begin()->second);
        m_idle.erase(m_idle.begin());
    }
}

void class_queue::charge(const caller_id& caller, double run_times)
{
    const auto found = m_flows.find(caller);
    if (found == m_flows.end())
        return;
    auto& flow = found->second;
    move_start(flow, caller, flow.m_start + run_times / flow.m_weight);
}

std::size_t class_queue::size_of(const caller_id& caller) const
{
    const auto found = m_flows.find(caller);
    return found == m_flows.end() ? 0 : found->second.m_live;
}

double class_queue::share_of(const caller_id& caller, int weight) const
{
    const bool active = size_of(caller) != 0;
    return weight / (m_active_weight + (active ? 0 : weight));
}

double class_queue::rank_of_next(const caller_id& caller, int weight) const
{
    const double own = static_cast<double>(size_of(caller)) + 1;
    return std::min(static_cast<double>(m_live) + 1, own / share_of(caller, weight));
}

} // namespace dragonflygap::request
