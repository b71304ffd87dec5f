#pragma once

#include <span>
#include <string>
#include <utility>
#include <vector>

#include "dragonflygap/history_checker/checker.hpp"

/// The promises, each checked by one function over a sorted history.
namespace dragonflygap::history_checker
{

using violations = std::vector<violation>;
using entries = std::span<const entry>;

/// A violation shown by a line; its rule is filled in by check().
inline violation broken(const entry& at, std::string detail)
{
    return {.m_rule = {}, .m_detail = std::move(detail), .m_at = at.m_at};
}

/// No worker runs tasks that need more together than it has.
violations check_worker_capacity(entries history, const checker_options& options);
/// No executor runs more requests than it has slots.
violations check_executor_slots(entries history, const checker_options& options);
/// No two copies of a task of a job run at once, under whichever attempt and on whichever worker.
violations check_single_running_task(entries history, const checker_options& options);
/// No request runs in two executors at once.
violations check_single_running_request(entries history, const checker_options& options);
/// An answer carries its own caller's token.
violations check_own_answer(entries history, const checker_options& options);
/// A node answers a request at most once.
violations check_answered_once(entries history, const checker_options& options);
/// A request that was reported as not run never ran.
violations check_not_run(entries history, const checker_options& options);
/// A non-idempotent request, known by caller and key, runs at most once.
violations check_at_most_once(entries history, const checker_options& options);
/// A leaving worker is given nothing new after the grace.
violations check_leaving_target(entries history, const checker_options& options);
/// A node that stopped by itself had ended every request, and cut off none that ran.
violations check_graceful_shutdown(entries history, const checker_options& options);
/// The version in force on a node never goes back, not across restarts either.
violations check_config_never_reverts(entries history, const checker_options& options);
/// A committed document is in force in time on every node without a fault.
violations check_config_in_force(entries history, const checker_options& options);
/// A group of workers has one owner in each epoch.
violations check_one_owner(entries history, const checker_options& options);

} // namespace dragonflygap::history_checker
