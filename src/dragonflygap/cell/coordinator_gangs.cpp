#include <algorithm>
#include <functional>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

namespace
{

// Free capacity of a worker once all tasks except long-running ones have ended.
resources capacity_when_drained(const worker_state& worker,
                                const std::function<bool(const task_key&)>& is_long_running)
{
    auto free = worker.m_info.m_capacity;
    for (const auto& [task, placed] : worker.m_placements)
        if (is_long_running(task))
            free -= placed.m_size;
    return free;
}

} // namespace

// Chooses the workers to drain for a gang, those with the most free capacity first, as they fit it
// the soonest. They are closed to steps of lower rank until then.
void coordinator::drain_for_gang(job_state& job, const step_key& key)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    step.m_drained.clear();
    // The other half remains for small tasks.
    const std::size_t max_closed = m_workers_by_free_capacity.size() / 2;
    const auto& spec = job.spec(key.m_step);
    if (m_closed >= max_closed)
        return;
    auto candidates = eligible_workers(job, key, ticket_need::known);
    std::stable_sort(
        candidates.begin(), candidates.end(),
        [](const worker_state* left, const worker_state* right)
        { return left->free_for_pass().m_millicores > right->free_for_pass().m_millicores; });
    const auto is_long_running = [this](const task_key& task)
    {
        const job_state* other = find_job(task.m_job);
        return other != nullptr && other->spec(task.m_step).m_long_running;
    };
    int places = 0;
    std::size_t drained_count = 0;
    for (; drained_count < candidates.size() && places < spec.m_count; ++drained_count)
        places +=
            std::min(fit_count(size_of(spec),
                               capacity_when_drained(*candidates[drained_count], is_long_running)),
                     spec.m_max_per_worker > 0 ? spec.m_max_per_worker : spec.m_count);
    if (places < spec.m_count || m_closed + drained_count > max_closed)
        return;
    for (std::size_t i = 0; i < drained_count; ++i)
        step.m_drained.push_back(candidates[i]->m_info.m_id);
}

void coordinator::close_drained(const step_state& step)
{
    const std::size_t max_closed = m_workers_by_free_capacity.size() / 2;
    for (const auto& id : step.m_drained)
    {
        const auto found = m_workers.find(id);
        if (found == m_workers.end() || found->second.m_pass.m_closed || m_closed >= max_closed)
            continue;
        found->second.m_pass.m_closed = true;
        ++m_closed;
    }
}

} // namespace dragonflygap::cell
