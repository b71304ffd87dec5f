#include "dragonflygap/cell/job_state.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/cell/occurrence_timetable.hpp"

namespace dragonflygap::cell
{

namespace
{

bool is_done(const step_state& step)
{
    return step.m_done == static_cast<int>(step.m_tasks.size());
}

// What a job takes without the state of its occurrences: its record and its entries in the
// leader's maps.
std::size_t memory_of(const job_record& record)
{
    constexpr std::size_t map_entries = 400;
    const auto& queue = record.m_queue;
    std::size_t bytes = sizeof(job_state) + map_entries + record.m_request.m_payload.size() +
                        queue.m_host.size() + queue.m_path_prefix.size();
    for (const auto& step : record.m_request.m_steps)
        bytes += sizeof(step_spec) + step.m_depends_on.size() * sizeof(int) + step.m_label.size() +
                 step.m_data_rack.m_value.size() + step.m_image.size();
    return bytes;
}

std::size_t memory_of_occurrence(const job_request& request)
{
    constexpr std::size_t map_entry = 64;
    constexpr std::size_t ready_entry = 256; // in the queue of ready steps
    constexpr std::size_t task_texts = 64;   // its worker and checkpoint
    std::size_t bytes = map_entry;
    for (const auto& step : request.m_steps)
        bytes += sizeof(step_state) + ready_entry +
                 static_cast<std::size_t>(step.m_count) * (sizeof(task_state) + task_texts);
    return bytes;
}

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

/// Takes the ranges of a step that are many as bits.
void use_bits(progress_record& progress, const std::vector<step_spec>& steps)
{
    constexpr std::size_t range_bytes = 10;
    constexpr std::size_t bits_per_byte = 8;
    std::map<std::pair<int, int>, std::vector<done_range>> by_step;
    for (const auto& range : progress.m_done)
        if (range.m_first_index != task_progress::whole_step)
            by_step[{range.m_step, range.m_first_occurrence}].push_back(range);
    for (const auto& [step, ranges] : by_step)
    {
        const std::size_t bytes = steps[step.first].m_count / bits_per_byte + 1;
        if (ranges.size() * range_bytes <= bytes)
            continue;
        done_bits bits{
            .m_step = step.first, .m_occurrence = step.second, .m_bits = std::string(bytes, '\0')};
        for (const auto& range : ranges)
            for (int i = range.m_first_index; i <= range.m_last_index; ++i)
            {
                auto& byte = bits.m_bits[i / bits_per_byte];
                byte = static_cast<char>(byte | 1 << (i % bits_per_byte));
            }
        progress.m_done_bits.push_back(std::move(bits));
        std::erase_if(progress.m_done,
                      [&step = step](const done_range& range)
                      {
                          return range.m_first_index != task_progress::whole_step &&
                                 std::pair(range.m_step, range.m_first_occurrence) == step;
                      });
    }
}

} // namespace

job_state::job_state(job_id id, job_record record, std::shared_ptr<memory_budget> budget)
    : m_id(std::move(id)),
      m_record(std::move(record)),
      m_own_memory(memory_of(m_record)),
      m_occurrence_memory(memory_of_occurrence(m_record.m_request)),
      m_memory(std::move(budget))
{
    m_remaining_tasks = tasks_per_occurrence() * occurrences();
    if (m_record.m_request.m_occurrences == 0)
        open(0);
    update_memory();
}

std::size_t job_state::min_memory(const job_record& record)
{
    return memory_of(record) + memory_of_occurrence(record.m_request);
}

// One occurrence is always counted, so that each job can begin its next one.
void job_state::update_memory()
{
    m_memory.resize(m_own_memory + std::max<std::size_t>(1, m_open.size()) * m_occurrence_memory);
}

std::int64_t job_state::tasks_per_occurrence() const
{
    std::int64_t tasks = 0;
    for (const auto& spec : m_record.m_request.m_steps)
        tasks += spec.m_count;
    return tasks;
}

occurrence_state& job_state::open(int occurrence)
{
    const auto [entry, inserted] = m_open.try_emplace(occurrence);
    auto& state = entry->second;
    if (!inserted)
        return state;
    const bool done = m_done.contains(occurrence);
    for (const auto& spec : m_record.m_request.m_steps)
    {
        step_state step;
        step.m_tasks.resize(spec.m_count);
        step.m_waiting = done ? 0 : spec.m_count;
        step.m_done = done ? spec.m_count : 0;
        if (done)
            for (auto& task : step.m_tasks)
                task.m_status = task_status::done;
        state.push_back(std::move(step));
    }
    update_memory();
    return state;
}

void job_state::close_if_done(int occurrence)
{
    const auto found = m_open.find(occurrence);
    if (m_record.m_request.m_occurrences == 0 || found == m_open.end() ||
        !std::all_of(found->second.begin(), found->second.end(), is_done))
        return;
    m_open.erase(found);
    m_done.insert(occurrence);
    update_memory();
}

void job_state::restore(const progress_record& progress)
{
    m_restored = true;
    m_stored = true;
    m_dirty = false;
    std::vector<number_ranges> done_steps(steps());
    const auto add_done = [&](int step, int first, int last)
    {
        if (step >= 0 && step < steps())
            done_steps[step].insert(std::max(0, first), std::min(last, occurrences() - 1));
    };
    for (const auto& saved : progress.m_tasks)
    {
        m_started = true;
        if (saved.m_index == task_progress::whole_step)
        {
            add_done(saved.m_step, saved.m_occurrence, saved.m_occurrence);
            continue;
        }
        const task_key key{m_id, saved.m_occurrence, saved.m_step, saved.m_index};
        task_state* task = find(key);
        if (task == nullptr)
            continue;
        // Several rows may hold entries of a task, some from earlier.
        for (const auto run : saved.m_failed_runs)
            if (std::find(task->m_failed_runs.begin(), task->m_failed_runs.end(), run) ==
                task->m_failed_runs.end())
                task->m_failed_runs.push_back(run);
        if (!saved.m_checkpoint.empty())
            task->m_checkpoint = saved.m_checkpoint;
        if (saved.m_done)
            set_done(key);
    }
    for (const auto& range : progress.m_done)
    {
        m_started = true;
        if (range.m_first_index == task_progress::whole_step)
            add_done(range.m_step, range.m_first_occurrence, range.m_last_occurrence);
        else
            restore_tasks(range);
    }
    for (const auto& bits : progress.m_done_bits)
        restore_bits(bits);
    for (const auto& saved : progress.m_stalls)
        if (find({m_id, saved.m_occurrence, saved.m_step, 0}) != nullptr)
        {
            auto& restored = step(saved.m_occurrence, saved.m_step).m_restored_stalls;
            restored = std::max(restored, saved.m_stalls);
        }
    restore_steps(done_steps);
}

void job_state::restore_bits(const done_bits& bits)
{
    constexpr std::size_t bits_per_byte = 8;
    m_started = true;
    for (std::size_t i = 0; i < bits.m_bits.size() * bits_per_byte; ++i)
        if (((static_cast<unsigned char>(bits.m_bits[i / bits_per_byte]) >> (i % bits_per_byte)) &
             1U) != 0)
            set_done({m_id, bits.m_occurrence, bits.m_step, static_cast<int>(i)});
}

void job_state::restore_tasks(const done_range& range)
{
    for (int i = range.m_first_index; i <= range.m_last_index; ++i)
    {
        const task_key key{m_id, range.m_first_occurrence, range.m_step, i};
        if (find(key) == nullptr)
            return;
        set_done(key);
    }
}

// An occurrence whose steps are all done gets no state, unless it has one.
void job_state::restore_steps(const std::vector<number_ranges>& done_steps)
{
    number_ranges closed;
    if (m_record.m_request.m_occurrences > 0 && !done_steps.empty())
    {
        closed = done_steps.front();
        for (const auto& steps : done_steps)
            closed = closed.intersection(steps);
    }
    const auto close = [this](int first, int last)
    {
        m_done.insert(first, last);
        m_remaining_tasks -= std::max(0, last - first + 1) * tasks_per_occurrence();
    };
    for (const auto& [first, last] : closed.ranges())
    {
        int next = first;
        for (auto open = m_open.lower_bound(first); open != m_open.end() && open->first <= last;
             ++open)
        {
            close(next, open->first - 1);
            next = open->first + 1;
        }
        close(next, last);
    }
    for (int s = 0; s < steps(); ++s)
        for (const auto& [first, last] : done_steps[s].ranges())
            for (int k = m_done.next_absent(first); k <= last; k = m_done.next_absent(k + 1))
                set_step_done(k, s);
}

progress_record job_state::progress() const
{
    constexpr std::size_t max_plain_entries = 1000; // of at most 64 bytes on average
    progress_record result;
    for (const auto& [first, last] : m_done.ranges())
        for (int s = 0; s < steps(); ++s)
            result.m_done.push_back(
                {.m_step = s, .m_first_occurrence = first, .m_last_occurrence = last});
    for (const auto& [k, state] : m_open)
        for (int s = 0; s < steps(); ++s)
            add_progress(result, k, s);
    if (result.m_tasks.size() > max_plain_entries)
    {
        compact(result);
        use_bits(result, m_record.m_request.m_steps);
    }
    return result;
}

// A completed step takes a single entry, because rows are limited to 64 KiB and schedules may be
// long.
void job_state::add_progress(progress_record& result, int occurrence, int number) const
{
    const auto& state = step(occurrence, number);
    const auto& tasks = state.m_tasks;
    if (state.m_done == static_cast<int>(tasks.size()))
    {
        result.m_tasks.push_back({occurrence, number, task_progress::whole_step, true, {}, {}});
        return;
    }
    int stalls = 0;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        const auto& task = tasks[i];
        const bool done = task.m_status == task_status::done;
        if (!done)
            stalls = std::max(stalls, state.stalls(static_cast<int>(i)));
        if (done || !task.m_failed_runs.empty() || !task.m_checkpoint.empty())
            result.m_tasks.push_back({occurrence, number, static_cast<int>(i), done,
                                      task.m_failed_runs,
                                      done ? std::string() : task.m_checkpoint});
    }
    if (stalls > 0)
        result.m_stalls.push_back({occurrence, number, stalls});
}

bool job_state::has_task(const task_key& task) const
{
    return task.m_occurrence >= 0 && task.m_occurrence < occurrences() && task.m_step >= 0 &&
           task.m_step < steps() && task.m_index >= 0 && task.m_index < spec(task.m_step).m_count;
}

task_state* job_state::find(const task_key& task)
{
    if (!has_task(task) || next_undone(task.m_occurrence) != task.m_occurrence)
        return nullptr;
    auto& tasks = step(task.m_occurrence, task.m_step).m_tasks;
    return &tasks[task.m_index];
}

bool job_state::is_due(int occurrence, int number, std::int64_t unix_ms) const
{
    const auto& request = m_record.m_request;
    if (request.m_occurrences > 0 && occurrence >= m_due_count &&
        unix_ms < due_time(request, occurrence))
        return false;
    const auto& depends_on = spec(number).m_depends_on;
    return std::all_of(depends_on.begin(), depends_on.end(),
                       [&](int earlier) { return is_done(step(occurrence, earlier)); });
}

void job_state::set_done(const task_key& key)
{
    task_state* task = find(key);
    if (task == nullptr || task->m_status == task_status::done)
        return;
    auto& step = this->step(key.m_occurrence, key.m_step);
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
    for (int i = 0; i < spec(number).m_count; ++i)
        set_done({m_id, occurrence, number, i});
}

void job_state::set_placed(const task_key& key, const worker_id& worker, std::uint64_t run)
{
    task_state* task = find(key);
    auto& step = this->step(key.m_occurrence, key.m_step);
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
    ++step(key.m_occurrence, key.m_step).m_waiting;
    task->m_status = task_status::waiting;
    task->m_worker = {};
}

} // namespace dragonflygap::cell
