#include <algorithm>
#include <set>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/cell/worker_text.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

bool coordinator::renewal_needed(const worker_state& worker) const
{
    const bool known_idle = worker.m_synced && worker.m_placements.empty();
    if (worker.m_replaced || worker.m_renewing || m_now < worker.m_next_renewal ||
        (known_idle && !worker.m_listed))
        return false;
    const bool failing = worker.m_failing_since != instant{};
    return !known_idle || failing || worker.m_ends_stored > worker.m_ends_acked ||
           m_now - worker.m_last_report_at > m_options.m_workers.m_idle_renewal_interval;
}

// When a lease granted now has certainly expired, even by a clock that runs 2% slow.
instant coordinator::lease_end() const
{
    const auto& options = m_options.m_workers;
    return m_now + options.m_lease_duration * 102 / 100 + options.m_clock_slack;
}

void coordinator::renew(worker_state& worker)
{
    const auto& options = m_options.m_workers;
    constexpr duration min_timeout = 1200ms;
    constexpr duration margin = 500ms; // The report is longer than the answer to an order.
    renewal order{.m_timeout = std::max<duration>(min_timeout, m_order_time.timeout() + margin)};
    // A worker that restarts under its id numbers its ends anew, and would forget those that nobody
    // has read. So a number is sent only until it is answered, and not while the worker may be
    // another life than the one that reported last.
    const bool same_life = worker.m_failing_since == instant{} && worker.m_reported &&
                           worker.m_last_report_at > worker.m_address_since;
    if (!same_life)
        worker.m_ends_ack_sent = worker.m_ends_acked;
    else if (worker.m_ends_stored > worker.m_ends_acked && !awaits_confirmation())
    {
        order.m_acknowledged = worker.m_ends_stored;
        if (std::exchange(worker.m_ends_ack_sent, worker.m_ends_stored) != worker.m_ends_stored)
            worker.m_ack_sent_at = m_now;
    }
    const bool answers = worker.m_failing_since == instant{} ||
                         m_now - worker.m_failing_since < options.m_silence_timeout;
    const bool orders_lost = worker.stops_failing() &&
                             m_now - worker.m_stops_failing_since >= options.m_stop_failure_timeout;
    // The lease isn't renewed before the worker has reported its clock, or while it is silent. So
    // the time by which all its tasks must have ended is known. Its end also settles the runs that
    // no stop can reach.
    if (may_use(worker) && worker.m_reported && answers && !orders_lost &&
        !worker.m_placements.empty())
    {
        order.m_deadline_ms = worker.clock_at(m_now) + to_ms(options.m_lease_duration);
        worker.m_lease_expires_at = std::max(worker.m_lease_expires_at, lease_end());
    }
    const bool report_wanted = std::exchange(worker.m_report_wanted, false);
    // A renewal that waits occupies a connection, which may be the only one that a stop can use.
    if (worker.m_synced && worker.m_ends_stored == worker.m_ends_seen &&
        !worker.m_placements.empty() && !report_wanted && !worker.stops_failing())
        order.m_wait = options.m_long_poll_timeout;
    // An extra report is requested beside a renewal that is long-polling, or instead of it.
    if (!worker.m_renewing)
    {
        worker.m_renewing = true;
        worker.m_renewal_sent_at = m_now;
    }
    m_actions->push_back(send_renewal{address_of(worker), m_now, order});
}

void coordinator::on(const renewal_answered& event)
{
    auto* found = find_worker(event.m_worker);
    if (found == nullptr)
        return;
    auto& worker = *found;
    if (event.m_sent == worker.m_renewal_sent_at)
        worker.m_renewing = false;
    if (event.m_sent < worker.m_address_since)
        return; // From the worker's former address.
    if (!event.m_result && event.m_sent < worker.m_life_since &&
        event.m_result.error().m_reason != reason::stale_epoch)
        return; // It was held by a former life of the worker.
    if (!event.m_result)
    {
        worker.m_next_renewal = m_now + m_options.m_workers.m_renewal_retry_delay;
        if (worker.m_failing_since == instant{})
            worker.m_failing_since = m_now;
        if (event.m_result.error().m_reason == reason::stale_epoch)
        {
            m_deposed = true;
            m_actions->push_back(step_down{"a worker has seen a higher fencing token"});
        }
        else if (event.m_result.error().m_reason == reason::not_found)
        {
            // A different process answers at this address, so the worker's tasks no longer run.
            handle_worker_loss(worker, "replaced");
            worker.m_replaced = true;
        }
        return;
    }
    if (event.m_sent >= worker.m_ack_sent_at)
        worker.m_ends_acked = std::max(worker.m_ends_acked, worker.m_ends_ack_sent);
    apply_report(worker, *event.m_result, event.m_sent);
    record_report(worker);
}

void coordinator::apply_report(worker_state& worker, const worker_report& report, instant sent)
{
    if (worker.m_started_at != 0 && report.m_started_at != 0 &&
        report.m_started_at != worker.m_started_at)
    {
        if (sent < worker.m_life_since)
            return; // Of a former life.
        begin_life(worker, report.m_started_at, "report");
    }
    else if (report.m_clock_ms != 0)
        check_clock(worker, report.m_clock_ms, sent);
    // Reports on different connections may arrive out of order.
    if (worker.m_reported && report.m_clock_ms < worker.m_clock_ms)
        return;
    if (report.m_started_at != 0 && report.m_started_at != worker.m_started_at)
    {
        worker.m_started_at = report.m_started_at;
        m_workers_dirty = true;
    }
    worker.m_last_report_at = m_now;
    worker.m_failing_since = {};
    worker.m_clock_ms = report.m_clock_ms;
    worker.m_next_renewal =
        worker.stops_failing() ? m_now + m_options.m_workers.m_unpolled_renewal_interval : m_now;
    // An earlier leader's lease is no longer than this leader's.
    if (!worker.m_reported)
        worker.m_lease_expires_at = std::max(worker.m_lease_expires_at, lease_end());
    for (const auto& running : report.m_running)
        adopt(worker, running);
    for (const auto& end : report.m_ended)
    {
        if (end.m_number <= worker.m_ends_seen)
            continue;
        worker.m_ends_seen = end.m_number;
        if (job_state* job = find(end.m_task.m_job); job != nullptr)
            job->mark_started();
        apply_end(worker, end);
    }
    end_missing_runs(worker, report, sent);
    stop_unclear_orders(worker);
    worker.m_reported = true;
    // A full report says nothing about the ends that follow it. Tasks that aren't listed as running
    // may be among them.
    if (report.m_ended.size() < m_options.m_workers.m_max_ends_per_report)
        worker.m_synced = true;
    else if (!worker.m_synced)
        m_ends_outstanding = true;
    // The next renewal acknowledges the ends once their effects are stored.
    constexpr duration unstored_renewal_delay = 1s;
    if (worker.m_ends_seen > worker.m_ends_stored)
        worker.m_next_renewal = m_now + unstored_renewal_delay;
}

// Updates a run that is known; adopts an unknown one if its task is waiting, else stops it.
void coordinator::adopt(worker_state& worker, const running_task& running)
{
    auto known = worker.m_placements.find(running.m_task);
    job_state* job = find(running.m_task.m_job);
    task_state* task = job == nullptr ? nullptr : job->find(running.m_task);
    if (known == worker.m_placements.end() || known->second.m_run < running.m_run)
    {
        if (known != worker.m_placements.end())
            release(worker, running.m_task, known->second.m_run);
        placement placed{.m_run = running.m_run,
                         .m_size_known = job != nullptr && job->has_task(running.m_task),
                         .m_phase = placement_phase::running,
                         .m_started = m_now,
                         .m_progress_at = m_now,
                         .m_saved_at = m_now,
                         .m_resumed = true};
        const bool expected =
            task != nullptr && !job->m_outcome && task->m_status == task_status::waiting;
        if (placed.m_size_known)
        {
            placed.m_size = size_of(job->spec(running.m_task.m_step));
            placed.m_customer = job->m_customer;
        }
        worker.add(running.m_task, placed);
        m_index.update_room(worker);
        known = worker.m_placements.find(running.m_task);
        if (expected)
        {
            job->set_placed(running.m_task, worker.m_info.m_id, running.m_run);
            job->m_next_run = std::max(job->m_next_run, running.m_run + 1);
            update_ready_steps(*job, running.m_task.m_occurrence);
        }
        else
            worker.request_stop(known->second, m_now);
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
    worker.set_phase(placed, placement_phase::running);
    record_progress(worker, placed, running);
    placed.m_listed = true;
    if (placed.m_confirmed_at == instant{})
        placed.m_confirmed_at = m_now;
    if (task != nullptr && task->m_run == running.m_run && !running.m_checkpoint.empty())
        task->m_checkpoint = running.m_checkpoint;
}

// Ends runs that the report doesn't list although they were confirmed before the renewal was sent.
void coordinator::end_missing_runs(worker_state& worker, const worker_report& report, instant sent)
{
    if (report.m_ended.size() >= m_options.m_workers.m_max_ends_per_report)
        return;
    std::set<task_key> running;
    for (const auto& entry : report.m_running)
        running.insert(entry.m_task);
    std::vector<std::pair<task_key, std::uint64_t>> missing;
    for (const auto& [key, placed] : worker.m_placements)
    {
        // A start without an answer may take effect much later: only an acknowledged stop resolves
        // it.
        const bool certain =
            placed.m_phase == placement_phase::running || placed.m_stop_acknowledged;
        const bool confirmed =
            certain && placed.m_confirmed_at != instant{} && sent >= placed.m_confirmed_at;
        if (confirmed && running.count(key) == 0)
            missing.emplace_back(key, placed.m_run);
    }
    for (const auto& [key, run] : missing)
    {
        log_event(log_level::info, "task_vanished",
                  {{"task", text_of(key)}, {"run", run}, {"worker", worker.m_info.m_id.m_value}});
        apply_end(worker, {.m_task = key, .m_run = run, .m_end_kind = end_kind::stopped});
    }
}

void coordinator::handle_worker_loss(worker_state& worker, std::string_view cause)
{
    if (!worker.m_placements.empty())
        log_event(log_level::warning, "worker_lost",
                  {{"worker", worker.m_info.m_id.m_value},
                   {"cause", cause},
                   {"tasks", worker.m_placements.size()},
                   {"silent_ms", to_ms(m_now - worker.m_last_report_at)}});
    const auto placements = worker.m_placements;
    for (const auto& [key, placed] : placements)
        if (placed.m_phase != placement_phase::running && !placed.m_stop_acknowledged)
            worker.m_unconfirmed_starts[key] = placed.m_run;
    for (const auto& [key, placed] : placements)
        apply_end(worker, {.m_task = key, .m_run = placed.m_run, .m_end_kind = end_kind::lapsed});
    m_index.mark_changed(worker);
    worker.m_reported = false;
    worker.m_synced = false;
    worker.m_earlier_leases_until = {};
    worker.m_earlier_leases_until_ms = 0;
    worker.m_next_renewal = m_now;
}

// True while workers may run tasks of an earlier leader, or list their ends.
bool coordinator::workers_unsynced()
{
    if (m_now >= m_earlier_leases_until && !m_ends_outstanding)
        return false;
    // The ends of a silent worker can be read until its lease is over.
    const auto lists_ends = [this](const worker_state& worker)
    {
        return worker.m_reported && !worker.m_synced && !worker.m_replaced &&
               (worker.m_failing_since == instant{} || m_now < worker.m_lease_expires_at);
    };
    m_ends_outstanding = std::any_of(m_workers.begin(), m_workers.end(),
                                     [&](const auto& entry) { return lists_ends(entry.second); });
    return m_ends_outstanding || std::any_of(m_workers.begin(), m_workers.end(),
                                             [this](const auto& entry)
                                             {
                                                 const auto& worker = entry.second;
                                                 return !worker.m_synced && !worker.m_replaced &&
                                                        m_now < worker.m_earlier_leases_until;
                                             });
}

} // namespace dragonflygap::cell
