#include "dragonflygap/placement/job_manager.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

// A service task that ran this long resets its backoff, and its worker counts as healthy.
constexpr duration stable_run_time = 60s;

// More doublings exceed any sensible maximum backoff.
constexpr int max_doublings = 16;

} // namespace

std::optional<std::pair<int, int>> parse_task_name(const job_id& job, const task_id& name)
{
    std::string_view text = name.m_value;
    if (!text.starts_with(job.m_value + "/"))
        return std::nullopt;
    text.remove_prefix(job.m_value.size() + 1);
    const auto* end = text.data() + text.size();
    std::pair<int, int> result;
    const auto index = std::from_chars(text.data(), end, result.first);
    if (index.ec != std::errc() || index.ptr == end || *index.ptr != '.')
        return std::nullopt;
    const auto attempt = std::from_chars(index.ptr + 1, end, result.second);
    return attempt.ec == std::errc() ? std::optional(result) : std::nullopt;
}

job_manager::job_manager(job_manager_options options)
    : m_options(std::move(options)), m_workers(m_options.m_workers), m_commits(m_options.m_commits)
{
}

std::vector<job_action> job_manager::handle(const job_event& event, instant now)
{
    actions out;
    std::visit([&](const auto& concrete_event) { on(concrete_event, now, out); }, event);
    m_workers.update_engine(now);
    place_waiting(now, out);
    save_dirty(now);
    expire_creations(now);
    if (auto next = m_commits.next(now))
        out.emplace_back(commit_parts{next->m_call, std::move(next->m_writes)});
    return out;
}

void job_manager::on(const workers_owned& event, instant now, actions& out)
{
    m_cell = event.m_cell;
    m_workers.set_workers(event.m_workers, event.m_epochs, now);
    std::erase_if(m_groups,
                  [&](const auto& entry)
                  {
                      const auto epoch = event.m_epochs.find(entry.first);
                      return epoch == event.m_epochs.end() || epoch->second != entry.second.m_epoch;
                  });
    // Parts of lost groups are coordinated by the new owners.
    std::erase_if(m_parts, [&](const auto& entry)
                  { return !m_groups.contains(entry.second.m_part.m_home.m_group); });
    std::erase_if(m_part_of_task,
                  [&](const auto& entry) { return !m_parts.contains(entry.second); });
    for (const auto& [group, epoch] : event.m_epochs)
    {
        const auto [found, is_new] = m_groups.try_emplace(group, group_state{.m_epoch = epoch});
        if (!is_new)
            continue;
        found->second.m_generation = ++m_last_generation;
        scan(group, now, out);
    }
}

void job_manager::on(const job_manager_tick& /*event*/, instant now, actions& out)
{
    for (const auto& id : m_workers.detect_lost(now))
        handle_missing(id, {}, instant::max(), now);
    for (auto& renewal : m_workers.renewals(now))
        out.emplace_back(std::move(renewal));
    for (auto& [group, state] : m_groups)
        if (now - state.m_last_scan_at >= m_options.m_rescan_interval)
            scan(group, now, out);
    for (auto& [id, part] : m_parts)
    {
        if (!part.m_claimed)
            continue;
        if (part.m_adopted && m_workers.is_reconciled(part.m_part.m_home.m_group))
            part.m_adopted = false;
        stop_unwanted(part, now, out);
    }
    drop_stale_plans();
    delete_ended_parts(now);
    expire_submissions(now, out);
}

void job_manager::on(const start_answered& event, instant now, actions& /*out*/)
{
    auto* part = find_part(event.m_part);
    if (part == nullptr)
        return;
    const auto task =
        std::ranges::find(part->m_part.m_job.m_tasks, event.m_index, &job_task::m_index);
    if (task == part->m_part.m_job.m_tasks.end() || task->m_attempt != event.m_attempt ||
        task->m_state != job_task_state::starting)
        return;
    if (event.m_result)
    {
        if (event.m_result->m_state != platform::task_state::running)
            return end_task(*part, *task, event.m_result->m_state, now);
        task->m_state = job_task_state::running;
        task->m_state_since = now;
        task->m_not_before = now;
        task->m_consecutive_retries = 0;
        part->m_dirty = true;
        return;
    }
    // If the start may have happened, the worker's reports show whether it did.
    if (event.m_result.error().m_verdict != verdict::not_run)
        return;
    m_workers.record_result(task->m_worker, part->m_part.m_job.m_spec.m_id, false, now);
    schedule_retry(*part, *task, now);
}

void job_manager::on(const worker_reported& event, instant now, actions& out)
{
    const auto sent =
        m_workers.record_report(event.m_worker, event.m_call, event.m_tasks.has_value(), now);
    if (!sent)
        return;
    const auto from = m_workers.find(event.m_worker)->m_worker;
    const auto group = m_groups.find(ownership::group_of(event.m_worker));
    if (group == m_groups.end() || !group->second.m_loaded)
        return m_workers.expect_reports(ownership::group_of(event.m_worker));
    std::set<task_id> reported;
    for (const auto& report : *event.m_tasks)
    {
        if (report.m_state == platform::task_state::running)
            reported.insert(report.m_task);
        apply_report(from, report, now, out);
    }
    apply_usage_reports(from, *event.m_tasks, now, out);
    handle_missing(event.m_worker, reported, *sent, now);
}

void job_manager::apply_report(const owned_worker& from, const platform::task_report& report,
                               instant now, actions& out)
{
    const auto& worker = from.m_info.m_id;
    const bool runs = report.m_state == platform::task_state::running;
    const auto name = parse_task_name(report.m_job, report.m_task);
    job_task* task = nullptr;
    auto* part = name ? find_task(report.m_job, name->first, task) : nullptr;
    // The previous owner may have started a newer attempt than the row shows.
    const bool newer_attempt = part != nullptr && part->m_adopted && name->second > task->m_attempt;
    const bool same_attempt =
        part != nullptr && name->second == task->m_attempt &&
        (task->m_worker == worker || task->m_state == job_task_state::waiting);
    const bool current = (newer_attempt || same_attempt) &&
                         task->m_state != job_task_state::moving && !has_ended(task->m_state);
    if (!current)
    {
        if (!runs)
        {
            // Acknowledge only a saved end; until then the worker keeps reporting it.
            if (part == nullptr || !(part->m_dirty || part->m_in_commit))
                m_workers.acknowledge(worker, report.m_task);
            return m_workers.release(worker, report.m_task);
        }
        // The task is no longer needed, or another attempt replaced it.
        m_workers.allocate(worker, report.m_task, {.m_id = report.m_job, .m_size = report.m_size},
                           false);
        out.emplace_back(stop_on_worker{from, report.m_task});
        return;
    }
    if (newer_attempt || task->m_worker != worker)
        part->m_dirty = true;
    task->m_attempt = name->second;
    task->m_worker = worker;
    m_workers.allocate(worker, report.m_task, part->m_part.m_job.m_spec, false);
    if (!runs)
        return end_task(*part, *task, report.m_state, now);
    if (task->m_state != job_task_state::running)
    {
        task->m_state = job_task_state::running;
        task->m_state_since = now;
        task->m_not_before = now;
        part->m_dirty = true;
    }
    if (now - task->m_state_since >= stable_run_time)
        m_workers.record_result(worker, report.m_job, true, now);
}

void job_manager::handle_missing(const worker_id& worker, const std::set<task_id>& reported,
                                 instant sent, instant now)
{
    const auto* state = m_workers.find(worker);
    if (state == nullptr)
        return;
    const bool lost = state->m_lost;
    std::vector<std::pair<task_id, job_id>> missing;
    for (const auto& [name, spec] : state->m_tasks)
        if (!reported.contains(name))
            missing.emplace_back(name, spec.m_id);
    for (const auto& [name, job] : missing)
    {
        job_task* task = nullptr;
        const auto parsed = parse_task_name(job, name);
        auto* part = parsed ? find_task(job, parsed->first, task) : nullptr;
        const bool current =
            part != nullptr && task->m_worker == worker && name_of(job, *task) == name;
        // Capacity allocated to a task that is being moved here or about to start.
        const bool incoming =
            part != nullptr && task->m_worker == worker &&
            (task->m_state == job_task_state::moving || task->m_state == job_task_state::waiting);
        const bool is_lost =
            current &&
            (lost || (task->m_state == job_task_state::running && task->m_state_since < sent) ||
             (task->m_state == job_task_state::starting &&
              task->m_state_since + m_options.m_start_margin < sent));
        if (is_lost)
            schedule_retry(*part, *task, now);
        else if (!current && !incoming)
            m_workers.release(worker, name);
    }
}

void job_manager::end_task(live_part& part, job_task& task, platform::task_state state, instant now)
{
    const auto& spec = part.m_part.m_job.m_spec;
    const auto name = name_of(spec.m_id, task);
    const bool service = spec.m_kind == job_kind::service;
    m_workers.release(task.m_worker, name);
    part.m_ended.emplace_back(task.m_worker, name);
    part.m_dirty = true;
    if (state == platform::task_state::finished && !service)
    {
        m_workers.record_result(task.m_worker, spec.m_id, true, now);
        task.m_state = job_task_state::finished;
        return;
    }
    if (state == platform::task_state::stopped)
        return schedule_retry(part, task, now);
    m_workers.record_result(task.m_worker, spec.m_id, false, now);
    const bool ran_long = service && now - task.m_state_since >= stable_run_time;
    task.m_failures = ran_long ? 1 : task.m_failures + 1;
    if (!service && task.m_failures >= spec.m_max_attempts)
        task.m_state = job_task_state::failed;
    else
        schedule_retry(part, task, now);
}

void job_manager::schedule_retry(live_part& part, job_task& task, instant now)
{
    m_workers.release(task.m_worker, name_of(part.m_part.m_job.m_spec.m_id, task));
    ++task.m_consecutive_retries;
    const auto doublings =
        std::min(task.m_consecutive_retries + task.m_failures - 1, max_doublings);
    const auto backoff = m_options.m_initial_backoff * (1 << doublings);
    task.m_not_before = now + std::min(backoff, m_options.m_max_backoff);
    task.m_state = job_task_state::waiting;
    task.m_worker = {};
    task.m_state_since = now;
    part.m_dirty = true;
}

void job_manager::stop_unwanted(live_part& part, instant now, actions& out)
{
    auto& tasks = part.m_part.m_job.m_tasks;
    const auto& spec = part.m_part.m_job.m_spec;
    // The tasks of a service move off a leaving worker one at a time.
    bool restarting = std::ranges::any_of(tasks, [](const job_task& task)
                                          { return task.m_state != job_task_state::running; });
    for (auto& task : tasks)
    {
        if (part.m_part.m_cancelled && task.m_state == job_task_state::waiting)
        {
            task.m_state = job_task_state::cancelled;
            part.m_dirty = true;
        }
        const auto* worker = m_workers.find(task.m_worker);
        if (task.m_state != job_task_state::running || worker == nullptr || task.m_not_before > now)
            continue;
        const bool moves =
            spec.m_kind == job_kind::service && !restarting && worker->m_worker.m_info.m_leaving;
        if (!part.m_part.m_cancelled && !moves)
            continue;
        restarting = true;
        task.m_not_before = now + m_options.m_stop_retry_interval;
        out.emplace_back(stop_on_worker{worker->m_worker, name_of(spec.m_id, task)});
    }
}

} // namespace dragonflygap::placement
