#include "dragonflygap/cell/room_claims.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

void room_claims::set(const step_key& step, room_claim claim)
{
    drop(step);
    if (!claim.m_firm.empty())
        count_firm(claim.m_priority, 1);
    add_firm(claim);
    add_tentative(claim, 1);
    m_claims.emplace(step, std::move(claim));
}

void room_claims::drop(const step_key& step)
{
    const auto found = m_claims.find(step);
    if (found == m_claims.end())
        return;
    const auto claim = std::move(found->second);
    m_claims.erase(found);
    if (m_suspended == step)
        m_suspended.reset();
    else
        remove_firm(claim);
    add_tentative(claim, -1);
    if (claim.m_firm.empty())
        return;
    count_firm(claim.m_priority, -1);
    for (const auto& place : claim.m_firm)
        m_workers.mark_grown(m_workers.at(place.m_worker));
}

bool room_claims::has_firm_claim(const step_key& step, worker_number worker) const
{
    const auto found = m_claims.find(step);
    return found != m_claims.end() &&
           std::any_of(found->second.m_firm.begin(), found->second.m_firm.end(),
                       [worker](const task_places& place) { return place.m_worker == worker; });
}

bool room_claims::any_below(int priority) const
{
    return m_firm_counts.upper_bound(priority) != m_firm_counts.end();
}

void room_claims::suspend(const step_key& step)
{
    const auto found = m_claims.find(step);
    if (found == m_claims.end())
        return;
    remove_firm(found->second);
    m_suspended = step;
}

void room_claims::resume()
{
    if (!m_suspended)
        return;
    add_firm(m_claims.at(*m_suspended));
    m_suspended.reset();
}

void room_claims::forget(worker_number worker)
{
    const auto here = [worker](const task_places& place) { return place.m_worker == worker; };
    for (auto& [step, claim] : m_claims)
    {
        std::erase_if(claim.m_tentative, here);
        if (std::erase_if(claim.m_firm, here) > 0 && claim.m_firm.empty())
            count_firm(claim.m_priority, -1);
    }
}

void room_claims::count_firm(int priority, int change)
{
    if ((m_firm_counts[priority] += change) == 0)
        m_firm_counts.erase(priority);
}

void room_claims::add_firm(const room_claim& claim)
{
    if (m_usage != nullptr && claim.m_tasks > 0)
        m_usage->add_claim(claim.m_customer, claim.m_priority, times(claim.m_size, claim.m_tasks));
    for (const auto& place : claim.m_firm)
    {
        auto& worker = m_workers.at(place.m_worker);
        worker.add_claim(claim.m_priority, times(claim.m_size, place.m_tasks));
        m_workers.update_room(worker);
    }
}

void room_claims::remove_firm(const room_claim& claim)
{
    if (m_usage != nullptr && claim.m_tasks > 0)
        m_usage->remove_claim(claim.m_customer, claim.m_priority,
                              times(claim.m_size, claim.m_tasks));
    for (const auto& place : claim.m_firm)
    {
        auto& worker = m_workers.at(place.m_worker);
        worker.remove_claim(claim.m_priority, times(claim.m_size, place.m_tasks));
        m_workers.update_room(worker);
    }
}

void room_claims::add_tentative(const room_claim& claim, int sign)
{
    for (const auto& place : claim.m_tentative)
    {
        auto& worker = m_workers.at(place.m_worker);
        worker.m_tentative_millicores +=
            sign * static_cast<std::int64_t>(
                       claim.m_approval_rate *
                       static_cast<double>(claim.m_size.m_millicores * place.m_tasks));
        m_workers.update_room(worker);
    }
}

} // namespace dragonflygap::cell
