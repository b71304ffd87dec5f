#include "dragonflygap/cell/approval_balancer.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace dragonflygap::cell
{

duration approval_balancer::member::open_cost() const
{
    duration result{};
    for (const auto& [number, call] : m_calls)
        result += call.m_cost;
    return result;
}

duration approval_balancer::member::overdue_cost(instant now) const
{
    duration result{};
    for (const auto& [number, call] : m_calls)
        if (call.m_expected_at <= now)
            result += call.m_cost;
    return result;
}

void approval_balancer::set_members(std::vector<vm_id> members)
{
    std::sort(members.begin(), members.end());
    std::vector<member> changed;
    changed.reserve(members.size());
    for (auto& vm : members)
    {
        member* known = find(vm);
        changed.push_back(known == nullptr ? member{.m_vm = std::move(vm)} : std::move(*known));
    }
    m_members = std::move(changed);
}

const approval_balancer::member* approval_balancer::find(const vm_id& vm) const
{
    const auto found =
        std::lower_bound(m_members.begin(), m_members.end(), vm,
                         [](const member& one, const vm_id& wanted) { return one.m_vm < wanted; });
    return found != m_members.end() && found->m_vm == vm ? &*found : nullptr;
}

approval_balancer::member* approval_balancer::find(const vm_id& vm)
{
    return const_cast<member*>(std::as_const(*this).find(vm));
}

duration approval_balancer::queue_delay(const vm_id& via, instant now) const
{
    const member* found = find(via);
    return found == nullptr ? duration{} : found->delay(now);
}

void approval_balancer::load_estimate::advance(duration interval, instant now)
{
    const auto seconds = [](duration value)
    { return std::chrono::duration<double>(value).count(); };
    m_busy_vms *= std::exp(-seconds(now - m_as_of) / seconds(interval));
    m_as_of = now;
}

std::size_t approval_balancer::kept_free(double busy_vms, std::size_t limit) const
{
    const auto wanted =
        static_cast<std::size_t>(std::lround(m_options.m_kept_free_factor * busy_vms));
    return std::min(m_options.m_min_kept_free + wanted, limit);
}

std::size_t approval_balancer::vm_count(duration cost) const
{
    const std::size_t all = m_members.size();
    if (cost > m_options.m_long_call_limit)
        return all - kept_free(m_short_load.m_busy_vms + m_medium_load.m_busy_vms, all / 2);
    return cost > m_options.m_short_call_limit ? all - kept_free(m_short_load.m_busy_vms, all / 4)
                                               : all;
}

std::optional<vm_id> approval_balancer::choose(duration cost, duration max_wait, instant now) const
{
    const std::size_t allowed = vm_count(cost);
    const member* best = nullptr;
    for (std::size_t i = 0; i < allowed; ++i)
    {
        const auto& one = m_members[i];
        // Among equals the last one, as longer calls don't use it.
        if (one.delay(now) <= max_wait && (best == nullptr || one.delay(now) <= best->delay(now)) &&
            one.overdue_cost(now) <= m_options.m_max_overdue)
            best = &one;
    }
    if (best == nullptr)
        return std::nullopt;
    return best->m_vm;
}

void approval_balancer::record_call(std::uint64_t call, const vm_id& via, duration cost,
                                    instant now)
{
    m_short_load.advance(m_options.m_load_interval, now);
    m_medium_load.advance(m_options.m_load_interval, now);
    if (cost <= m_options.m_long_call_limit)
        (cost > m_options.m_short_call_limit ? m_medium_load : m_short_load).m_busy_vms +=
            std::chrono::duration<double>(cost) / m_options.m_load_interval;
    member* found = find(via);
    if (found == nullptr)
        return;
    found->m_busy_until = std::max(found->m_busy_until, now) + cost;
    found->m_calls[call] = {cost, found->m_busy_until};
}

void approval_balancer::answered(std::uint64_t call, const vm_id& via, duration reported_backlog,
                                 instant now)
{
    member* found = find(via);
    if (found == nullptr)
        return;
    found->m_calls.erase(call);
    const auto own = found->open_cost();
    const auto foreign = std::max(duration{}, reported_backlog - own);
    found->m_busy_until = now + std::min(found->delay(now), own) + foreign;
}

void approval_balancer::set_unresponsive(std::uint64_t call, const vm_id& via, instant now)
{
    member* found = find(via);
    if (found == nullptr)
        return;
    found->m_calls.erase(call);
    found->m_busy_until = std::max(found->m_busy_until, now + m_options.m_unresponsive_delay);
}

} // namespace dragonflygap::cell
