#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "dragonflygap/cell/job_state.hpp"
#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

/// Why tasks of a step don't start: the first of these that holds.
enum class waiting_cause
{
    none,                 ///< Nothing of it waits.
    not_due,              ///< Its time hasn't come, or earlier steps aren't done.
    not_queued,           ///< It is due, and no pass looks at it.
    run_missing,          ///< A member is taken for placed where the worker's state has no run.
    earlier_run_stopping, ///< Members of an earlier run are being stopped.
    earlier_run_running,  ///< Members of an earlier run go on, and nothing stops them.
    members_done,         ///< Members of a gang are done, so it is never whole again.
    not_stored,
    blind, ///< Restored; workers that weren't heard of yet may run it.
    setback,
    too_few_workers,    ///< The listed workers that suit it couldn't hold it if they were empty.
    room_held,          ///< There is room where it may start, kept for steps before it.
    no_room,            ///< Where it may start now, or with new tickets, too much is taken.
    approval_asked,     ///< An answer is awaited.
    approval_not_asked, ///< None was asked for.
    too_few_approved,   ///< The approved workers couldn't hold it if they were empty.
    tickets_lapsed,     ///< Approved workers have the room; for too few of them a ticket is valid.
};

/// Its word in logs.
std::string_view name_of(waiting_cause cause);

/// What a step's wait depends on, beside its job and the workers.
struct wait_circumstances
{
    instant m_now{};
    std::int64_t m_unix_ms = 0;
    bool m_blind = false;
    bool m_queued = true; ///< The passes over the waiting steps look at it.
};

/// A step's wait at one moment.
struct step_wait
{
    step_key m_step;
    waiting_cause m_cause = waiting_cause::none;
    bool m_gang = false;
    int m_count = 0;
    int m_waiting = 0;
    std::size_t m_approved = 0;
    std::size_t m_denied = 0;
    std::size_t m_tickets = 0; ///< That are valid.
    bool m_call_in_flight = false;
    // Tasks for which there is room now, whoever it is kept for.
    int m_room_ticketed = 0; ///< On workers with a valid ticket; on all where none is needed.
    int m_room_approved = 0; ///< On approved workers; on all where no approval is needed.
    int m_room_anywhere = 0; ///< On all open workers that suit it.
    duration m_age{};        ///< Since this leader first found it due.
};

/// True if due tasks of the step wait, or a run of its first open task is neither running nor
/// about to. Cheap: for all steps of a cell.
bool waits(const job_state& job, const step_key& key, const std::map<worker_id, worker_state>& on,
           std::int64_t unix_ms);

/// Since when this leader has known the step as due.
instant waiting_since(const job_state& job, const step_key& key);

/// Tells why a step waits, as the last pass over the waiting steps left it.
step_wait look_at_wait(const job_state& job, const step_key& key,
                       const std::map<worker_id, worker_state>& workers,
                       const wait_circumstances& at);

} // namespace dragonflygap::cell
