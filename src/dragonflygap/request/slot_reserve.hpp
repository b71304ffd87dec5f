#pragma once

namespace dragonflygap::request
{

struct slot_reserve_options
{
    double m_max_wait_probability = 0.01; ///< Maximum probability that a short request waits.
    double m_max_idle_share = 0.036;      ///< Maximum share of slots kept idle on average.
};

/// Probability that an arriving request finds all slots busy (Erlang C). The offered load is the
/// arrival rate times the mean run time, in slots.
double wait_probability(int slots, double offered_load);

/// Number of slots to reserve for short requests with this load; longer ones may use the rest.
int reserved_slots(double offered_load, int slots, const slot_reserve_options& options);

} // namespace dragonflygap::request
