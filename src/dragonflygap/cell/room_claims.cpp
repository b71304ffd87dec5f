#include "dragonflygap/cell/room_claims.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace dragonflygap::cell
{

namespace
{

resources times(const resources& size, int count)
{
    return {.m_millicores = size.m_millicores * count,
            .m_memory_mb = size.m_memory_mb * count,
            .m_accelerators = size.m_accelerators * count};
}

void for_each_firm(const room_claim& claim, room_claims::worker_map& workers,
                   const std::function<void(worker_state&, const resources&)>& visit)
{
    for (const auto& place : claim.m_firm)
        if (const auto worker = workers.find(place.m_worker); worker != workers.end())
            visit(worker->second, times(claim.m_size, place.m_tasks));
}

} // namespace

void room_claims::set(const step_key& step, room_claim claim)
{
    m_claims.insert_or_assign(step, std::move(claim));
}

bool room_claims::has_firm_claim(const step_key& step, const worker_id& worker) const
{
    const auto found = m_claims.find(step);
    return found != m_claims.end() &&
           std::any_of(found->second.m_firm.begin(), found->second.m_firm.end(),
                       [&worker](const task_places& place) { return place.m_worker == worker; });
}

void room_claims::begin_pass(worker_map& workers)
{
    m_lower_priority.clear();
    for (const auto& [step, claim] : m_claims)
    {
        for_each_firm(claim, workers,
                      [&, priority = claim.m_priority](worker_state& worker, const resources& size)
                      {
                          worker.m_pass.m_lower_priority += size;
                          m_lower_priority.push_back({priority, &worker, size});
                      });
        for (const auto& place : claim.m_tentative)
            if (const auto worker = workers.find(place.m_worker); worker != workers.end())
                worker->second.m_pass.m_tentative_millicores += static_cast<std::int64_t>(
                    claim.m_approval_rate *
                    static_cast<double>(claim.m_size.m_millicores * place.m_tasks));
    }
    std::stable_sort(m_lower_priority.begin(), m_lower_priority.end(),
                     [](const applied& left, const applied& right)
                     { return left.m_priority > right.m_priority; });
}

void room_claims::bind_up_to(int priority)
{
    while (!m_lower_priority.empty() && m_lower_priority.back().m_priority <= priority)
    {
        const auto& next = m_lower_priority.back();
        next.m_worker->m_pass.m_lower_priority -= next.m_size;
        next.m_worker->m_pass.m_reserved += next.m_size;
        m_lower_priority.pop_back();
    }
}

void room_claims::suspend(const step_key& step, worker_map& workers) const
{
    if (const auto found = m_claims.find(step); found != m_claims.end())
        for_each_firm(found->second, workers,
                      [](worker_state& worker, const resources& size)
                      { worker.m_pass.m_reserved -= size; });
}

void room_claims::resume(const step_key& step, worker_map& workers) const
{
    if (const auto found = m_claims.find(step); found != m_claims.end())
        for_each_firm(found->second, workers,
                      [](worker_state& worker, const resources& size)
                      { worker.m_pass.m_reserved += size; });
}

} // namespace dragonflygap::cell
