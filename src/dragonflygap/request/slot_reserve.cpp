#include "dragonflygap/request/slot_reserve.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflygap::request
{

namespace
{

// With fewer slots, reserving even one would waste too much capacity.
constexpr int min_slots_for_reserve = 4;

} // namespace

double wait_probability(int slots, double offered_load)
{
    if (offered_load >= slots)
        return 1;
    double blocking_probability = 1;
    for (int i = 1; i <= slots; ++i)
        blocking_probability =
            offered_load * blocking_probability / (i + offered_load * blocking_probability);
    return blocking_probability / (1 - offered_load / slots * (1 - blocking_probability));
}

int reserved_slots(double offered_load, int slots, const slot_reserve_options& options)
{
    if (slots < min_slots_for_reserve || offered_load <= 0)
        return 0;
    const double max_idle_slots = std::max(1.0, options.m_max_idle_share * slots);
    const int limit =
        std::min(slots - 1, static_cast<int>(std::lround(offered_load + max_idle_slots)));
    int reserved = 1;
    while (reserved < limit &&
           wait_probability(reserved, offered_load) > options.m_max_wait_probability)
        ++reserved;
    return reserved;
}

} // namespace dragonflygap::request
