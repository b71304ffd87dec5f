#pragma once

#include "dragonflygap/cell/job_state.hpp"

namespace dragonflygap::cell
{

/// A job that completes after this multiple of its objective is of no use to its caller.
inline constexpr int late_limit = 3;

/// False for scheduled and long-running jobs, as they aren't measured from their acceptance.
bool has_objective(const job_request& request);

/// The objective of a job, from its acceptance.
duration objective_of(const job_record& record);

/// How much later than it could be done a job may be done by its objective.
duration slack_of(const job_record& record);

/// Time that the unfinished steps still take by their estimates, one after another as they depend
/// on each other, with an approval call each.
duration remaining_work(const job_state& job);

/// Jobs without an objective are always on time.
lateness lateness_of(const job_state& job, instant now);

/// The earliest time at which the lateness may exceed m_lateness; max if it can't.
instant next_lateness_at(const job_state& job);

} // namespace dragonflygap::cell
