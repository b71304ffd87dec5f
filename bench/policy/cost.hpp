#pragma once

namespace dragonflygap::bench
{

/// Prints the processor time of an event: at 3,000 requests a second and far above, with long
/// queues, and for a wave of cancellations.
void print_costs();

} // namespace dragonflygap::bench
