#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/worker_text.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

void coordinator::apply_end(worker_state& worker, const ended_task& end)
{
    record_own_end(worker, end);
    const bool was_current = release(worker, end.m_task, end.m_run);
    if (end.m_end_kind == end_kind::done)
        worker.m_consecutive_failures = 0;
    job_state* job = find(end.m_task.m_job);
    task_state* task = job == nullptr ? nullptr : job->find(end.m_task);
    if (task == nullptr)
        return;
    if (log_enabled(log_level::debug) || end.m_end_kind != end_kind::done)
        log_event(log_level::info, "task_ended",
                  {{"task", text_of(end.m_task)},
                   {"run", end.m_run},
                   {"worker", worker.m_info.m_id.m_value},
                   {"how", name_of(end.m_end_kind)}});
    const auto& spec = job->spec(end.m_task.m_step);
    job->m_dirty = true;
    m_dirty.insert(job->id());
    if (!end.m_checkpoint.empty() && task->m_status == task_status::waiting)
        task->m_checkpoint = end.m_checkpoint;
    if (end.m_end_kind == end_kind::done && !spec.m_long_running)
    {
        stop_task(*job, end.m_task); // A later run may exist.
        // The members finish together, so the first one done completes the whole gang.
        if (spec.m_gang)
            job->set_step_done(end.m_task.m_occurrence, end.m_task.m_step);
        else
            job->set_done(end.m_task);
        if (!job->m_outcome && job->all_done())
            end_job(*job, job_outcome::completed);
    }
    else
    {
        if (end.m_end_kind == end_kind::failed)
        {
            count_failure(*job, end.m_task, end.m_run);
            constexpr int failure_limit = 3;
            constexpr duration avoid_duration = 5s;
            if (++worker.m_consecutive_failures >= failure_limit)
                worker.m_avoid_until = m_now + avoid_duration;
        }
        if (spec.m_gang && was_current && !job->m_outcome)
            stop_gang(*job, step_of(end.m_task), end.m_run);
    }
    update_ready_steps(*job, end.m_task.m_occurrence);
}

void coordinator::count_failure(job_state& job, const task_key& key, std::uint64_t run)
{
    const auto& spec = job.spec(key.m_step);
    task_state& task =
        *job.find(spec.m_gang ? task_key{key.m_job, key.m_occurrence, key.m_step, 0} : key);
    // The members of a gang fail together, so a run counts once.
    auto& failed = task.m_failed_runs;
    if (spec.m_long_running || std::find(failed.begin(), failed.end(), run) != failed.end())
        return;
    failed.push_back(run);
    if (static_cast<int>(failed.size()) >= job.record().m_queue.m_max_attempts && !job.m_outcome)
        end_job(job, job_outcome::failed);
}

bool coordinator::release(worker_state& worker, const task_key& key, std::uint64_t run)
{
    const auto placed = worker.m_placements.find(key);
    if (placed == worker.m_placements.end() || placed->second.m_run != run)
        return false;
    worker.remove(placed);
    m_index.update_room(worker);
    m_index.mark_changed(worker);
    m_index.mark_grown(worker);
    job_state* job = find(key.m_job);
    const task_state* task = job == nullptr ? nullptr : job->find(key);
    if (task == nullptr || task->m_status != task_status::placed || task->m_run != run ||
        task->m_worker != worker.m_info.m_id)
        return false;
    job->set_waiting(key);
    update_ready_steps(*job, key.m_occurrence);
    return true;
}

// True if a run of one of the step's waiting tasks is still being stopped there, as it may be after
// another leader started it. A worker holds one run of a task at a time.
bool coordinator::holds_earlier_run(const worker_state& worker, const job_state& job,
                                    const step_key& key)
{
    if (worker.m_stop_request_count == 0)
        return false;
    const auto& tasks = job.step(key.m_occurrence, key.m_step).m_tasks;
    const int count = static_cast<int>(tasks.size());
    const task_key first{key.m_job, key.m_occurrence, key.m_step, 0};
    for (auto run = worker.m_placements.lower_bound(first);
         run != worker.m_placements.end() && step_of(run->first) == key; ++run)
        if (run->first.m_index < count &&
            tasks[run->first.m_index].m_status == task_status::waiting)
            return true;
    return false;
}

void coordinator::send_stops(worker_state& worker)
{
    constexpr duration stop_retry_interval = 500ms;
    if (worker.m_stop_request_count > 0)
        for (auto& [key, placed] : worker.m_placements)
        {
            if (!placed.m_stop_requested || placed.m_stop_in_flight || m_now < placed.m_next_stop ||
                placed.m_stop_acknowledged)
                continue;
            placed.m_stop_in_flight = true;
            placed.m_next_stop = m_now + stop_retry_interval;
            m_actions->push_back(
                send_stop{address_of(worker), key, placed.m_run, m_order_time.timeout(), m_now});
        }
    if (worker.m_unconfirmed_starts.empty() || !worker.m_synced ||
        m_now < worker.m_next_unconfirmed_stop)
        return;
    worker.m_next_unconfirmed_stop = m_now + stop_retry_interval;
    for (const auto& [key, run] : worker.m_unconfirmed_starts)
        m_actions->push_back(
            send_stop{address_of(worker), key, run, m_order_time.timeout(), m_now});
}

// Logs the first failure and then each that doubles their number, as stops are retried for long.
void coordinator::log_failed_stop(const stop_answered& event, placement& placed)
{
    ++m_counts.m_stops_failed;
    ++placed.m_failed_stops;
    if ((placed.m_failed_stops & (placed.m_failed_stops - 1)) != 0)
        return;
    log_event(
        log_level::warning, "stop_failed",
        {{"task", text_of(event.m_task)},
         {"run", event.m_run},
         {"worker", event.m_worker.m_value},
         {"failures", placed.m_failed_stops},
         {"stopping_ms", to_ms(m_now - placed.m_stop_requested_at)},
         {"detail", event.m_result ? "the worker is unhealthy" : event.m_result.error().m_detail}});
}

void coordinator::on(const stop_answered& event)
{
    auto* stopping = find_worker(event.m_worker);
    if (stopping == nullptr)
        return;
    auto& worker = *stopping;
    if (event.m_result)
        check_clock(worker, event.m_result->m_clock_ms, event.m_sent);
    if (event.m_sent < worker.m_life_since)
        return; // Only a stop that this life acknowledged keeps it from starting the run.
    const bool failed = !event.m_result || event.m_result->m_refusal == start_refusal::unhealthy;
    auto& failing_since = worker.m_stops_failing_since;
    if (!failed)
        failing_since = {};
    else if (failing_since == instant{})
        failing_since = m_now;
    if (const auto open = worker.m_unconfirmed_starts.find(event.m_task);
        event.m_result && open != worker.m_unconfirmed_starts.end() && open->second == event.m_run)
        worker.m_unconfirmed_starts.erase(open);
    const auto found = worker.m_placements.find(event.m_task);
    if (found == worker.m_placements.end() || found->second.m_run != event.m_run)
        return;
    auto& placed = found->second;
    placed.m_stop_in_flight = false;
    if (failed)
    {
        log_failed_stop(event, placed);
        return;
    }
    placed.m_failed_stops = 0;
    if (event.m_result->m_refusal == start_refusal::fenced)
    {
        m_deposed = true;
        m_actions->push_back(step_down{"a worker has seen a higher fencing token"});
        return;
    }
    // The run can't start any more; the next report shows whether it had started.
    placed.m_stop_acknowledged = true;
    placed.m_confirmed_at = m_now;
    worker.m_report_wanted = placed.m_phase == placement_phase::unknown;
}

void coordinator::stop_task(job_state& job, const task_key& key)
{
    task_state* task = job.find(key);
    if (task == nullptr || task->m_status != task_status::placed)
        return;
    auto* worker = find_worker(task->m_worker);
    if (worker == nullptr)
        return;
    const auto placed = worker->m_placements.find(key);
    if (placed != worker->m_placements.end() && placed->second.m_run == task->m_run)
        worker->request_stop(placed->second, m_now);
}

void coordinator::stop_gang(job_state& job, const step_key& key, std::uint64_t run)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    for (std::size_t i = 0; i < step.m_tasks.size(); ++i)
        if (step.m_tasks[i].m_run == run)
            stop_task(job, {key.m_job, key.m_occurrence, key.m_step, static_cast<int>(i)});
}

void coordinator::stop_all_tasks(job_state& job)
{
    for (const auto& [k, steps] : job.open_occurrences())
        for (int s = 0; s < job.steps(); ++s)
            for (std::size_t i = 0; i < steps[s].m_tasks.size(); ++i)
                stop_task(job, {job.id(), k, s, static_cast<int>(i)});
}

} // namespace dragonflygap::cell
