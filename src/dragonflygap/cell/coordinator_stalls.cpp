#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/cell/worker_text.hpp"
#include "dragonflygap/observe/log.hpp"

/// Tasks that stand still: some workers answer all calls, but nothing on them advances. A worker is
/// judged by all of its tasks, a task by its own pace and that of its step.
namespace dragonflygap::cell
{

namespace
{

constexpr int all_percent = 100;

} // namespace

void coordinator::mark_advanced(worker_state& worker, instant now)
{
    worker.m_advanced_at = now;
    worker.m_suspected_until = {};
    worker.m_suspicions = 0;
}

// To be called for each run of a report, before the run counts as listed.
void coordinator::record_progress(worker_state& worker, placement& placed,
                                  const running_task& running)
{
    job_state* job = find(running.m_task.m_job);
    const task_state* task = job == nullptr ? nullptr : job->find(running.m_task);
    const bool earlier_progress = placed.m_resumed && !placed.m_listed;
    const bool saved = task != nullptr && task->m_run == running.m_run &&
                       !running.m_checkpoint.empty() && running.m_checkpoint != task->m_checkpoint;
    const int percent = running.m_progress_percent - placed.m_progress_percent;
    placed.m_progress_percent = running.m_progress_percent;
    if (saved)
        placed.m_saved_at = m_now;
    if (percent == 0 && !saved)
        return;
    const duration taken = m_now - std::exchange(placed.m_progress_at, m_now);
    if (earlier_progress)
        return;
    mark_advanced(worker, m_now);
    placed.m_pace.add(taken, percent);
    if (task != nullptr)
        job->step(running.m_task.m_occurrence, running.m_task.m_step).m_pace.add(taken, percent);
}

// Only a worker that executes its tasks can tell that one is done or has failed.
void coordinator::record_own_end(worker_state& worker, const ended_task& end)
{
    if (end.m_end_kind != end_kind::done && end.m_end_kind != end_kind::failed)
        return;
    mark_advanced(worker, m_now);
    const auto placed = worker.m_placements.find(end.m_task);
    job_state* job = find(end.m_task.m_job);
    if (end.m_end_kind != end_kind::done || placed == worker.m_placements.end() ||
        placed->second.m_run != end.m_run || job == nullptr || job->find(end.m_task) == nullptr)
        return;
    const auto& run = placed->second;
    if (!run.m_resumed || run.m_listed)
        job->step(end.m_task.m_occurrence, end.m_task.m_step)
            .m_pace.add(m_now - run.m_progress_at, all_percent - run.m_progress_percent);
}

// Runs that stand still are stopped, with their checkpoints, and start again elsewhere.
void coordinator::stop_stalled_tasks()
{
    constexpr duration check_interval = 500ms;
    if (m_now - m_last_stall_check < check_interval)
        return;
    m_last_stall_check = m_now;
    for (auto& [id, worker] : m_workers)
        for (auto& [key, placed] : worker.m_placements)
            if (const auto stalled = find_stall(worker, key, placed))
                stop_stalled(worker, key, placed, *stalled);
}

// How long the run and all others of its worker have stood still.
duration coordinator::worker_still_time(const worker_state& worker, const placement& placed)
{
    return worker.m_last_report_at - std::max(worker.m_advanced_at, placed.m_progress_at);
}

std::optional<coordinator::stalled_run>
coordinator::find_stall(const worker_state& worker, const task_key& key, const placement& placed)
{
    const auto& options = m_options.m_stalls;
    const duration still = worker.m_last_report_at - placed.m_progress_at;
    // A gang member that has done its part waits for the others.
    if (still < options.m_min_timeout || placed.m_stop_requested ||
        placed.m_phase != placement_phase::running || placed.m_progress_percent >= all_percent)
        return std::nullopt;
    job_state* job = find(key.m_job);
    if (job == nullptr || job->m_outcome || job->find(key) == nullptr)
        return std::nullopt;
    const auto& spec = job->spec(key.m_step);
    if (spec.m_long_running || spec.m_best_effort)
        return std::nullopt;
    const auto& step = job->step(key.m_occurrence, key.m_step);
    const run_history history{.m_estimate = std::chrono::milliseconds(spec.m_expected_ms),
                              .m_run = placed.m_pace,
                              .m_step = step.m_pace,
                              .m_unsaved = placed.m_progress_at - placed.m_saved_at,
                              .m_earlier_stops = step.stalls(spec.m_gang ? 0 : key.m_index)};
    stalled_run result{.m_still = still,
                       .m_timeout = stall_timeout(options, history),
                       .m_unsaved = history.m_unsaved,
                       .m_earlier_stops = history.m_earlier_stops};
    result.m_worker_still = worker_still_time(worker, placed) >= result.m_timeout;
    if (!result.m_worker_still)
        result.m_timeout *= options.m_timeout_factor_beside_others;
    return still >= result.m_timeout ? std::optional(result) : std::nullopt;
}

void coordinator::stop_stalled(worker_state& worker, const task_key& key, placement& placed,
                               const stalled_run& stalled)
{
    job_state& job = *find(key.m_job);
    const bool gang = job.spec(key.m_step).m_gang;
    log_event(log_level::info, "task_stuck",
              {{"task", text_of(key)},
               {"run", placed.m_run},
               {"worker", worker.m_info.m_id.m_value},
               {"percent", placed.m_progress_percent},
               {"unchanged_ms", to_ms(stalled.m_still)},
               {"allowed_ms", to_ms(stalled.m_timeout)},
               {"unsaved_ms", to_ms(stalled.m_unsaved)},
               {"earlier_stops", stalled.m_earlier_stops},
               {"worker_still", stalled.m_worker_still ? 1 : 0},
               {"runs_beside", worker.m_placements.size() - 1}});
    ++m_counts.m_tasks_stuck;
    ++job.step(key.m_occurrence, key.m_step).m_tasks[gang ? 0 : key.m_index].m_stalls;
    job.m_dirty = true; // Successors have to know the number of stops.
    m_dirty.insert(job.id());
    if (stalled.m_worker_still)
        suspect(worker, placed);
    worker.request_stop(placed, m_now);
    if (gang)
    {
        suspect_members(job, step_of(key), placed.m_run, stalled.m_timeout);
        stop_gang(job, step_of(key), placed.m_run);
    }
    m_index.mark_changed(worker);
}

// All members of a gang stand still if one of their workers does, and nothing tells which one.
void coordinator::suspect_members(const job_state& job, const step_key& key, std::uint64_t run,
                                  duration timeout)
{
    const auto& tasks = job.step(key.m_occurrence, key.m_step).m_tasks;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        auto* worker = find_worker(tasks[i].m_worker);
        if (worker == nullptr || tasks[i].m_run != run)
            continue;
        const auto placed = worker->m_placements.find(
            {key.m_job, key.m_occurrence, key.m_step, static_cast<int>(i)});
        // Their reports are of different ages.
        if (placed != worker->m_placements.end() &&
            worker_still_time(*worker, placed->second) >= timeout / 2)
            suspect(*worker, placed->second);
    }
}

// One job's tasks may stand still for reasons of their own, so the worker stays open to all. Runs
// that stand still together are one suspicion; only a run that was started later is another.
void coordinator::suspect(worker_state& worker, const placement& stalled)
{
    constexpr duration first_duration = 5s; // Such disturbances last seconds.
    constexpr int max_doublings = 4;
    if (worker.m_suspicions > 0 && stalled.m_started <= worker.m_suspected_at)
        return;
    worker.m_suspected_at = m_now;
    const int doublings = std::min(worker.m_suspicions++, max_doublings);
    worker.m_suspected_until = m_now + first_duration * (1 << doublings);
    m_suspected_until = std::max(m_suspected_until, worker.m_suspected_until);
    log_event(log_level::info, "worker_suspected",
              {{"worker", worker.m_info.m_id.m_value},
               {"times", worker.m_suspicions},
               {"for_ms", to_ms(worker.m_suspected_until - m_now)}});
}

// True if the other workers have room for all of the step's tasks that may start.
bool coordinator::passes_over_suspected(const job_state& job, const step_key& key) const
{
    if (m_now >= m_suspected_until)
        return false;
    const auto& spec = job.spec(key.m_step);
    const auto size = size_of(spec);
    const int needed = startable(job, key);
    const int priority = job.record().m_queue.m_priority;
    const step_approval* approved = approval_of(job, key);
    int places = 0;
    for (const auto& [room, number] : m_index.open_workers(job.record().m_queue.m_service))
    {
        const auto& worker = m_index.at(number);
        const bool denied =
            approved != nullptr && approved->is_known(number) && !approved->is_approved(number);
        if (is_suspected(worker) || denied || !is_eligible(worker, job, key))
            continue;
        places +=
            std::min(fit_count(size, worker.free_for(priority)), max_tasks_on(worker, spec, key));
        if (places >= needed)
            return true;
    }
    return false;
}

} // namespace dragonflygap::cell
