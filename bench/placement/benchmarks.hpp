#pragma once

namespace dragonflygap::bench
{

/// Time and heap allocations per placement decision in a full cell of 100 to 5,000 workers.
void measure_decisions();

/// Committed share of the scarcest resource when a task is first refused, by policy.
void measure_packing();

/// Wait times of gangs and of small tasks, by how the queue treats a gang that does not fit.
void measure_gang_wait();

/// Virtual time until an urgent task starts in a full cell.
void measure_urgent();

} // namespace dragonflygap::bench
