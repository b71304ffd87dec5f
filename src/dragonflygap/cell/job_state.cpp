#include "dragonflygap/cell/job_state.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

job_state::job_state(job_id id, job_record record)
    : m_id(std::move(id)), m_record(std::move(record))
{
    std::vector<step_state> steps;
    for (const auto& spec : m_record.m_request.m_steps)
    {
        step_state step;
        step.m_tasks.resize(spec.m_count);
        step.m_waiting = spec.m_count;
        steps.push_back(std::move(step));
    }
    m_occurrences.assign(std::max(1, m_record.m_request.m_occurrences), steps);
}

void job_state::restore(const progress_record& progress)
{
    m_restored = true;
    m_stored = true;
    m_dirty = false;
    for (const auto& saved : progress.m_tasks)
    {
        const task_key key{m_id, saved.m_occurrence, saved.m_step, saved.m_index};
        task_state* task = find(key);
        if (task == nullptr)
            continue;
        m_started = true;
        task->m_failed_runs = saved.m_failed_runs;
        task->m_checkpoint = saved.m_checkpoint;
        if (saved.m_done)
            set_done(key);
    }
}

progress_record job_state::progress() const
{
    progress_record result;
    for (int k = 0; k < occurrences(); ++k)
        for (int s = 0; s < steps(); ++s)
            for (std::size_t i = 0; i < step(k, s).m_tasks.size(); ++i)
            {
                const auto& task = step(k, s).m_tasks[i];
                const bool done = task.m_status == task_status::done;
                if (done || !task.m_failed_runs.empty() || !task.m_checkpoint.empty())
                    result.m_tasks.push_back({k, s, static_cast<int>(i), done, task.m_failed_runs,
                                              done ? std::string() : task.m_checkpoint});
            }
    return result;
}

task_state* job_state::find(const task_key& task)
{
    if (task.m_occurrence >= occurrences() || task.m_step >= steps())
        return nullptr;
    auto& tasks = step(task.m_occurrence, task.m_step).m_tasks;
    return task.m_index < static_cast<int>(tasks.size()) ? &tasks[task.m_index] : nullptr;
}

bool job_state::is_due(int occurrence, int number, std::int64_t unix_ms) const
{
    const auto& request = m_record.m_request;
    if (request.m_occurrences > 0 &&
        unix_ms < request.m_first_due_ms + occurrence * request.m_interval_ms)
        return false;
    const auto& after = spec(number).m_after;
    return std::all_of(after.begin(), after.end(),
                       [&](int earlier)
                       {
                           const auto& before = step(occurrence, earlier);
                           return before.m_done == static_cast<int>(before.m_tasks.size());
                       });
}

bool job_state::all_done() const
{
    for (const auto& steps : m_occurrences)
        for (const auto& step : steps)
            if (step.m_done < static_cast<int>(step.m_tasks.size()))
                return false;
    return true;
}

void job_state::set_done(const task_key& key)
{
    task_state* task = find(key);
    if (task == nullptr || task->m_status == task_status::done)
        return;
    auto& step = m_occurrences[key.m_occurrence][key.m_step];
    step.m_waiting -= task->m_status == task_status::waiting ? 1 : 0;
    ++step.m_done;
    task->m_status = task_status::done;
    m_dirty = true;
}

void job_state::set_placed(const task_key& key, const worker_id& worker, std::uint64_t run)
{
    task_state* task = find(key);
    auto& step = m_occurrences[key.m_occurrence][key.m_step];
    step.m_waiting -= task->m_status == task_status::waiting ? 1 : 0;
    task->m_status = task_status::placed;
    task->m_worker = worker;
    task->m_run = run;
    task->m_stopping = false;
    m_started = true;
}

void job_state::set_waiting(const task_key& key)
{
    task_state* task = find(key);
    if (task == nullptr || task->m_status != task_status::placed)
        return;
    ++m_occurrences[key.m_occurrence][key.m_step].m_waiting;
    task->m_status = task_status::waiting;
    task->m_worker = {};
}

} // namespace dragonflygap::cell
