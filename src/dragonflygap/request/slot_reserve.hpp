#pragma once

namespace dragonflygap::request
{

struct slot_reserve_options
{
    double m_late_share = 0.01;     ///< Requests that may wait longer than one run time.
    double m_max_idle_share = 0.05; ///< Most of the slots that are kept empty on average.
};

/// Share of requests that wait longer than one run time, with exponential run times (Erlang C).
/// offered: arrival rate times run time, in slots.
double late_share(int slots, double offered);

/// Slots to keep for short work that offers this load, so that longer work takes only the others.
int reserved_slots(double offered, int slots, const slot_reserve_options& options);

} // namespace dragonflygap::request
