#pragma once

#include <cstdint>
#include <vector>

#include "dragonflygap/cell/waiting_cause.hpp"

namespace dragonflygap::cell
{

/// What a leader has counted since it took over.
struct leader_counts
{
    std::uint64_t m_answers = 0;        ///< Approvals that were answered.
    std::uint64_t m_answers_failed = 0; ///< Or that nobody answered.
    std::uint64_t m_answers_late = 0;   ///< Answered when no task of the step waited any more.
    std::uint64_t m_workers_named = 0;  ///< In the calls that were answered.
    std::uint64_t m_tickets_received = 0;
    std::uint64_t m_tickets_used = 0;   ///< At least once.
    std::uint64_t m_tickets_lapsed = 0; ///< Unused; also those of steps that needed them no more.
    std::uint64_t m_starts_refused = 0;
};

/// What the last pass over the waiting steps left.
struct pass_summary
{
    std::size_t m_steps_waiting = 0;
    std::size_t m_gangs_waiting = 0;
    std::size_t m_not_queued = 0; ///< Of the steps: no pass looks at them.
    std::size_t m_approvals_in_flight = 0;
    std::size_t m_workers_listed = 0;
    std::size_t m_workers_open = 0;
    std::size_t m_workers_closed = 0;
    std::int64_t m_millicores_free = 0; ///< Of open workers.
    std::int64_t m_millicores_reserved =
        0;                                ///< Of these: kept for gangs while tickets are asked for.
    std::int64_t m_millicores_closed = 0; ///< Of these: of workers closed for gangs.
    std::size_t m_runs_starting = 0;
    std::size_t m_runs_unknown = 0;  ///< Orders without an answer.
    std::size_t m_runs_stopping = 0; ///< Runs that are to be stopped and whose end wasn't seen.
    duration m_oldest_wait{};
};

struct wait_report
{
    pass_summary m_pass;
    std::vector<step_wait> m_steps; ///< The first by rank, then those known as due the longest.
};

} // namespace dragonflygap::cell
