#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

std::optional<std::vector<coordinator::choice>>
coordinator::choose_gang(job_state& job, const step_key& key, const step_approval* approved,
                         bool ticketed)
{
    const auto& spec = job.spec(key.m_step);
    if (!size_of(spec).fits_in(m_most_free))
        return std::nullopt;
    const auto among = allowed(job, key, approved, ticketed);
    auto try_on = [&](const rack_id* rack) -> std::optional<std::vector<choice>>
    {
        std::vector<choice> chosen;
        std::map<worker_id, resources> taken;
        for (int i = 0; i < spec.m_count; ++i)
        {
            worker_state* worker = choose(among, spec, key, rack, taken);
            if (worker == nullptr)
                return std::nullopt;
            taken[worker->m_info.m_id] += size_of(spec);
            chosen.push_back({{key.m_job, key.m_occurrence, key.m_step, i}, worker->m_info.m_id});
        }
        return chosen;
    };
    if (spec.m_same_rack)
    {
        std::set<rack_id> racks;
        for (const worker_state* worker : among)
            racks.insert(worker->m_info.m_rack);
        for (const auto& rack : racks)
            if (auto chosen = try_on(&rack))
                return chosen;
    }
    return try_on(nullptr);
}

void coordinator::place_gang(job_state& job, const step_key& key, step_approval* approved)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    if (step.m_waiting < static_cast<int>(step.m_tasks.size()))
        return; // members of an earlier run are still being stopped
    if (auto chosen = choose_gang(job, key, approved, true))
    {
        const auto run = job.m_next_run++;
        for (const auto& [task, worker] : *chosen)
            start(job, task, m_workers.at(worker), run, approved);
        log_started(job, key, static_cast<int>(chosen->size()));
        refresh(job, key.m_occurrence);
    }
}

// Keeps room for a gang from what comes behind it: the places that it would take while its
// tickets are asked for, or the approved workers that are nearest to having the room.
void coordinator::hold_for_gang(job_state& job, const step_key& key, const step_approval* approved)
{
    const std::size_t most_closed = m_by_room.size() / 2; // the other half serves what is small
    const auto& spec = job.spec(key.m_step);
    if (auto chosen = choose_gang(job, key, approved, false))
    {
        for (const auto& [task, worker] : *chosen)
            m_workers.at(worker).m_pass.m_reserved += size_of(spec);
        return;
    }
    if (m_closed >= most_closed)
        return;
    auto nearest = allowed(job, key, approved, false);
    std::stable_sort(
        nearest.begin(), nearest.end(),
        [](const worker_state* left, const worker_state* right)
        { return left->free_for_pass().m_millicores > right->free_for_pass().m_millicores; });
    int places = 0;
    std::size_t kept = 0;
    for (; kept < nearest.size() && places < spec.m_count; ++kept)
        places += times_in(size_of(spec), nearest[kept]->m_info.m_capacity);
    if (places < spec.m_count || m_closed + kept > most_closed)
        return;
    m_closed += kept;
    for (std::size_t i = 0; i < kept; ++i)
        nearest[i]->m_pass.m_closed = true;
}

} // namespace dragonflygap::cell
