#pragma once

namespace dragonflygap::request
{

struct slot_reserve_options
{
    double m_waiting_share = 0.01;   ///< Requests that may have to wait.
    double m_max_idle_share = 0.036; ///< Most of the slots kept empty on average.
};

/// Share of requests that find all these slots taken (Erlang C).
/// offered: arrival rate times run time, in slots.
double waiting_share(int slots, double offered);

/// Slots to keep for short work that offers this load, so that longer work takes only the others.
int reserved_slots(double offered, int slots, const slot_reserve_options& options);

} // namespace dragonflygap::request
