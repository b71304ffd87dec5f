#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "dragonflygap/cell/customer_usage.hpp"
#include "dragonflygap/cell/stall_timeout.hpp"
#include "dragonflygap/cell/worker.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// Dense number of a worker within one leader. The number of a removed worker is used again.
using worker_number = std::uint32_t;

/// Whether a leader may start tasks on a worker and renew its lease. Successors rely on it, so a
/// worker is stored as used before it is used.
enum class worker_use
{
    none,    ///< Stored as unused, or about to be.
    pending, ///< To be stored as used.
    allowed,
};

enum class placement_phase
{
    starting, ///< The order was sent.
    unknown,  ///< The order got no answer: the task may run, or start later.
    running,
};

/// Resources that one run of a task holds on a worker, from the order until its end is reported.
struct placement
{
    std::uint64_t m_run = 0;
    resources m_size;
    bool m_size_known = true; ///< False: the job is unknown, so the worker may be full.
    customer_index m_customer = no_customer;
    placement_phase m_phase = placement_phase::starting; ///< Changed by worker_state only.
    bool m_listed = false; ///< The worker has reported in its present life that the task runs.
    bool m_stop_requested = false;
    bool m_stop_in_flight = false;
    /// The worker acknowledged a stop: the run can't start any more.
    bool m_stop_acknowledged = false;
    instant m_confirmed_at{}; ///< A report requested later shows whether the task runs.
    instant m_next_stop{};
    instant m_stop_requested_at{}; ///< Valid if a stop was requested.
    int m_failed_stops = 0;        ///< Stop calls that failed in a row.
    instant m_started{};
    int m_progress_percent = 0;
    instant m_progress_at{}; ///< When the run last advanced, or was started or adopted.
    instant m_saved_at{};    ///< When a new checkpoint was last listed; at first, as above.
    /// It was started from a checkpoint or by an earlier leader, so the first percent listed isn't
    /// its progress.
    bool m_resumed = false;
    progress_pace m_pace;
};

struct worker_options
{
    /// A worker lists more ends only after these were acknowledged.
    std::size_t m_max_ends_per_report = 500;
    duration m_lease_duration = 6s;    ///< Requested at each renewal; the platform limits it.
    duration m_max_lease = 10s;        ///< Workers shorten longer leases to this.
    duration m_order_window = 1500ms;  ///< A start order takes effect within this time or never.
    duration m_clock_slack = 300ms;    ///< For clocks that run 2% slow and for network delay.
    duration m_silence_timeout = 2s;   ///< Without answers for longer, the lease isn't renewed.
    duration m_long_poll_timeout = 2s; ///< How long a renewal waits at the worker for an end.
    duration m_renewal_retry_delay = 300ms; ///< Between failing renewals.
    /// Between renewals that don't wait because stops fail.
    duration m_unpolled_renewal_interval = 100ms;
    /// Once stops have failed for longer, the lease isn't renewed.
    duration m_stop_failure_timeout = 4s;
    duration m_idle_renewal_interval = 10s; ///< Keeps the clock of an idle worker known.
};

/// What the leader knows about one worker.
struct worker_state
{
    worker_info m_info;
    bool m_listed = true;       ///< In the platform's latest list.
    instant m_unlisted_since{}; ///< Valid if not listed.
    instant m_address_since{};  ///< When the list first gave its address.
    bool m_replaced = false;    ///< Another process answers at the address: this one ended.
    /// The worker has reported under this epoch: its clock and what runs there are known.
    bool m_reported = false;
    /// It has also reported all of its ends, which may take several reports.
    bool m_synced = false;
    worker_use m_use = worker_use::allowed;
    /// Leases of earlier leaders may last until then, unless the worker has reported since; by the
    /// local clock and by the store's.
    instant m_earlier_leases_until{};
    std::int64_t m_earlier_leases_until_ms = 0;
    /// Identifies the worker's present life: it may restart under its identifier; 0: unknown.
    std::uint64_t m_started_at = 0;
    /// When this leader learned of that life; what was sent before was meant for a former one.
    instant m_life_since{};
    resources m_used;
    customer_usage* m_usage = nullptr; ///< Is told of each run that begins or ends; may be null.
    std::map<task_key, placement> m_placements;
    int m_unknown_size_count = 0; ///< Placements whose size isn't known.
    int m_stop_request_count = 0; ///< Placements that are to be stopped.

    /// Unanswered start orders from before the worker was lost. They may still take effect, so the
    /// runs are stopped when the worker is back.
    std::map<task_key, std::uint64_t> m_unconfirmed_starts;
    instant m_next_unconfirmed_stop{};

    std::uint64_t m_ends_seen = 0; ///< Highest end number that was handled.
    /// Highest end number whose effect is durable, so that it may be acknowledged.
    std::uint64_t m_ends_stored = 0;
    std::uint64_t m_ends_ack_sent = 0; ///< Highest end number in a renewal.
    instant m_ack_sent_at{};           ///< Of the first renewal with that number.
    std::uint64_t m_ends_acked = 0;    ///< Highest end number in a renewal that was answered.

    bool m_renewing = false;     ///< A renewal is in flight.
    instant m_renewal_sent_at{}; ///< Of the last renewal that may be long-polling.
    /// Request a report immediately, beside the long-polling renewal.
    bool m_report_wanted = false;
    instant m_next_renewal{};
    instant m_last_report_at{};
    instant m_failing_since{};    ///< First failed renewal since the last successful one.
    std::int64_t m_clock_ms = 0;  ///< The worker's clock at m_last_report_at.
    instant m_lease_expires_at{}; ///< All tasks there have ended by then if no renewal arrives.
    /// A lease that an order by a former life's clock granted to this one may last until then.
    instant m_former_clock_until{};

    instant m_stops_failing_since{}; ///< First failed stop since the last answered one.

    int m_consecutive_failures = 0; ///< Failed tasks since the last successful one.
    instant m_avoid_until{};        ///< No new tasks before then.

    instant m_advanced_at{};     ///< When a run there last advanced or ended by itself.
    int m_suspicions = 0;        ///< Since then: its runs stood still for too long.
    instant m_suspected_at{};    ///< The last time.
    instant m_suspected_until{}; ///< The last choice for new tasks before then.

    worker_number m_number = 0; ///< Given by the worker_index.

    /// Capacity claimed by waiting steps, one entry for each priority.
    struct priority_claim
    {
        int m_priority = 0;
        resources m_size;
    };
    std::vector<priority_claim> m_claims;
    resources m_claimed;                     ///< Sum of m_claims.
    std::int64_t m_tentative_millicores = 0; ///< Expected use by tentative claims.

    /// State of the last placement pass.
    struct pass_state
    {
        bool m_open = false;   ///< May get tasks.
        bool m_closed = false; ///< Drained for a gang.
    };
    pass_state m_pass;

    /// Counts a run's resources as used.
    void add(const task_key& task, const placement& placed)
    {
        m_used += placed.m_size;
        m_unknown_size_count += placed.m_size_known ? 0 : 1;
        m_stop_request_count += placed.m_stop_requested ? 1 : 0;
        if (m_usage != nullptr)
            m_usage->add(placed.m_customer, placed.m_size, placed.m_size_known);
        if (m_usage != nullptr && placed.m_phase == placement_phase::starting)
            m_usage->order_sent(placed.m_customer);
        m_placements.insert_or_assign(task, placed);
    }

    void remove(std::map<task_key, placement>::iterator placed)
    {
        m_used -= placed->second.m_size;
        m_unknown_size_count -= placed->second.m_size_known ? 0 : 1;
        m_stop_request_count -= placed->second.m_stop_requested ? 1 : 0;
        if (const auto& run = placed->second; m_usage != nullptr)
            m_usage->remove(run.m_customer, run.m_size, run.m_size_known);
        set_phase(placed->second, placement_phase::running); // settles its order
        m_placements.erase(placed);
    }

    void set_phase(placement& placed, placement_phase phase)
    {
        const auto before = std::exchange(placed.m_phase, phase);
        if (m_usage == nullptr || before == phase)
            return;
        if (before == placement_phase::starting)
            m_usage->order_settled(placed.m_customer);
        if (phase == placement_phase::unknown)
            m_usage->order_unclear(placed.m_customer, placed.m_started);
    }

    void remove_all()
    {
        while (!m_placements.empty())
            remove(m_placements.begin());
    }

    void request_stop(placement& placed, instant now)
    {
        if (!placed.m_stop_requested)
        {
            if (m_stop_request_count == 0 && m_unconfirmed_starts.empty())
                m_stops_failing_since = {};
            ++m_stop_request_count;
            placed.m_stop_requested_at = now;
        }
        placed.m_stop_requested = true;
        placed.m_next_stop = now;
    }

    /// True if stops are wanted and the last one failed: orders don't reach the worker, although
    /// renewals may.
    bool stops_failing() const
    {
        return m_stops_failing_since != instant{} &&
               (m_stop_request_count > 0 || !m_unconfirmed_starts.empty());
    }

    /// True if a task of unknown size runs there: the worker may be full.
    bool free_capacity_unknown() const { return m_unknown_size_count > 0; }

    void add_claim(int priority, const resources& size)
    {
        auto claim = std::find_if(m_claims.begin(), m_claims.end(),
                                  [priority](const priority_claim& one)
                                  { return one.m_priority == priority; });
        if (claim == m_claims.end())
            claim = m_claims.insert(m_claims.end(), {.m_priority = priority});
        claim->m_size += size;
        m_claimed += size;
    }

    void remove_claim(int priority, const resources& size)
    {
        const auto claim = std::find_if(m_claims.begin(), m_claims.end(),
                                        [priority](const priority_claim& one)
                                        { return one.m_priority == priority; });
        if (claim == m_claims.end())
            return;
        claim->m_size -= size;
        m_claimed -= size;
        if (claim->m_size == resources{})
            m_claims.erase(claim);
    }

    resources free() const { return m_info.m_capacity - m_used; }

    /// Free capacity for a step of a priority: less the claims of steps that are as urgent or more.
    resources free_for(int priority) const
    {
        auto result = free();
        for (const auto& claim : m_claims)
            if (claim.m_priority <= priority)
                result -= claim.m_size;
        return result;
    }

    /// Free capacity that no step claims.
    resources free_for_others() const { return free() - m_claimed; }

    /// The same less what tentative claims are expected to use.
    std::int64_t expected_free_millicores() const
    {
        return free_for_others().m_millicores - m_tentative_millicores;
    }

    /// Estimate of the worker's clock that is never ahead of it.
    std::int64_t clock_at(instant now) const
    {
        return m_clock_ms + to_ms(now - m_last_report_at) * 98 / 100;
    }
};

} // namespace dragonflygap::cell
