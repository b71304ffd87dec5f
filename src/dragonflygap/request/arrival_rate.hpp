#pragma once

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::request
{

/// Estimates the arrival rate: reacts to a rise within one second, to a fall within 30 seconds.
class arrival_rate
{
public:
    void record_arrival(instant now);

    double per_second(instant now) const;

    /// The long-term rate; short bursts hardly affect it.
    double sustained_per_second(instant now) const;

    /// True if nothing has arrived for so long that no slots need to be reserved.
    bool is_idle(instant now) const;

private:
    void decay(instant now);

    double m_fast_rate = 0;
    double m_slow_rate = 0;
    instant m_decayed_at{};
    bool m_has_arrivals = false;
};

} // namespace dragonflygap::request
