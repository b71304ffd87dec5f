#pragma once

#include <cstdint>
#include <vector>

#include "dragonflygap/cell/approval_counts.hpp"
#include "dragonflygap/cell/waiting_cause.hpp"

namespace dragonflygap::cell
{

/// Counters of a leader since its takeover.
struct leader_counts
{
    approval_call_counts m_calls;
    ticket_counts m_tickets;
    answer_times m_answer_times;
    std::uint64_t m_workers_named = 0; ///< Workers in the answered calls.
    std::uint64_t m_starts_refused = 0;
    std::uint64_t m_stops_failed = 0;    ///< Stop calls without an answer, or refused as unhealthy.
    std::uint64_t m_tasks_stuck = 0;     ///< Runs stopped because they stood still.
    std::uint64_t m_steps_held_back = 0; ///< Visits of steps that a customer's limit held back.
};

/// State after the last placement pass.
struct pass_summary
{
    std::size_t m_steps_waiting = 0;
    std::size_t m_gangs_waiting = 0;
    std::size_t m_not_queued = 0;          ///< Waiting steps that placement passes don't visit.
    std::size_t m_approvals_in_flight = 0; ///< Calls that steps wait for.
    std::size_t m_approvals_open = 0;      ///< The same, and calls given up that may be answered.
    std::size_t m_tickets_held = 0;        ///< Unused.
    std::size_t m_workers_listed = 0;
    std::size_t m_workers_open = 0;
    std::size_t m_workers_closed = 0;
    std::size_t m_workers_suspected = 0; ///< Open, but the last choice.
    std::int64_t m_millicores_free = 0;  ///< On open workers.
    /// Of the free ones: claimed by steps that wait for tickets.
    std::int64_t m_millicores_reserved = 0;
    std::int64_t m_millicores_closed = 0; ///< Of the free ones: on workers closed for gangs.
    std::size_t m_runs_starting = 0;
    std::size_t m_runs_unknown = 0;  ///< Start orders without an answer.
    std::size_t m_runs_stopping = 0; ///< To be stopped, end not reported yet.
    duration m_longest_stop{};       ///< Time since the first request to stop one of them.
    duration m_oldest_wait{};
};

struct wait_report
{
    pass_summary m_pass;
    std::vector<step_wait> m_steps; ///< The first by rank, then those due the longest.
};

} // namespace dragonflygap::cell
