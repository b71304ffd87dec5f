#pragma once

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::request
{

/// Recent arrivals a second: follows a rise within a second and a fall within half a minute.
class arrival_rate
{
public:
    void arrived(instant now);

    double per_second(instant now) const;

    /// The rate that may be expected to last: a crest counts little until it has lasted.
    double lasting_per_second(instant now) const;

    /// True if nothing has arrived for so long that no room need be kept.
    bool quiet(instant now) const;

private:
    void decay(instant now);

    double m_fast = 0;
    double m_slow = 0;
    instant m_last{};
    bool m_any = false;
};

} // namespace dragonflygap::request
