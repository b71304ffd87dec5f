#pragma once

#include <cstdint>

#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/placement/job.hpp"

namespace dragonflygap::placement
{

/// How well a worker suits a task; the least is the best.
struct suitability
{
    std::int64_t m_crowding = 0; ///< Tasks of the same job nearby, and missed wishes.
    double m_waste = 0;          ///< Room left over in awkward shapes.

    bool operator<(const suitability& other) const
    {
        return m_crowding != other.m_crowding ? m_crowding < other.m_crowding
                                              : m_waste < other.m_waste;
    }
};

/// One over the capacity in each dimension; 0 where there is none.
struct inverse_capacity
{
    double m_millicores = 0;
    double m_memory = 0;
    bool m_has_accelerators = false;
};

inverse_capacity invert(const resources& capacity);

/// What a task would waste of a worker with the given room.
double packing_waste(const resources& size, const resources& free, const inverse_capacity& worker);

/// Tasks of a job in a worker and in what is around it.
struct neighbours
{
    std::int32_t m_in_worker = 0;
    std::int32_t m_in_rack = 0;
    std::int32_t m_in_data_centre = 0;
};

/// Weighs the neighbours by the job's rule; the widest domain of the rule counts first.
std::int64_t crowding(spread_rule rule, const neighbours& around);

/// The rule in force for a job: services are kept apart by worker even if they don't ask for it.
spread_rule effective_spread(const job_spec& spec);

} // namespace dragonflygap::placement
