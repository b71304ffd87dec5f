#include <algorithm>
#include <utility>

#include "dragonflygap/placement/job_manager.hpp"

namespace dragonflygap::placement
{

void job_manager::place_waiting(instant now, actions& out)
{
    for (const bool urgent : {true, false})
        for (auto& [id, part] : m_parts)
            if (part.m_part.m_job.m_spec.m_urgent == urgent && ready(part) && !part.m_in_commit &&
                !part.m_outdated && !part.m_part.m_cancelled)
                place_part(part, now, out);
}

void job_manager::place_part(live_part& part, instant now, actions& out)
{
    const auto& spec = part.m_part.m_job.m_spec;
    std::vector<job_task*> due;
    bool first_start = true;
    for (auto& task : part.m_part.m_job.m_tasks)
    {
        first_start = first_start && task.m_attempt == 0;
        if (task.m_state != job_task_state::waiting || task.m_not_before > now)
            continue;
        const auto* held = m_workers.find(task.m_worker);
        if (held != nullptr && held->m_reported)
        {
            start(part, task, task.m_worker, now, out);
            continue;
        }
        auto next = task;
        ++next.m_attempt;
        m_workers.release(task.m_worker, name_of(spec.m_id, next));
        task.m_worker = {};
        due.push_back(&task);
    }
    if (due.empty())
        return;
    const auto placed =
        find_workers(part, due, spec.m_kind == job_kind::gang && first_start, now, out);
    std::map<part_home, std::vector<int>> moves;
    for (std::size_t i = 0; i < placed.size(); ++i)
    {
        auto& task = *due[i];
        auto next = task;
        ++next.m_attempt;
        m_workers.allocate(placed[i], name_of(spec.m_id, next), spec, true);
        task.m_worker = placed[i];
        const auto group = ownership::group_of(placed[i]);
        if (group == part.m_part.m_home.m_group)
        {
            start(part, task, placed[i], now, out);
            continue;
        }
        task.m_state = job_task_state::moving;
        moves[home_of(group)].push_back(task.m_index);
    }
    const auto unplaced_count = static_cast<int>(due.size() - placed.size());
    if (unplaced_count > 0 &&
        now - part.m_last_requested_at >= m_options.m_capacity_request_interval)
    {
        part.m_last_requested_at = now;
        out.emplace_back(request_capacity{part.m_part.m_id, spec, unplaced_count});
    }
    if (!moves.empty())
        move_tasks(part, moves, now);
}

void job_manager::start(live_part& part, job_task& task, const worker_id& worker, instant now,
                        actions& out)
{
    ++task.m_attempt;
    task.m_state = job_task_state::starting;
    task.m_worker = worker;
    task.m_state_since = now;
    part.m_dirty = true;
    send_start(part, task, now, out);
}

void job_manager::send_start(live_part& part, const job_task& task, instant now, actions& out)
{
    const auto* worker = m_workers.find(task.m_worker);
    if (worker == nullptr)
        return;
    m_workers.record_start(task.m_worker, now);
    const auto& spec = part.m_part.m_job.m_spec;
    out.emplace_back(start_on_worker{.m_worker = worker->m_worker,
                                     .m_task = {.m_epoch = worker->m_worker.m_epoch,
                                                .m_task = name_of(spec.m_id, task),
                                                .m_job = spec.m_id,
                                                .m_size = spec.m_size,
                                                .m_lease = m_options.m_workers.m_task_lease,
                                                .m_run_time = spec.m_expected},
                                     .m_part = part.m_part.m_id,
                                     .m_index = task.m_index,
                                     .m_attempt = task.m_attempt});
}

std::vector<capacity_offer> job_manager::capacity_for(const job_spec& spec, int count)
{
    std::vector<worker_id> placed;
    while (static_cast<int>(placed.size()) < count)
    {
        const auto worker = m_workers.placements().place(spec);
        if (!worker)
            break;
        placed.push_back(*worker);
    }
    std::map<part_home, int> capacity;
    for (const auto& worker : placed)
    {
        m_workers.placements().release(spec, worker);
        ++capacity[home_of(ownership::group_of(worker))];
    }
    if (spec.m_kind == job_kind::gang && static_cast<int>(placed.size()) < count)
        return {};
    std::vector<capacity_offer> offers;
    offers.reserve(capacity.size());
    for (const auto& [home, fits] : capacity)
        offers.push_back({home, fits});
    return offers;
}

} // namespace dragonflygap::placement
