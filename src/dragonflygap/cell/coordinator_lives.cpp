#include <algorithm>
#include <chrono>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/observe/log.hpp"

/// Workers that restart under their identifiers. What this leader knows of a worker, and what it
/// has sent to it, belongs to one of its lives.
namespace dragonflygap::cell
{

// The only way in which a life ends and the next one begins.
void coordinator::begin_life(worker_state& worker, std::uint64_t started_at, std::string_view cause)
{
    const auto listed = std::count_if(worker.m_placements.begin(), worker.m_placements.end(),
                                      [](const auto& entry) { return entry.second.m_listed; });
    log_event(log_level::warning, "worker_restarted",
              {{"worker", worker.m_info.m_id.m_value},
               {"cause", cause},
               {"tasks_lost", listed},
               {"orders_unclear", worker.m_placements.size() - listed},
               {"silent_ms", to_ms(m_now - worker.m_last_report_at)}});
    end_listed_runs(worker);
    // An order that the former life may not have received may run in this one, now or later. Its
    // task isn't waiting before a report lists the run or a stop was acknowledged.
    for (auto& [key, placed] : worker.m_placements)
    {
        worker.set_phase(placed, placement_phase::unknown);
        placed.m_stop_acknowledged = false;
        placed.m_stop_in_flight = false;
        placed.m_confirmed_at = {};
        placed.m_next_stop = m_now;
    }
    worker.m_started_at = started_at;
    worker.m_life_since = m_now;
    worker.m_clock_ms = 0;
    worker.m_ends_seen = worker.m_ends_stored = 0;
    worker.m_ends_acked = worker.m_ends_ack_sent = 0;
    worker.m_reported = false;
    worker.m_synced = false;
    worker.m_renewing = false; // The former process may hold the renewal until it times out.
    worker.m_failing_since = {};
    worker.m_stops_failing_since = {};
    worker.m_consecutive_failures = 0;
    worker.m_suspected_until = {};
    worker.m_suspicions = 0;
    worker.m_next_renewal = m_now;
    extend_leases(worker);
    m_workers_dirty = true; // Successors need to know of the new life.
    m_index.mark_changed(worker);
}

// Those that the present life of the worker has listed have ended with it.
void coordinator::end_listed_runs(worker_state& worker)
{
    const auto placements = worker.m_placements;
    for (const auto& [key, placed] : placements)
        if (placed.m_listed)
            apply_end(worker,
                      {.m_task = key, .m_run = placed.m_run, .m_end_kind = end_kind::lapsed});
}

// Deadlines of orders to the former life were reckoned by its clock, which is ahead of the new one.
// If this life got one of them, it shortened the lease to the longest that it grants.
void coordinator::extend_leases(worker_state& worker)
{
    const auto& options = m_options.m_workers;
    const auto slowest = [](duration length) { return length * 102 / 100; };
    worker.m_former_clock_until =
        m_now + options.m_order_window + slowest(options.m_max_lease) + options.m_clock_slack;
    worker.m_lease_expires_at = worker.m_former_clock_until;
    if (m_now >= worker.m_earlier_leases_until)
        return;
    // The orders may be an earlier leader's, who knew nothing of this life.
    const auto longer = slowest(options.m_max_lease - options.m_lease_duration);
    const auto until = m_predecessor_leases_until + longer;
    if (until > worker.m_earlier_leases_until)
        set_earlier_leases(worker, until,
                           m_store_clock_known ? m_predecessor_leases_until_ms + to_ms(longer) : 0);
}

// A worker whose clock is behind where it would be by now has restarted.
void coordinator::check_clock(worker_state& worker, std::int64_t clock_ms, instant sent)
{
    if (clock_ms >= 0 && worker.m_reported &&
        sent >= std::max(worker.m_address_since, worker.m_life_since) &&
        clock_ms + to_ms(m_options.m_workers.m_clock_slack) < worker.clock_at(sent))
        begin_life(worker, 0, "clock");
}

// The list may be older than the worker's last report.
void coordinator::check_listed_life(worker_state& worker, const worker_info& info)
{
    if (worker.m_started_at != 0 && info.m_started_at > worker.m_started_at)
        begin_life(worker, info.m_started_at, "list");
    else if (worker.m_started_at == 0 && worker.m_life_since == instant{})
        worker.m_started_at = info.m_started_at;
}

// An earlier leader may have sent orders by the clock of a life that has ended since. If it knew of
// the new one, it stored how long their effect may last; otherwise its successor learns of the new
// life from the list or from a report.
void coordinator::restore_lives(const recovered_state& found,
                                std::span<worker_state* const> workers)
{
    for (std::size_t i = 0; i < std::min(workers.size(), found.m_lives.size()); ++i)
    {
        auto& worker = *workers[i];
        const auto& life = found.m_lives[i];
        worker.m_started_at = life.m_started_at;
        if (!m_store_clock_known || life.m_lease_until_ms <= found.m_store_ms)
            continue;
        const auto until =
            m_now + std::chrono::milliseconds(life.m_lease_until_ms - found.m_store_ms);
        worker.m_lease_expires_at = worker.m_former_clock_until = until;
        if (until > worker.m_earlier_leases_until)
            set_earlier_leases(worker, until, life.m_lease_until_ms);
    }
}

life_record coordinator::life_of(const worker_state& worker) const
{
    life_record life{.m_started_at = worker.m_started_at};
    if (m_store_clock_known && m_now < worker.m_former_clock_until)
        life.m_lease_until_ms =
            m_store_clock_ms + to_ms((worker.m_former_clock_until - m_store_clock_at) * 102 / 100);
    return life;
}

// Stops the orders to a former life that this one doesn't list: they may still be on their way.
void coordinator::stop_unclear_orders(worker_state& worker)
{
    for (auto& [key, placed] : worker.m_placements)
        if (placed.m_phase == placement_phase::unknown && !placed.m_stop_requested)
            worker.request_stop(placed, m_now);
}

} // namespace dragonflygap::cell
