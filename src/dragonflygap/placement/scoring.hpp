#pragma once

#include <cstdint>

#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/placement/job.hpp"

namespace dragonflygap::placement
{

/// The cost of placing a task on a worker; lower is better.
struct placement_cost
{
    std::int64_t m_spread_penalty =
        0;                      ///< For tasks of the same job nearby, and for missed preferences.
    double m_packing_waste = 0; ///< Leftover capacity, more if unbalanced.

    bool operator<(const placement_cost& other) const
    {
        return m_spread_penalty != other.m_spread_penalty
                   ? m_spread_penalty < other.m_spread_penalty
                   : m_packing_waste < other.m_packing_waste;
    }
};

/// Reciprocal of the capacity in each dimension; 0 where there is none.
struct inverse_capacity
{
    double m_millicores = 0;
    double m_memory = 0;
    bool m_has_accelerators = false;
};

inverse_capacity invert(const resources& capacity);

/// Returns the waste if a task is placed on a worker with the given free capacity.
double packing_waste(const resources& size, const resources& free, const inverse_capacity& worker);

/// Number of a job's tasks on a worker, in its rack and in its data centre.
struct domain_counts
{
    std::int32_t m_in_worker = 0;
    std::int32_t m_in_rack = 0;
    std::int32_t m_in_data_centre = 0;
};

/// Combines the counts by the job's rule; the widest failure domain of the rule takes precedence.
std::int64_t spread_penalty(spread_rule rule, const domain_counts& counts);

/// Returns the rule that applies to a job: services are spread over workers by default.
spread_rule effective_spread(const job_spec& spec);

} // namespace dragonflygap::placement
