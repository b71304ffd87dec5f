#include "dragonflygap/request/run_time_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflygap::request
{

namespace
{

constexpr double buckets_per_octave = 4;
constexpr double first_bucket_limit_us = 64;
constexpr double declared_weight = 1;
// After about 180 newer samples, a sample has half the weight of the newest one.
constexpr double growth_per_observation = 1.0 / 256;
constexpr double max_next_weight = 1e9;
constexpr int observations_per_refresh = 16;
// Below this total weight, every sample refreshes the estimates.
constexpr double warm_up_weight = 32;
constexpr double p90_quantile = 0.9;

} // namespace

run_time_estimate::run_time_estimate(duration declared)
    : m_mean(declared), m_median(declared), m_p90(declared)
{
    add_sample(declared, declared_weight);
}

std::size_t run_time_estimate::bucket_of(duration run_time)
{
    const double ratio = static_cast<double>(run_time.count()) / first_bucket_limit_us;
    if (ratio <= 1)
        return 0;
    const auto bucket = static_cast<std::size_t>(std::log2(ratio) * buckets_per_octave) + 1;
    return std::min(bucket, buckets - 1);
}

duration run_time_estimate::bucket_midpoint(std::size_t bucket)
{
    const double octaves = (static_cast<double>(bucket) - 0.5) / buckets_per_octave;
    return duration(static_cast<long long>(first_bucket_limit_us * std::exp2(octaves)));
}

void run_time_estimate::add_sample(duration run_time, double weight)
{
    m_weights[bucket_of(run_time)] += weight;
    m_total_weight += weight;
    m_total_time += weight * static_cast<double>(run_time.count());
}

void run_time_estimate::add(duration run_time)
{
    add_sample(run_time, m_next_weight);
    // Increasing the weight of new samples decays the old ones without updating them.
    m_next_weight *= 1 + growth_per_observation;
    if (m_next_weight > max_next_weight)
    {
        for (auto& weight : m_weights)
            weight /= m_next_weight;
        m_total_weight /= m_next_weight;
        m_total_time /= m_next_weight;
        m_next_weight = 1;
    }
    if (++m_since_refresh >= observations_per_refresh || m_total_weight < warm_up_weight)
        refresh({});
}

double run_time_estimate::expected_overdue_share() const
{
    const double mean = m_total_time / m_total_weight;
    double overdue_time = 0;
    for (std::size_t i = 0; i < buckets; ++i)
        if (m_weights[i] > 0)
            overdue_time += m_weights[i] *
                            std::max(0.0, static_cast<double>(bucket_midpoint(i).count()) - mean);
    return overdue_time / m_total_time;
}

void run_time_estimate::refresh(std::span<const duration> running)
{
    m_since_refresh = 0;
    const auto unadjusted = *this;
    const duration mean(static_cast<long long>(m_total_time / m_total_weight));
    const auto is_overdue = [mean](duration elapsed) { return elapsed > mean; };
    const auto overdue = static_cast<double>(std::ranges::count_if(running, is_overdue));
    const double expected = expected_overdue_share() * static_cast<double>(running.size());
    // Long requests are overrepresented among the running ones because they hold slots longer, so
    // only an excess of overdue requests raises the estimate.
    const double excess = overdue - 2 * expected - 1;
    if (excess > 0)
        for (const auto elapsed : running)
            if (is_overdue(elapsed))
                add_sample(elapsed, m_next_weight * excess / overdue);
    m_mean = duration(static_cast<long long>(m_total_time / m_total_weight));
    m_median = quantile(0.5);
    m_p90 = quantile(p90_quantile);
    m_weights = unadjusted.m_weights;
    m_total_weight = unadjusted.m_total_weight;
    m_total_time = unadjusted.m_total_time;
}

duration run_time_estimate::quantile(double share) const
{
    double remaining = share * m_total_weight;
    for (std::size_t i = 0; i < buckets; ++i)
    {
        remaining -= m_weights[i];
        if (remaining <= 0)
            return bucket_midpoint(i);
    }
    return bucket_midpoint(buckets - 1);
}

} // namespace dragonflygap::request
