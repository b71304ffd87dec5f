#include <algorithm>
#include <set>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

namespace
{

std::string text_of(const task_key& task)
{
    return task.m_job.m_value + "." + std::to_string(task.m_occurrence) + "." +
           std::to_string(task.m_step) + "." + std::to_string(task.m_index);
}

std::string_view name_of(end_kind how)
{
    constexpr std::string_view names[] = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<int>(how)];
}

worker_address address_of(const worker_state& worker)
{
    return {worker.m_info.m_id, worker.m_info.m_address};
}

} // namespace

void coordinator::on(const workers_listed& event)
{
    std::set<worker_id> listed;
    for (const auto& info : event.m_workers)
    {
        listed.insert(info.m_id);
        auto& worker = m_workers[info.m_id];
        m_workers_dirty = m_workers_dirty || worker.m_info.m_address != info.m_address;
        if (info.m_leaving && !worker.m_info.m_leaving)
            log_event(log_level::info, "worker_leaving",
                      {{"worker", info.m_id.m_value}, {"remaining_ms", info.m_remaining_ms}});
        worker.m_info = info;
        worker.m_listed = true;
    }
    for (auto entry = m_workers.begin(); entry != m_workers.end();)
    {
        auto& worker = entry->second;
        if (listed.count(entry->first) == 0)
        {
            if (std::exchange(worker.m_listed, false))
                worker.m_missing_since = m_now;
            const bool forgotten = m_now >= m_blind_until &&
                                   m_now - worker.m_missing_since > m_options.m_missing_limit;
            if (worker.m_placements.empty() && (worker.m_gone || forgotten))
            {
                entry = m_workers.erase(entry);
                m_workers_dirty = true;
                continue;
            }
        }
        ++entry;
    }
}

bool coordinator::renewal_needed(const worker_state& worker) const
{
    const bool known_idle = worker.m_synced && worker.m_placements.empty();
    if (worker.m_gone || worker.m_renewing || m_now < worker.m_next_renewal ||
        (known_idle && !worker.m_listed))
        return false;
    return !known_idle || worker.m_ends_stored > worker.m_ends_acked ||
           m_now - worker.m_last_answer > m_options.m_workers.m_idle_renewal;
}

void coordinator::renew_workers()
{
    for (auto& [id, worker] : m_workers)
        if (renewal_needed(worker) || worker.m_look_wanted)
            renew(worker);
}

// When a lease granted now has surely run out, by clocks that are 2% slow.
instant coordinator::lease_end() const
{
    const auto& options = m_options.m_workers;
    return m_now + options.m_lease * 102 / 100 + options.m_clock_slack;
}

void coordinator::renew(worker_state& worker)
{
    const auto& options = m_options.m_workers;
    renewal order{.m_acknowledged = worker.m_ends_stored};
    const bool answers = worker.m_failing_since == instant{} ||
                         m_now - worker.m_failing_since < options.m_silence_limit;
    const auto store_seen = std::max(m_chain.last_success(), m_taken_over);
    const bool lead_proven = m_now - store_seen < m_options.m_renew_without_store;
    // Until a worker has told its clock, and while it is silent, its lease isn't prolonged: so it
    // is known when everything there must have ended.
    if (worker.m_synced && answers && lead_proven && !worker.m_placements.empty())
    {
        order.m_deadline_ms = worker.clock_at(m_now) + to_ms(options.m_lease);
        worker.m_lease_until = std::max(worker.m_lease_until, lease_end());
    }
    const bool look = std::exchange(worker.m_look_wanted, false);
    if (worker.m_synced && worker.m_ends_stored == worker.m_ends_seen &&
        !worker.m_placements.empty() && !look)
        order.m_wait = options.m_renew_wait;
    // A look goes beside a renewal that waits for an end, or in its place.
    if (!worker.m_renewing)
    {
        worker.m_renewing = true;
        worker.m_renewal_sent = m_now;
    }
    m_out->push_back(send_renewal{address_of(worker), m_now, order});
}

void coordinator::on(const renewal_answered& event)
{
    const auto found = m_workers.find(event.m_worker);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    if (event.m_sent == worker.m_renewal_sent)
        worker.m_renewing = false;
    if (!event.m_result)
    {
        worker.m_next_renewal = m_now + m_options.m_workers.m_retry_gap;
        if (worker.m_failing_since == instant{})
            worker.m_failing_since = m_now;
        if (event.m_result.error().m_reason == reason::stale_epoch)
        {
            m_deposed = true;
            m_out->push_back(step_down{"a worker knows a higher token"});
        }
        else if (event.m_result.error().m_reason == reason::not_found)
        {
            // Another life listens there: nothing of this one runs any more.
            lose(worker, "replaced");
            worker.m_gone = true;
        }
        return;
    }
    take_report(worker, *event.m_result, event.m_sent);
}

void coordinator::take_report(worker_state& worker, const worker_report& report, instant sent)
{
    if (worker.m_started_at != 0 && report.m_started_at != 0 &&
        report.m_started_at != worker.m_started_at)
    {
        // It started again under its old name and knows nothing of before.
        lose(worker, "restarted");
        worker.m_ends_seen = worker.m_ends_stored = worker.m_ends_acked = 0;
        worker.m_clock_ms = 0;
    }
    // Reports overtake each other on their connections.
    if (worker.m_synced && report.m_clock_ms < worker.m_clock_ms)
        return;
    worker.m_started_at = report.m_started_at;
    worker.m_last_answer = m_now;
    worker.m_failing_since = {};
    worker.m_clock_ms = report.m_clock_ms;
    worker.m_ends_acked = std::max(worker.m_ends_acked, worker.m_ends_stored);
    worker.m_next_renewal = m_now;
    // What an earlier leader granted there is at most a lease as long as this one's.
    if (!worker.m_synced)
        worker.m_lease_until = std::max(worker.m_lease_until, lease_end());
    for (const auto& running : report.m_running)
        adopt(worker, running);
    for (const auto& end : report.m_ended)
    {
        if (end.m_number <= worker.m_ends_seen)
            continue;
        worker.m_ends_seen = end.m_number;
        take_end(worker, end);
    }
    settle(worker, report, sent);
    worker.m_synced = true;
    // The next renewal acknowledges the ends, once their effects are stored.
    constexpr duration unstored_gap = 1s;
    if (worker.m_ends_seen > worker.m_ends_stored)
        worker.m_next_renewal = m_now + unstored_gap;
}

// What runs there is known to this leader, or is taken over, or is to be stopped.
void coordinator::adopt(worker_state& worker, const running_task& running)
{
    auto known = worker.m_placements.find(running.m_task);
    job_state* job = find(running.m_task.m_job);
    task_state* task = job == nullptr ? nullptr : job->find(running.m_task);
    if (known == worker.m_placements.end() || known->second.m_run < running.m_run)
    {
        // Of a job that has ended no size is known: the worker takes nothing until it is stopped.
        placement placed{.m_run = running.m_run,
                         .m_size = worker.m_info.m_capacity,
                         .m_phase = placement_phase::running,
                         .m_started = m_now,
                         .m_percent_since = m_now};
        const bool expected =
            task != nullptr && !job->m_outcome && task->m_status == task_status::waiting;
        if (task != nullptr)
        {
            const auto& spec = job->spec(running.m_task.m_step);
            placed.m_size = spec.m_size;
            if (spec.m_filler)
                placed.m_size.m_millicores = 0;
            placed.m_gang = spec.m_gang;
        }
        if (known != worker.m_placements.end())
            release(worker, running.m_task);
        worker.m_used += placed.m_size;
        known = worker.m_placements.insert_or_assign(running.m_task, placed).first;
        if (expected)
        {
            job->set_placed(running.m_task, worker.m_info.m_id, running.m_run);
            job->m_next_run = std::max(job->m_next_run, running.m_run + 1);
            refresh(*job);
        }
        else
            want_stop(worker, known->second);
        log_event(log_level::info, expected ? "task_adopted" : "task_unwanted",
                  {{"task", text_of(running.m_task)},
                   {"run", running.m_run},
                   {"worker", worker.m_info.m_id.m_value}});
    }
    auto& placed = known->second;
    if (placed.m_run != running.m_run)
        return;
    placed.m_phase = placement_phase::running;
    if (running.m_percent != placed.m_percent)
    {
        placed.m_percent = running.m_percent;
        placed.m_percent_since = m_now;
    }
    if (task != nullptr && task->m_run == running.m_run && !running.m_checkpoint.empty())
        task->m_checkpoint = running.m_checkpoint;
}

void coordinator::take_end(worker_state& worker, const ended_task& end)
{
    const auto placed = worker.m_placements.find(end.m_task);
    if (placed != worker.m_placements.end() && placed->second.m_run <= end.m_run)
        release(worker, end.m_task);
    if (end.m_how == end_kind::done)
        worker.m_failures_in_row = 0;
    job_state* job = find(end.m_task.m_job);
    task_state* task = job == nullptr ? nullptr : job->find(end.m_task);
    if (task == nullptr)
        return;
    if (logs(log_level::debug) || end.m_how != end_kind::done)
        log_event(log_level::info, "task_ended",
                  {{"task", text_of(end.m_task)},
                   {"run", end.m_run},
                   {"worker", worker.m_info.m_id.m_value},
                   {"how", name_of(end.m_how)}});
    const auto& spec = job->spec(end.m_task.m_step);
    const bool present = task->m_status == task_status::placed && task->m_run == end.m_run;
    job->m_dirty = true;
    m_dirty.insert(job->id());
    if (!end.m_checkpoint.empty() && (present || task->m_status == task_status::waiting))
        task->m_checkpoint = end.m_checkpoint;
    if (end.m_how == end_kind::done && !spec.m_lasting)
    {
        if (!present && task->m_status == task_status::placed)
            stop_task(*job, end.m_task);
        if (spec.m_gang)
            finish_gang(*job, end.m_task);
        else
            job->set_done(end.m_task);
        if (!job->m_outcome && job->all_done())
            end_job(*job, job_outcome::completed);
    }
    else
    {
        if (present)
            job->set_waiting(end.m_task);
        if (end.m_how == end_kind::failed)
        {
            count_failure(*job, end.m_task, end.m_run);
            constexpr int suspect_after = 3;
            constexpr duration avoid = 5s;
            if (++worker.m_failures_in_row >= suspect_after)
                worker.m_avoid_until = m_now + avoid;
        }
        if (spec.m_gang && present && !job->m_outcome)
            stop_gang(*job, step_of(end.m_task), end.m_run);
    }
    refresh(*job);
}

void coordinator::count_failure(job_state& job, const task_key& key, std::uint64_t run)
{
    const auto& spec = job.spec(key.m_step);
    task_state& task =
        *job.find(spec.m_gang ? task_key{key.m_job, key.m_occurrence, key.m_step, 0} : key);
    // The members of a gang fail together: one run counts once.
    auto& failed = task.m_failed_runs;
    if (spec.m_lasting || std::find(failed.begin(), failed.end(), run) != failed.end())
        return;
    failed.push_back(run);
    if (static_cast<int>(failed.size()) >= job.record().m_queue.m_max_attempts && !job.m_outcome)
        end_job(job, job_outcome::failed);
}

// One member's end tells that the whole gang has done its work.
void coordinator::finish_gang(job_state& job, const task_key& key)
{
    const int count = static_cast<int>(job.step(key.m_occurrence, key.m_step).m_tasks.size());
    for (int i = 0; i < count; ++i)
        job.set_done({key.m_job, key.m_occurrence, key.m_step, i});
}

void coordinator::release(worker_state& worker, const task_key& task)
{
    const auto placed = worker.m_placements.find(task);
    if (placed == worker.m_placements.end())
        return;
    worker.m_used -= placed->second.m_size;
    worker.m_placements.erase(placed);
}

// Finds runs that a worker doesn't list though the renewal was sent after they were settled.
void coordinator::settle(worker_state& worker, const worker_report& report, instant sent)
{
    if (report.m_ended.size() >= most_ends_per_report)
        return;
    std::set<task_key> running;
    for (const auto& entry : report.m_running)
        running.insert(entry.m_task);
    std::vector<std::pair<task_key, std::uint64_t>> gone;
    for (const auto& [key, placed] : worker.m_placements)
    {
        // An order without an answer may take effect much later: only a stop that was
        // acknowledged settles it.
        const bool certain = placed.m_phase == placement_phase::running || placed.m_stop_known;
        const bool settled =
            certain && placed.m_settled_at != instant{} && sent >= placed.m_settled_at;
        if (settled && running.count(key) == 0)
            gone.emplace_back(key, placed.m_run);
    }
    for (const auto& [key, run] : gone)
    {
        log_event(log_level::info, "task_vanished",
                  {{"task", text_of(key)}, {"run", run}, {"worker", worker.m_info.m_id.m_value}});
        take_end(worker, {.m_task = key, .m_run = run, .m_how = end_kind::stopped});
    }
}

void coordinator::lose(worker_state& worker, std::string_view cause)
{
    if (!worker.m_placements.empty())
        log_event(log_level::warning, "worker_lost",
                  {{"worker", worker.m_info.m_id.m_value},
                   {"cause", cause},
                   {"tasks", worker.m_placements.size()},
                   {"silent_ms", to_ms(m_now - worker.m_last_answer)}});
    const auto placements = worker.m_placements;
    for (const auto& [key, placed] : placements)
        if (placed.m_phase != placement_phase::running && !placed.m_stop_known)
            worker.m_unsettled[key] = placed.m_run;
    for (const auto& [key, placed] : placements)
        take_end(worker, {.m_task = key, .m_run = placed.m_run, .m_how = end_kind::lapsed});
    worker.m_placements.clear();
    worker.m_used = {};
    worker.m_synced = false;
    worker.m_next_renewal = m_now;
}

void coordinator::want_stop(worker_state&, placement& placed)
{
    placed.m_stop_wanted = true;
    placed.m_next_stop = m_now;
}

void coordinator::send_stops()
{
    constexpr duration repeat = 500ms;
    for (auto& [id, worker] : m_workers)
        for (auto& [key, placed] : worker.m_placements)
        {
            if (!placed.m_stop_wanted || placed.m_stop_in_flight || m_now < placed.m_next_stop ||
                placed.m_stop_known)
                continue;
            placed.m_stop_in_flight = true;
            placed.m_next_stop = m_now + repeat;
            m_out->push_back(send_stop{address_of(worker), key, placed.m_run});
        }
    for (auto& [id, worker] : m_workers)
    {
        if (worker.m_unsettled.empty() || !worker.m_synced || m_now < worker.m_next_unsettled)
            continue;
        worker.m_next_unsettled = m_now + repeat;
        for (const auto& [key, run] : worker.m_unsettled)
            m_out->push_back(send_stop{address_of(worker), key, run});
    }
}

void coordinator::on(const stop_answered& event)
{
    const auto worker = m_workers.find(event.m_worker);
    if (worker == m_workers.end())
        return;
    if (const auto open = worker->second.m_unsettled.find(event.m_task);
        event.m_result && open != worker->second.m_unsettled.end() && open->second == event.m_run)
        worker->second.m_unsettled.erase(open);
    const auto found = worker->second.m_placements.find(event.m_task);
    if (found == worker->second.m_placements.end() || found->second.m_run != event.m_run)
        return;
    auto& placed = found->second;
    placed.m_stop_in_flight = false;
    if (!event.m_result || event.m_result->m_refusal == start_refusal::unhealthy)
        return;
    if (event.m_result->m_refusal == start_refusal::fenced)
    {
        m_deposed = true;
        m_out->push_back(step_down{"a worker knows a higher token"});
        return;
    }
    // It can't begin any more; whether it had begun tells the next report.
    placed.m_stop_known = true;
    placed.m_settled_at = m_now;
    worker->second.m_look_wanted = placed.m_phase == placement_phase::unknown;
}

void coordinator::stop_task(job_state& job, const task_key& key)
{
    task_state* task = job.find(key);
    if (task == nullptr || task->m_status != task_status::placed)
        return;
    const auto worker = m_workers.find(task->m_worker);
    if (worker == m_workers.end())
        return;
    const auto placed = worker->second.m_placements.find(key);
    if (placed != worker->second.m_placements.end() && placed->second.m_run == task->m_run)
        want_stop(worker->second, placed->second);
}

// Load pattern: on some workers everything stands still while they answer as ever. A task whose
// progress doesn't rise over several reports is stopped, with what it saved, and starts elsewhere.
void coordinator::stop_stuck()
{
    constexpr duration check_every = 500ms;
    constexpr duration avoid = 5s; // such troubles last seconds
    if (m_now - m_last_stuck_check < check_every)
        return;
    m_last_stuck_check = m_now;
    const auto& options = m_options.m_workers;
    for (auto& [id, worker] : m_workers)
        for (auto& [key, placed] : worker.m_placements)
        {
            job_state* job = find(key.m_job);
            if (job == nullptr || placed.m_stop_wanted ||
                placed.m_phase != placement_phase::running)
                continue;
            const auto& spec = job->spec(key.m_step);
            const auto patience = std::max<duration>(
                options.m_stuck_after,
                std::chrono::milliseconds(static_cast<std::int64_t>(
                    options.m_stuck_share * static_cast<double>(spec.m_expected_ms))));
            // A member of a gang that has done its part waits for the others.
            constexpr int all = 100;
            if (spec.m_lasting || spec.m_filler || placed.m_percent >= all ||
                worker.m_last_answer - placed.m_percent_since < patience)
                continue;
            log_event(log_level::info, "task_stuck",
                      {{"task", text_of(key)},
                       {"worker", id.m_value},
                       {"percent", placed.m_percent},
                       {"unchanged_ms", to_ms(worker.m_last_answer - placed.m_percent_since)}});
            want_stop(worker, placed);
            worker.m_avoid_until = std::max(worker.m_avoid_until, m_now + avoid);
        }
}

void coordinator::stop_gang(job_state& job, const step_key& key, std::uint64_t run)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    for (std::size_t i = 0; i < step.m_tasks.size(); ++i)
        if (step.m_tasks[i].m_run == run)
            stop_task(job, {key.m_job, key.m_occurrence, key.m_step, static_cast<int>(i)});
}

void coordinator::stop_all(job_state& job)
{
    for (int k = 0; k < job.occurrences(); ++k)
        for (int s = 0; s < job.steps(); ++s)
            for (std::size_t i = 0; i < job.step(k, s).m_tasks.size(); ++i)
                stop_task(job, {job.id(), k, s, static_cast<int>(i)});
}

bool coordinator::blind_for(const job_state& job) const
{
    if (!job.m_restored || m_now >= m_blind_until)
        return false;
    return std::any_of(m_workers.begin(), m_workers.end(),
                       [](const auto& entry)
                       { return !entry.second.m_synced && !entry.second.m_gone; });
}

} // namespace dragonflygap::cell
