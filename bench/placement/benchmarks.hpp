#pragma once

namespace dragonflygap::bench
{

/// Time and heap use of a decision in a full cell, from 100 to 5,000 workers.
void measure_decisions();

/// Committed share of the scarcest resource at the first refusal, by policy.
void measure_packing();

/// Waiting times of gangs and of small tasks, by how the queue treats a gang without room.
void measure_gang_wait();

/// Time until an urgent task runs in a full cell, in virtual time.
void measure_urgent();

} // namespace dragonflygap::bench
