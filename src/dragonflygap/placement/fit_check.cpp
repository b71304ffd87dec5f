#include "dragonflygap/placement/fit_check.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <vector>

namespace dragonflygap::placement
{

namespace
{

struct dimension
{
    const char* m_name;
    std::int64_t resources::*m_amount;
};

constexpr dimension dimensions[] = {{"millicores", &resources::m_millicores},
                                    {"memory_mb", &resources::m_memory_mb},
                                    {"accelerators", &resources::m_accelerators}};

/// Returns how many tasks of the size fit into the capacity.
std::int64_t count_fitting(const resources& size, const resources& capacity)
{
    auto fewest = std::numeric_limits<std::int64_t>::max();
    for (const auto& [name, amount] : dimensions)
        if (size.*amount > 0)
            fewest = std::min(fewest, capacity.*amount / (size.*amount));
    return std::max<std::int64_t>(fewest, 0);
}

std::string describe_misfit(const resources& size, std::span<const placement_worker> workers)
{
    for (const auto& [name, amount] : dimensions)
    {
        std::int64_t largest = 0;
        for (const auto& worker : workers)
            largest = std::max(largest, worker.m_capacity.*amount);
        if (size.*amount > largest)
            return "size." + std::string(name) + " is " + std::to_string(size.*amount) +
                   ", the largest worker has " + std::to_string(largest);
    }
    return "no single worker has the millicores, memory_mb and accelerators of size together";
}

std::optional<std::string> exceeds_quota(const job_spec& spec, const resources& quota)
{
    // Batch tasks may run one after another; tasks of other kinds all run at the same time.
    const std::int64_t concurrent = spec.m_kind == job_kind::batch ? 1 : spec.m_count;
    for (const auto& [name, amount] : dimensions)
        if (spec.m_size.*amount > quota.*amount / concurrent)
            return "team " + spec.m_team.m_value + " has a quota of " +
                   std::to_string(quota.*amount) + " " + name + ", " + std::to_string(concurrent) +
                   " concurrent task(s) need " + std::to_string(spec.m_size.*amount) + " each";
    return std::nullopt;
}

} // namespace

std::optional<std::string> never_fits_reason(const job_spec& spec,
                                             std::span<const placement_worker> cell,
                                             const std::optional<resources>& quota)
{
    const auto& rules = spec.m_rules;
    if (!rules.m_apart_from.empty() && rules.m_apart_from == rules.m_near)
        return "rules.near and rules.apart_from name the same job, " + rules.m_near;
    if (quota)
        if (auto why = exceeds_quota(spec, *quota))
            return why;
    std::vector<placement_worker> allowed;
    std::ranges::copy_if(cell, std::back_inserter(allowed),
                         [&](const placement_worker& worker) {
                             return rules.m_data_centre.empty() ||
                                    rules.m_data_centre == worker.m_data_centre;
                         });
    if (allowed.empty())
        return rules.m_data_centre.empty()
                   ? "the cell has no workers"
                   : "rules.data_centre: no worker is in " + rules.m_data_centre.m_value;
    std::int64_t capacity = 0;
    for (const auto& worker : allowed)
        capacity += count_fitting(spec.m_size, worker.m_capacity);
    if (capacity == 0)
        return describe_misfit(spec.m_size, allowed);
    if (spec.m_kind == job_kind::gang && capacity < spec.m_count)
        return "the gang's " + std::to_string(spec.m_count) +
               " tasks run at the same time, but the workers that its rules allow have capacity "
               "for " +
               std::to_string(capacity);
    return std::nullopt;
}

} // namespace dragonflygap::placement
