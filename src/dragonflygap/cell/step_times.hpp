#pragma once

#include <cstdint>
#include <vector>

namespace dragonflygap::cell
{

/// What the finished runs of one step tell about its time. Ends with the step.
struct step_times
{
    /// A run whose worker hasn't learned from it yet.
    struct sample
    {
        std::uint32_t m_worker = 0;
        std::uint32_t m_life = 0;   ///< Of the worker.
        double m_log_ratio = 0;     ///< Of the run's time to the one expected of the step.
    };

    bool m_known = false; ///< Some run has ended.
    // Log of the ratio of the step's true time to the expected one: all its tasks share the error of
    // one estimate.
    double m_effect = 0;
    double m_variance = 0;
    // The same without the samples.
    double m_prior_effect = 0;
    double m_prior_variance = 0;
    std::vector<sample> m_samples;
};

} // namespace dragonflygap::cell
