#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace dragonflygap::cell
{

/// Learns how the run times of one queue follow the callers' estimates, from finished runs. Counts
/// in natural logarithms of ms, where a run of ten times the usual length weighs as much as one of a
/// tenth. Answers the load of callers whose estimates are off by a factor of several, differently
/// for each job. Does no I/O.
///
/// Without runs the expected time is the estimate. Runs shift it by their mean deviation, and as far
/// as estimates turn out to say little, long and short ones are drawn together.
class queue_times
{
public:
    /// Expected time on a worker of average speed. image: hash of the step's image; 0: none.
    double expected(double estimate, std::size_t image) const;

    /// Variance of the steps' times around the expected ones.
    double step_variance() const;

    /// Variance of the times of one step's tasks on workers of one speed.
    double task_variance() const;

    /// Adds a run, with its time as it would have been on a worker of average speed. The weights of
    /// a step's runs add up to one, so that wide steps count no more than narrow ones.
    void add(double estimate, std::size_t image, double time, double weight);

    /// Adds the squared difference of a run's time from that of other runs of the step, less what
    /// else explains it.
    void add_task_variance(double variance, double weight);

    /// Steps that count, the latest ones most.
    double steps() const { return m_weight; }
    /// Mean ratio of run time to estimate; 1 without runs.
    double mean_ratio() const;

private:
    struct image_times
    {
        double m_weight = 0;
        double m_offset_sum = 0; ///< Of deviations from what is expected of the queue.
        std::uint64_t m_last_used = 0;
    };

    double expected_of_queue(double estimate) const;
    void add_to_image(std::size_t image, double offset, double weight);

    // Sums over runs of the estimate x and of z, the time less the estimate.
    double m_weight = 0;
    double m_sum_x = 0;
    double m_sum_z = 0;
    double m_sum_xx = 0;
    double m_sum_xz = 0;
    double m_sum_deviation = 0; ///< Absolute, from the expected time.
    double m_task_weight = 0;
    double m_sum_task_variance = 0;
    std::map<std::size_t, image_times> m_images;
    std::uint64_t m_uses = 0;
};

} // namespace dragonflygap::cell
