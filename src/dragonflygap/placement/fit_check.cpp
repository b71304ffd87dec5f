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

/// How often the size goes into the room.
std::int64_t times(const resources& size, const resources& room)
{
    auto least = std::numeric_limits<std::int64_t>::max();
    for (const auto& [name, amount] : dimensions)
        if (size.*amount > 0)
            least = std::min(least, room.*amount / (size.*amount));
    return std::max<std::int64_t>(least, 0);
}

std::string describe_misfit(const resources& size, std::span<const placement_worker> workers)
{
    for (const auto& [name, amount] : dimensions)
    {
        std::int64_t most = 0;
        for (const auto& worker : workers)
            most = std::max(most, worker.m_capacity.*amount);
        if (size.*amount > most)
            return "size." + std::string(name) + " is " + std::to_string(size.*amount) +
                   ", the largest worker has " + std::to_string(most);
    }
    return "no single worker has the millicores, memory_mb and accelerators of size together";
}

std::optional<std::string> exceeds_quota(const job_spec& spec, const resources& quota)
{
    // Batch tasks may run one after the other, the others all run at once.
    const std::int64_t together = spec.m_kind == job_kind::batch ? 1 : spec.m_count;
    for (const auto& [name, amount] : dimensions)
        if (spec.m_size.*amount > quota.*amount / together)
            return "team " + spec.m_team.m_value + " has a quota of " +
                   std::to_string(quota.*amount) + " " + name + ", " + std::to_string(together) +
                   " task(s) at once need " + std::to_string(spec.m_size.*amount) + " each";
    return std::nullopt;
}

} // namespace

std::optional<std::string> why_never_fits(const job_spec& spec,
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
    std::int64_t room = 0;
    for (const auto& worker : allowed)
        room += times(spec.m_size, worker.m_capacity);
    if (room == 0)
        return describe_misfit(spec.m_size, allowed);
    if (spec.m_kind == job_kind::gang && room < spec.m_count)
        return "the gang's " + std::to_string(spec.m_count) +
               " tasks run at once, the workers that its rules allow hold " + std::to_string(room);
    return std::nullopt;
}

} // namespace dragonflygap::placement
