#include "dragonflygap/cell/queue_times.hpp"

#include <algorithm>
#include <cmath>

namespace dragonflygap::cell
{

namespace
{

// The past counts with 200 steps: enough to tell the slope with estimates that are off by a factor
// of two, and a few tens of seconds at ten steps a second.
constexpr double decay_per_step = 1.0 / 200;
// Before any run, an estimate counts as right with this many steps.
constexpr double prior_steps = 4;
// Before any run, times are taken to be off by a factor of two, either way, in two thirds of all
// steps.
constexpr double prior_deviation = 0.57; // mean of the absolute values
constexpr double sd_per_deviation = 1.25; // standard deviation, for values as in a bell curve
constexpr double max_deviation = 3;       // a factor of 20
// Strength of the assumption that times are proportional to estimates: the variance of estimates,
// times the steps, that outweighs it.
constexpr double prior_slope_strength = 4;
// Estimates further from their mean, in standard deviations, are outside of what runs have shown.
// Beyond this the time is proportional to the estimate.
constexpr double slope_reach = 2;
// A deviation counts as no more than this many standard deviations, so that a few runs that hang or
// end at once hardly move the mean. If many are as far off, the deviation itself grows.
constexpr double outlier_limit = 2.5;
constexpr double min_variance = 0.0025; // 5%: nothing repeats more exactly
// Before any run, tasks of one step are taken to differ by 30% or less in two thirds of all cases.
constexpr double prior_task_variance = 0.09;
// Callers name the images, so they could be any number.
constexpr std::size_t max_images = 64;

} // namespace

double queue_times::expected_of_queue(double estimate) const
{
    if (m_weight <= 0)
        return estimate;
    const double mean_x = m_sum_x / m_weight;
    const double mean_z = m_sum_z / m_weight;
    const double variance_x = std::max(0.0, m_sum_xx / m_weight - mean_x * mean_x);
    const double covariance = m_sum_xz / m_weight - mean_x * mean_z;
    // From -1, where estimates say nothing, to 0, where times are proportional to them.
    const double slope = std::clamp(
        m_weight * covariance / (m_weight * variance_x + prior_slope_strength), -1.0, 0.0);
    const double reach = slope_reach * std::sqrt(variance_x);
    return estimate + mean_z * m_weight / (m_weight + prior_steps) +
           slope * std::clamp(estimate - mean_x, -reach, reach);
}

double queue_times::expected(double estimate, std::size_t image) const
{
    const double of_queue = expected_of_queue(estimate);
    const auto found = image == 0 ? m_images.end() : m_images.find(image);
    if (found == m_images.end())
        return of_queue;
    return of_queue + found->second.m_offset_sum / (found->second.m_weight + prior_steps);
}

double queue_times::task_variance() const
{
    const double mean = (prior_steps * prior_task_variance + m_sum_task_variance) /
                        (prior_steps + m_task_weight);
    return std::max(min_variance, mean);
}

double queue_times::step_variance() const
{
    const double mean =
        (prior_steps * prior_deviation + m_sum_deviation) / (prior_steps + m_weight);
    const double sd = sd_per_deviation * mean;
    return std::max(min_variance, sd * sd - task_variance());
}

double queue_times::mean_ratio() const
{
    return m_weight <= 0 ? 1 : std::exp(m_sum_z / (m_weight + prior_steps));
}

void queue_times::add(double estimate, std::size_t image, double time, double weight)
{
    const double before = expected(estimate, image);
    const double limit = outlier_limit * std::sqrt(step_variance() + task_variance());
    const double deviation = std::clamp(time - before, -limit, limit);
    if (image != 0)
        add_to_image(image, before + deviation - expected_of_queue(estimate), weight);
    const double x = estimate;
    const double z = before + deviation - estimate;
    const double kept = 1 - decay_per_step * weight;
    const auto update = [kept, weight](double& sum, double value)
    { sum = kept * sum + weight * value; };
    update(m_weight, 1);
    update(m_sum_x, x);
    update(m_sum_z, z);
    update(m_sum_xx, x * x);
    update(m_sum_xz, x * z);
    update(m_sum_deviation, std::min(max_deviation, std::abs(time - before)));
}

void queue_times::add_task_variance(double variance, double weight)
{
    const double kept = 1 - decay_per_step * weight;
    m_task_weight = kept * m_task_weight + weight;
    m_sum_task_variance = kept * m_sum_task_variance + weight * variance;
}

// The image that was unused for longest makes room for a new one.
void queue_times::add_to_image(std::size_t image, double offset, double weight)
{
    if (m_images.size() >= max_images && m_images.count(image) == 0)
        m_images.erase(std::min_element(m_images.begin(), m_images.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.m_last_used <
                                                   right.second.m_last_used;
                                        }));
    auto& times = m_images[image];
    const double kept = 1 - decay_per_step * weight;
    times.m_weight = kept * times.m_weight + weight;
    times.m_offset_sum = kept * times.m_offset_sum + weight * offset;
    times.m_last_used = ++m_uses;
}

} // namespace dragonflygap::cell
