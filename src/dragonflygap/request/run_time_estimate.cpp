#include "dragonflygap/request/run_time_estimate.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflygap::request
{

namespace
{

constexpr double buckets_per_octave = 4;
constexpr double smallest_us = 64;
constexpr double declared_weight = 1;
// An observation counts half after about 180 later ones.
constexpr double growth_per_observation = 1.0 / 256;
constexpr double rescale_above = 1e9;
constexpr int refresh_after = 16;
// While little is known, every observation counts at once.
constexpr double little_known = 32;
constexpr double high_share = 0.9;

} // namespace

run_time_estimate::run_time_estimate(duration declared)
    : m_mean(declared), m_median(declared), m_high(declared)
{
    count(declared, declared_weight);
}

std::size_t run_time_estimate::bucket_of(duration run_time)
{
    const double ratio = static_cast<double>(run_time.count()) / smallest_us;
    if (ratio <= 1)
        return 0;
    const auto bucket = static_cast<std::size_t>(std::log2(ratio) * buckets_per_octave) + 1;
    return std::min(bucket, buckets - 1);
}

duration run_time_estimate::middle_of(std::size_t bucket)
{
    const double octaves = (static_cast<double>(bucket) - 0.5) / buckets_per_octave;
    return duration(static_cast<long long>(smallest_us * std::exp2(octaves)));
}

void run_time_estimate::count(duration run_time, double weight)
{
    m_weights[bucket_of(run_time)] += weight;
    m_total_weight += weight;
    m_total_time += weight * static_cast<double>(run_time.count());
}

void run_time_estimate::add(duration run_time)
{
    count(run_time, m_next_weight);
    // Growing weights make old observations fade without touching them.
    m_next_weight *= 1 + growth_per_observation;
    if (m_next_weight > rescale_above)
    {
        for (auto& weight : m_weights)
            weight /= m_next_weight;
        m_total_weight /= m_next_weight;
        m_total_time /= m_next_weight;
        m_next_weight = 1;
    }
    if (++m_since_refresh >= refresh_after || m_total_weight < little_known)
        refresh({});
}

double run_time_estimate::expected_overdue_share() const
{
    const double mean = m_total_time / m_total_weight;
    double beyond = 0;
    for (std::size_t i = 0; i < buckets; ++i)
        if (m_weights[i] > 0)
            beyond +=
                m_weights[i] * std::max(0.0, static_cast<double>(middle_of(i).count()) - mean);
    return beyond / m_total_time;
}

void run_time_estimate::refresh(std::span<const duration> running)
{
    m_since_refresh = 0;
    const auto ended = *this;
    const duration mean(static_cast<long long>(m_total_time / m_total_weight));
    const auto is_overdue = [mean](duration elapsed) { return elapsed > mean; };
    const auto overdue = static_cast<double>(std::ranges::count_if(running, is_overdue));
    const double expected = expected_overdue_share() * static_cast<double>(running.size());
    // Long runners hold slots longer and are always met more often; only the excess is news.
    const double excess = overdue - 2 * expected - 1;
    if (excess > 0)
        for (const auto elapsed : running)
            if (is_overdue(elapsed))
                count(elapsed, m_next_weight * excess / overdue);
    m_mean = duration(static_cast<long long>(m_total_time / m_total_weight));
    m_median = quantile(0.5);
    m_high = quantile(high_share);
    m_weights = ended.m_weights;
    m_total_weight = ended.m_total_weight;
    m_total_time = ended.m_total_time;
}

duration run_time_estimate::quantile(double share) const
{
    double left = share * m_total_weight;
    for (std::size_t i = 0; i < buckets; ++i)
    {
        left -= m_weights[i];
        if (left <= 0)
            return middle_of(i);
    }
    return middle_of(buckets - 1);
}

} // namespace dragonflygap::request
