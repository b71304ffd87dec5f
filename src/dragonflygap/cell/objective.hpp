#pragma once

#include "dragonflygap/cell/job_state.hpp"

namespace dragonflygap::cell
{

/// The objective of a job, from its acceptance. Objectives are of the work that jobs turn out to be,
/// so their expected times count, not the callers' estimates.
duration objective_of(const job_state& job);

/// True if the job is measured from its acceptance.
bool has_objective(const job_request& request);

/// Expected time of a step, with its approval call.
duration time_of_step(const job_state& job, int step);

/// The job's longest chain of steps, with an approval call each.
duration chain_of(const job_state& job);

/// How much later than it could be done a job may be done by its objective.
duration slack_of(const job_state& job);

/// Time that the unfinished steps are still expected to take, one after another as they depend on
/// each other, with an approval call each.
duration remaining_work(const job_state& job);

/// Times its objective, after which a job is hardly of use to its caller.
inline constexpr int late_limit = 3;

/// Scheduled and long-running jobs are always on time, as they aren't measured from their
/// acceptance.
lateness lateness_of(const job_state& job, instant now);

/// The earliest time at which the lateness may exceed m_lateness; max if it can't.
instant next_lateness_at(const job_state& job);

} // namespace dragonflygap::cell
