#pragma once

namespace dragonflygap::bench
{

/// Time and heap use of a decision in a full cell, from 100 to 5,000 workers.
void measure_decisions();

/// Committed share of the scarcest resource at the first refusal, by policy.
void measure_packing();

} // namespace dragonflygap::bench
