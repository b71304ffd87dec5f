#include <algorithm>
#include <functional>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

namespace
{

// What is left for others once all has ended there that ends by itself.
resources room_when_drained(const worker_state& worker,
                            const std::function<bool(const task_key&)>& lasts)
{
    auto room = worker.m_info.m_capacity;
    for (const auto& [task, placed] : worker.m_placements)
        if (lasts(task))
            room -= placed.m_size;
    return room;
}

} // namespace

// Chooses the workers that are nearest to having the room for a gang: what comes behind it gets
// nothing there.
void coordinator::drain_for_gang(job_state& job, const step_key& key)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    step.m_drained.clear();
    const std::size_t most_closed = m_by_room.size() / 2; // the other half serves what is small
    const auto& spec = job.spec(key.m_step);
    if (m_closed >= most_closed)
        return;
    auto nearest = allowed(job, key, ticket_need::known);
    std::stable_sort(
        nearest.begin(), nearest.end(),
        [](const worker_state* left, const worker_state* right)
        { return left->free_for_pass().m_millicores > right->free_for_pass().m_millicores; });
    const auto lasts = [this](const task_key& task)
    {
        const job_state* other = find_job(task.m_job);
        return other != nullptr && other->spec(task.m_step).m_long_running;
    };
    int places = 0;
    std::size_t kept = 0;
    for (; kept < nearest.size() && places < spec.m_count; ++kept)
        places += std::min(times_in(size_of(spec), room_when_drained(*nearest[kept], lasts)),
                           spec.m_max_per_worker > 0 ? spec.m_max_per_worker : spec.m_count);
    if (places < spec.m_count || m_closed + kept > most_closed)
        return;
    for (std::size_t i = 0; i < kept; ++i)
        step.m_drained.push_back(nearest[i]->m_info.m_id);
}

void coordinator::keep_drained(const step_state& step)
{
    const std::size_t most_closed = m_by_room.size() / 2;
    for (const auto& id : step.m_drained)
    {
        const auto found = m_workers.find(id);
        if (found == m_workers.end() || found->second.m_pass.m_closed || m_closed >= most_closed)
            continue;
        found->second.m_pass.m_closed = true;
        ++m_closed;
    }
}

} // namespace dragonflygap::cell
