#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "dragonflygap/cell/job_state.hpp"
#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

/// Why a step's tasks don't start: the first of these that applies.
enum class waiting_cause
{
    none,                 ///< No task is waiting.
    not_due,              ///< Not due yet, or steps that it depends on aren't done.
    not_queued,           ///< It is due, but placement passes don't visit it.
    run_missing,          ///< A member counts as placed, but the worker's state has no such run.
    earlier_run_stopping, ///< Members of an earlier run are being stopped.
    earlier_run_running,  ///< Members of an earlier run still run and aren't being stopped.
    members_done,         ///< Some members of a gang are done, so it can't be placed as a whole.
    not_stored,
    workers_unsynced, ///< A restored job may run on workers that haven't reported yet.
    backoff,
    customer_limit,     ///< The limit of its customer holds it back, or a step before it.
    too_few_workers,    ///< The listed suitable workers couldn't hold it even if empty.
    room_held,          ///< Enough capacity is free, but held for steps before it.
    no_room,            ///< Workers with a ticket, or approved ones, are too full.
    approval_asked,     ///< Waits for an approval answer.
    approval_not_asked, ///< No approval was requested yet.
    too_few_approved,   ///< The approved workers couldn't hold it even if empty.
    tickets_lapsed,     ///< Approved workers have capacity, but too few valid tickets.
};

/// The cause's name in logs.
std::string_view name_of(waiting_cause cause);
std::string_view name_of(approval_pause pause);

/// What a step's wait depends on besides its job and the workers.
struct wait_circumstances
{
    instant m_now{};
    std::int64_t m_unix_ms = 0;
    bool m_workers_unsynced = false;
    bool m_queued = true; ///< Placement passes visit the step.
    bool m_held_back = false; ///< By the limit of its customer.
};

/// A step's wait at one instant.
struct step_wait
{
    step_key m_step;
    waiting_cause m_cause = waiting_cause::none;
    bool m_gang = false;
    int m_count = 0;
    int m_waiting = 0;
    std::size_t m_approved = 0;
    std::size_t m_denied = 0;
    std::size_t m_tickets = 0; ///< Valid tickets only.
    std::size_t m_calls = 0;   ///< In flight.
    // Tasks that fit now, including into capacity held for other steps.
    int m_room_ticketed = 0; ///< On workers with a valid ticket; on all if none is needed.
    int m_room_approved = 0; ///< On approved workers; on all if no approval is needed.
    int m_room_anywhere = 0; ///< On all open workers that suit the step.
    duration m_age{};        ///< Since this leader first found it due.
    approval_pause m_pause = approval_pause::none;
    std::size_t m_drained = 0; ///< Workers that are closed to other steps for it.
    duration m_retry_in{};     ///< Until it may look for capacity again.
};

/// True if due tasks of the step wait, or if its first open task is placed but its run is missing
/// or being stopped. Cheap enough to call for all steps of a cell.
bool is_waiting(const job_state& job, const step_key& key,
                const std::map<worker_id, worker_state>& workers, std::int64_t unix_ms);

/// Since when this leader has known the step to be due.
instant waiting_since(const job_state& job, const step_key& key);

/// Explains why a step waits, by the state after the last placement pass.
step_wait explain_wait(const job_state& job, const step_key& key,
                       const std::map<worker_id, worker_state>& workers,
                       const wait_circumstances& circumstances);

} // namespace dragonflygap::cell
