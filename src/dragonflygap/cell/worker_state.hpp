#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "dragonflygap/cell/worker.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

enum class placement_phase
{
    starting, ///< The order was sent.
    unknown,  ///< The order got no answer: it may run, or run later.
    running,
};

/// Room of a worker that one run of a task holds, from its order until its end is listed.
struct placement
{
    std::uint64_t m_run = 0;
    resources m_size;
    bool m_size_known = true; ///< False: its job has ended; the worker may be full.
    placement_phase m_phase = placement_phase::starting;
    bool m_stop_wanted = false;
    bool m_stop_in_flight = false;
    bool m_stop_known = false; ///< The worker acknowledged a stop: the run can't begin any more.
    instant m_settled_at{};    ///< A renewal sent later tells for certain whether it runs.
    instant m_next_stop{};
    instant m_started{};
    int m_progress_percent = 0;
    instant m_percent_since{}; ///< When the percentage last rose.
};

struct worker_options
{
    duration m_stuck_after = 2500ms;  ///< Without progress for longer a task stands still; reports
                                      ///< come every 2 s at the least.
    double m_stuck_share = 0.05;      ///< Of its estimated run time, for tasks of minutes.
    duration m_lease = 6s;            ///< Asked for at each renewal; the platform bounds it.
    duration m_order_window = 1500ms; ///< How long after its sending a start may take effect.
    duration m_clock_slack = 300ms;   ///< For clocks that run 2% slow and for the way.
    duration m_silence_limit = 2s;    ///< Without answers for longer, the lease isn't prolonged.
    duration m_renew_wait = 2s;       ///< How long a renewal waits for an end at the worker.
    duration m_retry_gap = 300ms;     ///< Between renewals that fail.
    duration m_idle_renewal = 10s;    ///< Keeps the clock of a worker without tasks known.
};

/// What the leader knows of one worker.
struct worker_state
{
    worker_info m_info;
    bool m_listed = true;      ///< The platform's newest list has it.
    instant m_missing_since{}; ///< If it isn't listed.
    bool m_gone = false;       ///< Another process answers at its address: it has ended.
    bool m_synced = false;     ///< A renewal under this epoch has told what runs there.
    std::uint64_t m_started_at = 0;
    resources m_used;
    std::map<task_key, placement> m_placements;
    int m_sizes_unknown = 0; ///< Placements whose size isn't known.
    int m_stops_wanted = 0;  ///< Placements that are to be stopped.

    /// Orders without an answer from before the worker was lost: they may still take effect, so
    /// the runs are stopped when it is back.
    std::map<task_key, std::uint64_t> m_unsettled;
    instant m_next_unsettled{};

    std::uint64_t m_ends_seen = 0;   ///< Highest number of an end that was handled.
    std::uint64_t m_ends_stored = 0; ///< Highest whose effect is durable: may be acknowledged.
    std::uint64_t m_ends_acked = 0;  ///< Highest that the worker was told.

    bool m_renewing = false;    ///< A renewal awaits its answer.
    instant m_renewal_sent{};   ///< The last one that may wait for an end.
    bool m_look_wanted = false; ///< A report is wanted at once, beside the renewal that waits.
    instant m_next_renewal{};
    instant m_last_answer{};
    instant m_failing_since{};   ///< First renewal without an answer since the last one with.
    std::int64_t m_clock_ms = 0; ///< The worker's clock at m_last_answer.
    instant m_lease_until{};     ///< By then everything there has ended, if no renewal arrives.

    int m_failures_in_row = 0; ///< Tasks that failed there since one was done.
    instant m_avoid_until{};   ///< No new tasks before.

    /// What the present pass over the waiting steps decided for this worker.
    struct pass_state
    {
        bool m_open = false;                 ///< It may get tasks.
        bool m_closed = false;               ///< It is drained for a gang.
        resources m_reserved{};              ///< Room that others claim.
        resources m_avoidable{};             ///< Room claimed for less urgent steps.
        std::int64_t m_hoped_millicores = 0; ///< Others may get approvals for so much of it.
    };
    pass_state m_pass;

    /// Counts a run's room as taken.
    void add(const task_key& task, const placement& placed)
    {
        m_used += placed.m_size;
        m_sizes_unknown += placed.m_size_known ? 0 : 1;
        m_stops_wanted += placed.m_stop_wanted ? 1 : 0;
        m_placements.insert_or_assign(task, placed);
    }

    void remove(std::map<task_key, placement>::iterator placed)
    {
        m_used -= placed->second.m_size;
        m_sizes_unknown -= placed->second.m_size_known ? 0 : 1;
        m_stops_wanted -= placed->second.m_stop_wanted ? 1 : 0;
        m_placements.erase(placed);
    }

    void remove_all()
    {
        while (!m_placements.empty())
            remove(m_placements.begin());
    }

    void want_stop(placement& placed, instant now)
    {
        m_stops_wanted += placed.m_stop_wanted ? 0 : 1;
        placed.m_stop_wanted = true;
        placed.m_next_stop = now;
    }

    /// True if a task of unknown size runs there: there may be no room at all.
    bool room_unknown() const { return m_sizes_unknown > 0; }

    resources free() const { return m_info.m_capacity - m_used; }
    resources free_for_pass() const { return free() - m_pass.m_reserved; }
    resources free_for_others() const { return free_for_pass() - m_pass.m_avoidable; }

    /// The worker's clock now, never later than it really is.
    std::int64_t clock_at(instant now) const
    {
        return m_clock_ms + to_ms(now - m_last_answer) * 98 / 100;
    }
};

} // namespace dragonflygap::cell
