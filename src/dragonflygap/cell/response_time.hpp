#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct response_time_options
{
    duration m_initial_timeout = 1s; ///< Until enough answers were measured.
    /// The network takes a few ms each way, and a burst of orders some hundred.
    duration m_min_timeout = 500ms;
    /// A start takes no effect later (worker_options::m_order_window).
    duration m_max_timeout = 1500ms;
};

/// Timeout of calls from the times that earlier ones took, as TCP estimates it (RFC 6298): a slow
/// link or a late leader makes answers late, not lost. Answers the load of a leader that sends
/// orders faster than its link or its processor carries them. Does no I/O.
class response_time
{
public:
    explicit response_time(response_time_options options) : m_options(options) {}

    /// A call that timed out counts with the time it was given: one silent server among many hardly
    /// matters, while many unanswered calls raise the timeout.
    void add(duration taken)
    {
        ++m_samples;
        constexpr int mean_weight = 8;      // of the past
        constexpr int deviation_weight = 4; // of the past
        const auto error = taken - m_mean;
        m_mean += error / mean_weight;
        m_deviation += (std::chrono::abs(error) - m_deviation) / deviation_weight;
    }

    duration timeout() const
    {
        constexpr int deviations = 4;
        constexpr int enough_samples = 8;
        if (m_samples < enough_samples)
            return m_options.m_initial_timeout;
        return std::clamp<duration>(m_mean + deviations * m_deviation, m_options.m_min_timeout,
                                    m_options.m_max_timeout);
    }

    duration mean() const { return m_mean; }

private:
    response_time_options m_options;
    std::uint64_t m_samples = 0;
    duration m_mean{};
    duration m_deviation{};
};

} // namespace dragonflygap::cell
