#include "dragonflygap/request/slot_reserve.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflygap::request
{

namespace
{

// With fewer slots, one kept empty would cost too much.
constexpr int min_slots_for_reserve = 4;

} // namespace

double waiting_share(int slots, double offered)
{
    if (offered >= slots)
        return 1;
    double blocked = 1;
    for (int i = 1; i <= slots; ++i)
        blocked = offered * blocked / (i + offered * blocked);
    return blocked / (1 - offered / slots * (1 - blocked));
}

int reserved_slots(double offered, int slots, const slot_reserve_options& options)
{
    if (slots < min_slots_for_reserve || offered <= 0)
        return 0;
    const double idle = std::max(1.0, options.m_max_idle_share * slots);
    const int most = std::min(slots - 1, static_cast<int>(std::lround(offered + idle)));
    int reserved = 1;
    while (reserved < most && waiting_share(reserved, offered) > options.m_waiting_share)
        ++reserved;
    return reserved;
}

} // namespace dragonflygap::request
