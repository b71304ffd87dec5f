#include "dragonflygap/cell/job_state.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

namespace
{

bool is_plainly_done(const task_progress& task)
{
    return task.m_done && task.m_failed_runs.empty();
}

// Whether a range goes on with a task that is done.
bool continues(const done_range& range, const task_progress& task)
{
    if (range.m_step != task.m_step)
        return false;
    if (task.m_index == task_progress::whole_step)
        return range.m_first_index == task_progress::whole_step &&
               range.m_last_occurrence + 1 == task.m_occurrence;
    return range.m_first_index != task_progress::whole_step &&
           range.m_last_occurrence == task.m_occurrence && range.m_last_index + 1 == task.m_index;
}

/// Moves tasks that are done into ranges.
void compact(progress_record& progress)
{
    std::stable_sort(progress.m_tasks.begin(), progress.m_tasks.end(),
                     [](const task_progress& left, const task_progress& right)
                     { return left.m_step < right.m_step; });
    for (const auto& task : progress.m_tasks)
    {
        if (!is_plainly_done(task))
            continue;
        if (progress.m_done.empty() || !continues(progress.m_done.back(), task))
            progress.m_done.push_back({.m_step = task.m_step,
                                       .m_first_occurrence = task.m_occurrence,
                                       .m_first_index = task.m_index});
        progress.m_done.back().m_last_occurrence = task.m_occurrence;
        progress.m_done.back().m_last_index = task.m_index;
    }
    std::erase_if(progress.m_tasks, is_plainly_done);
}

} // namespace

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
    for (const auto& step : steps)
        m_remaining_tasks += step.m_tasks.size() * m_occurrences.size();
}

void job_state::restore(const progress_record& progress)
{
    m_restored = true;
    m_stored = true;
    m_dirty = false;
    for (const auto& saved : progress.m_tasks)
    {
        m_started = true;
        if (saved.m_index == task_progress::whole_step)
        {
            set_step_done(saved.m_occurrence, saved.m_step);
            continue;
        }
        const task_key key{m_id, saved.m_occurrence, saved.m_step, saved.m_index};
        task_state* task = find(key);
        if (task == nullptr)
            continue;
        task->m_failed_runs = saved.m_failed_runs;
        task->m_checkpoint = saved.m_checkpoint;
        if (saved.m_done)
            set_done(key);
    }
    for (const auto& range : progress.m_done)
        restore_range(range);
}

void job_state::restore_range(const done_range& range)
{
    m_started = true;
    if (range.m_first_index == task_progress::whole_step)
    {
        const int last = std::min(range.m_last_occurrence, occurrences() - 1);
        for (int k = range.m_first_occurrence; k <= last; ++k)
            set_step_done(k, range.m_step);
        return;
    }
    for (int i = range.m_first_index; i <= range.m_last_index; ++i)
    {
        const task_key key{m_id, range.m_first_occurrence, range.m_step, i};
        if (find(key) == nullptr)
            return;
        set_done(key);
    }
}

progress_record job_state::progress() const
{
    constexpr std::size_t max_plain_entries = 1000; // of at most 64 bytes on average
    progress_record result;
    for (int k = 0; k < occurrences(); ++k)
        for (int s = 0; s < steps(); ++s)
            add_progress(result, k, s);
    if (result.m_tasks.size() > max_plain_entries)
        compact(result);
    return result;
}

// A completed step takes a single entry, because rows are limited to 64 KiB and schedules may be
// long.
void job_state::add_progress(progress_record& result, int occurrence, int number) const
{
    const auto& tasks = step(occurrence, number).m_tasks;
    if (step(occurrence, number).m_done == static_cast<int>(tasks.size()))
    {
        result.m_tasks.push_back({occurrence, number, task_progress::whole_step, true, {}, {}});
        return;
    }
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        const auto& task = tasks[i];
        const bool done = task.m_status == task_status::done;
        if (done || !task.m_failed_runs.empty() || !task.m_checkpoint.empty())
            result.m_tasks.push_back({occurrence, number, static_cast<int>(i), done,
                                      task.m_failed_runs,
                                      done ? std::string() : task.m_checkpoint});
    }
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
    if (request.m_occurrences > 0 && m_due.count(occurrence) == 0 &&
        unix_ms < request.m_first_due_ms + occurrence * request.m_interval_ms)
        return false;
    const auto& depends_on = spec(number).m_depends_on;
    return std::all_of(depends_on.begin(), depends_on.end(),
                       [&](int earlier)
                       {
                           const auto& before = step(occurrence, earlier);
                           return before.m_done == static_cast<int>(before.m_tasks.size());
                       });
}

void job_state::set_done(const task_key& key)
{
    task_state* task = find(key);
    if (task == nullptr || task->m_status == task_status::done)
        return;
    auto& step = m_occurrences[key.m_occurrence][key.m_step];
    step.m_waiting -= task->m_status == task_status::waiting ? 1 : 0;
    ++step.m_done;
    --m_remaining_tasks;
    task->m_status = task_status::done;
    m_dirty = true;
}

void job_state::set_step_done(int occurrence, int number)
{
    if (occurrence >= occurrences() || number >= steps())
        return;
    const int count = static_cast<int>(step(occurrence, number).m_tasks.size());
    for (int i = 0; i < count; ++i)
        set_done({m_id, occurrence, number, i});
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
