#pragma once

#include <algorithm>
#include <cstddef>
#include <utility>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct call_window_options
{
    double m_min = 16; ///< Calls in flight.
    double m_max = 4000;
    double m_initial = 64;
    /// Answers that come later than expected by more show that calls wait on their way.
    duration m_slow_answer = 150ms;
    /// As much of the least delay of late may be the path's own, which no smaller window shortens.
    duration m_max_path_delay{};
};

/// Limits the calls in flight, such as start orders: the window grows while answers are quick and
/// shrinks when they are slow. Calls beyond it wait where they can still be replaced by others,
/// instead of in a queue where they would be lost. Answers the load of a leader that asks for more
/// than is answered in time, whether the path, the other side or its own processor is the limit.
/// Does no I/O.
class call_window
{
public:
    explicit call_window(call_window_options options)
        : m_options(options), m_size(options.m_initial)
    {
    }

    void sent() { ++m_in_flight; }

    /// With the time that the answer took beyond what was expected of it.
    void answered(duration taken, instant now)
    {
        m_in_flight -= m_in_flight > 0 ? 1 : 0;
        constexpr double growth = 1;
        constexpr double shrink_factor = 0.7;
        update_least(taken, now);
        const auto path_delay = std::min({m_least, m_least_before, m_options.m_max_path_delay});
        if (taken - path_delay < m_options.m_slow_answer)
        {
            // Unused room says nothing about a larger window.
            if (2 * static_cast<double>(m_in_flight) >= m_size)
                m_size = std::min(m_options.m_max, m_size + growth);
            return;
        }
        // Once for all calls that were on the way at the same time.
        if (now - m_shrunk_at < taken)
            return;
        m_shrunk_at = now;
        m_size = std::max(m_options.m_min, m_size * shrink_factor);
    }

    bool full() const { return static_cast<double>(m_in_flight) >= m_size; }
    std::size_t in_flight() const { return m_in_flight; }
    std::size_t size() const { return static_cast<std::size_t>(m_size); }

private:
    void update_least(duration taken, instant now)
    {
        constexpr duration interval = 5s;
        if (now - m_least_since >= interval)
        {
            m_least_before = std::exchange(m_least, duration::max());
            m_least_since = now;
        }
        m_least = std::min(m_least, taken);
    }

    call_window_options m_options;
    double m_size;
    std::size_t m_in_flight = 0;
    instant m_shrunk_at{};
    // The least delay, of the current interval and of the one before.
    duration m_least = duration::max();
    duration m_least_before = duration::max();
    instant m_least_since{};
};

} // namespace dragonflygap::cell
