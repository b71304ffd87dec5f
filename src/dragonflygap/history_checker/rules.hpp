#pragma once

#include <span>
#include <string>
#include <utility>
#include <vector>

#include "dragonflygap/history_checker/checker.hpp"

/// The rules, each checked by one function in a sorted history.
namespace dragonflygap::history_checker
{

using violations = std::vector<violation>;
using entries = std::span<const entry>;

/// Creates a violation at a line; check() fills in the rule.
inline violation make_violation(const entry& at, std::string detail)
{
    return {.m_rule = {}, .m_detail = std::move(detail), .m_at = at.m_at};
}

/// The running tasks of a worker never exceed its capacity.
violations check_worker_capacity(entries history, const checker_options& options);
/// No executor runs more requests than it has slots.
violations check_executor_slots(entries history, const checker_options& options);
/// At most one attempt of a task runs at a time, over all workers.
violations check_single_running_task(entries history, const checker_options& options);
/// No two executions of a request overlap.
violations check_single_running_request(entries history, const checker_options& options);
/// A caller gets the answer to its own request, shown by the token.
violations check_own_answer(entries history, const checker_options& options);
/// A node answers a request at most once.
violations check_answered_once(entries history, const checker_options& options);
/// A request that was reported as not_run has never run.
violations check_not_run(entries history, const checker_options& options);
/// A non-idempotent request, identified by caller and key, runs at most once.
violations check_at_most_once(entries history, const checker_options& options);
/// A leaving worker gets no new tasks or requests after the grace period.
violations check_leaving_target(entries history, const checker_options& options);
/// A node that drains answers all requests before it stops, and aborts none that runs.
violations check_graceful_shutdown(entries history, const checker_options& options);
/// The configuration version in force on a node never decreases, not even across restarts.
violations check_config_never_reverts(entries history, const checker_options& options);
/// A committed document comes into force in time on every node without a fault.
violations check_config_in_force(entries history, const checker_options& options);
/// A worker group has at most one owner in each epoch.
violations check_one_owner(entries history, const checker_options& options);

} // namespace dragonflygap::history_checker
