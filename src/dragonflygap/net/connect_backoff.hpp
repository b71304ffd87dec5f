#pragma once

#include <algorithm>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// Exponential delay of new connections to an endpoint that refuses them.
class connect_backoff
{
public:
    /// No new connection should be opened before then.
    instant delayed_until() const { return m_delayed_until; }

    /// A new connection was closed before its first response.
    void refused(instant now)
    {
        constexpr duration min_delay = 50ms;
        constexpr duration max_delay = 400ms;
        m_delay = std::clamp<duration>(2 * m_delay, min_delay, max_delay);
        m_delayed_until = now + m_delay;
    }

    /// A new connection received its first response.
    void accepted() { *this = {}; }

private:
    duration m_delay{};
    instant m_delayed_until{};
};

} // namespace dragonflygap
