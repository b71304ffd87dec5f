#pragma once

#include <array>
#include <span>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::request
{

/// Learns how long the requests of a class run, from ended ones and from those still running.
class run_time_estimate
{
public:
    /// Starts from the declared run time, which a few observed ones outweigh.
    explicit run_time_estimate(duration declared);

    /// A request ended after this time at a target.
    void add(duration run_time);

    /// Weighs in what still runs: more long runners than the ended ones explain raise the estimate.
    void refresh(std::span<const duration> running);

    duration mean() const { return m_mean; }
    duration median() const { return m_median; }
    /// Nine of ten requests run at most this long.
    duration high() const { return m_high; }

private:
    static constexpr std::size_t buckets = 128;

    static std::size_t bucket_of(duration run_time);
    static duration middle_of(std::size_t bucket);
    duration quantile(double share) const;
    double expected_overdue_share() const;
    void count(duration run_time, double weight);

    std::array<double, buckets> m_weights{};
    double m_total_weight = 0;
    double m_total_time = 0; ///< Weighted, in microseconds.
    double m_next_weight = 1;
    duration m_mean;
    duration m_median;
    duration m_high;
    int m_since_refresh = 0;
};

} // namespace dragonflygap::request
