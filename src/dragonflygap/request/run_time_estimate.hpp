#pragma once

#include <array>
#include <span>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::request
{

/// Estimates the run times of a class from finished and still running requests.
class run_time_estimate
{
public:
    /// Starts from the declared run time, which a few samples outweigh.
    explicit run_time_estimate(duration declared);

    /// Adds the run time of a finished request.
    void add(duration run_time);

    /// Updates the estimates; more overdue running requests than expected raise them.
    void refresh(std::span<const duration> running);

    duration mean() const { return m_mean; }
    duration median() const { return m_median; }
    /// 90th percentile.
    duration p90() const { return m_p90; }

private:
    static constexpr std::size_t buckets = 128;

    static std::size_t bucket_of(duration run_time);
    static duration bucket_midpoint(std::size_t bucket);
    duration quantile(double share) const;
    double expected_overdue_share() const;
    void add_sample(duration run_time, double weight);

    std::array<double, buckets> m_weights{};
    double m_total_weight = 0;
    double m_total_time = 0; ///< Weighted sum, in microseconds.
    double m_next_weight = 1;
    duration m_mean;
    duration m_median;
    duration m_p90;
    int m_since_refresh = 0;
};

} // namespace dragonflygap::request
