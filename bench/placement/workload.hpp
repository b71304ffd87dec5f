#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "dragonflygap/placement/engine.hpp"

namespace dragonflygap::bench
{

/// Workers of 16 cores and 32 GB, 8 to a rack, in 4 data centres; every tenth has 4 accelerators.
std::vector<placement::placement_worker> make_workers(int count);

struct job_source_options
{
    std::uint64_t m_seed = 0;
    std::int64_t m_max_millicores = 8000; ///< Upper bound for one task.
    int m_accelerator_percent = 5;        ///< Share of jobs that need an accelerator.
};

/// Draws random jobs: services, batch jobs and gangs, some of which need accelerators.
class job_source
{
public:
    explicit job_source(job_source_options options) : m_random(options.m_seed), m_options(options)
    {
    }

    placement::job_spec next();
    std::mt19937_64& random() { return m_random; }

private:
    std::int64_t random_between(std::int64_t low, std::int64_t high);

    std::mt19937_64 m_random;
    job_source_options m_options;
    int m_last_job = 0;
};

/// The value at this quantile (0 to 1); sorts the values.
double quantile(std::vector<double>& values, double share);

} // namespace dragonflygap::bench
