#include <algorithm>
#include <set>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/cell/worker_text.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

namespace
{

std::string joined(const std::vector<std::string>& texts)
{
    std::string result;
    for (const auto& text : texts)
        result += (result.empty() ? "" : ",") + text;
    return result;
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
        if (!worker.m_listed || worker.m_info.m_capacity == resources{})
            log_event(log_level::info, "worker_listed",
                      {{"worker", info.m_id.m_value},
                       {"address", to_string(info.m_address)},
                       {"data_centre", info.m_data_centre.m_value},
                       {"rack", info.m_rack.m_value},
                       {"labels", joined(info.m_labels)},
                       {"millicores", info.m_capacity.m_millicores},
                       {"memory_mb", info.m_capacity.m_memory_mb}});
        if (worker.m_gone && worker.m_info.m_address != info.m_address)
        {
            // It started again under its old name, at another address.
            worker.m_gone = false;
            worker.m_next_renewal = m_now;
        }
        worker.m_info = info;
        worker.m_listed = true;
    }
    for (auto entry = m_workers.begin(); entry != m_workers.end();)
    {
        auto& worker = entry->second;
        if (listed.count(entry->first) == 0)
        {
            if (std::exchange(worker.m_listed, false))
            {
                worker.m_missing_since = m_now;
                log_event(log_level::info, "worker_unlisted",
                          {{"worker", entry->first.m_value},
                           {"tasks", worker.m_placements.size()},
                           {"silent_ms", to_ms(m_now - worker.m_last_answer)}});
            }
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
    const bool failing = worker.m_failing_since != instant{};
    return !known_idle || failing || worker.m_ends_stored > worker.m_ends_acked ||
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
        if (job_state* job = find(end.m_task.m_job); job != nullptr)
            job->mark_started();
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
        placement placed{.m_run = running.m_run,
                         .m_size_known = task != nullptr,
                         .m_phase = placement_phase::running,
                         .m_started = m_now,
                         .m_percent_since = m_now};
        const bool expected =
            task != nullptr && !job->m_outcome && task->m_status == task_status::waiting;
        if (task != nullptr)
            placed.m_size = size_of(job->spec(running.m_task.m_step));
        if (known != worker.m_placements.end())
            release(worker, running.m_task);
        worker.add(running.m_task, placed);
        known = worker.m_placements.find(running.m_task);
        if (expected)
        {
            job->set_placed(running.m_task, worker.m_info.m_id, running.m_run);
            job->m_next_run = std::max(job->m_next_run, running.m_run + 1);
            refresh(*job, running.m_task.m_occurrence);
        }
        else
            worker.want_stop(known->second, m_now);
        log_event(log_level::info, expected ? "task_adopted" : "task_unwanted",
                  {{"task", text_of(running.m_task)},
                   {"run", running.m_run},
                   {"worker", worker.m_info.m_id.m_value}});
    }
    auto& placed = known->second;
    if (placed.m_run != running.m_run)
        return;
    if (job != nullptr)
        job->mark_started();
    placed.m_phase = placement_phase::running;
    if (running.m_progress_percent != placed.m_progress_percent)
    {
        placed.m_progress_percent = running.m_progress_percent;
        placed.m_percent_since = m_now;
    }
    if (task != nullptr && task->m_run == running.m_run && !running.m_checkpoint.empty())
        task->m_checkpoint = running.m_checkpoint;
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
        take_end(worker, {.m_task = key, .m_run = run, .m_end_kind = end_kind::stopped});
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
        take_end(worker, {.m_task = key, .m_run = placed.m_run, .m_end_kind = end_kind::lapsed});
    worker.remove_all();
    worker.m_synced = false;
    worker.m_next_renewal = m_now;
}

// True while workers that weren't heard of yet may run tasks of an earlier leader.
bool coordinator::blind() const
{
    return m_now < m_blind_until &&
           std::any_of(m_workers.begin(), m_workers.end(),
                       [](const auto& entry)
                       { return !entry.second.m_synced && !entry.second.m_gone; });
}

} // namespace dragonflygap::cell
