#include "dragonflygap/placement/scoring.hpp"

#include <cmath>

namespace dragonflygap::placement
{

namespace
{

// Tasks that need no accelerator go to accelerator workers only as a last resort.
constexpr double accelerator_penalty = 16.0;
// Free processors without memory, or the reverse, are of no use to later tasks.
constexpr double imbalance_weight = 8.0;
// More than the maximum number of tasks of a job.
constexpr std::int64_t domain_weight = 1 << 14;

} // namespace

inverse_capacity invert(const resources& capacity)
{
    const auto one_over = [](std::int64_t amount)
    { return amount > 0 ? 1.0 / static_cast<double>(amount) : 0.0; };
    return {.m_millicores = one_over(capacity.m_millicores),
            .m_memory = one_over(capacity.m_memory_mb),
            .m_has_accelerators = capacity.m_accelerators > 0};
}

double packing_waste(const resources& size, const resources& free, const inverse_capacity& worker)
{
    const auto processors =
        static_cast<double>(free.m_millicores - size.m_millicores) * worker.m_millicores;
    const auto memory = static_cast<double>(free.m_memory_mb - size.m_memory_mb) * worker.m_memory;
    const auto misplaced = worker.m_has_accelerators && size.m_accelerators == 0;
    return processors + memory + imbalance_weight * std::abs(processors - memory) +
           (misplaced ? accelerator_penalty : 0.0);
}

std::int64_t spread_penalty(spread_rule rule, const domain_counts& counts)
{
    std::int64_t sum = 0;
    if (rule == spread_rule::data_centre)
        sum = counts.m_in_data_centre;
    if (rule == spread_rule::data_centre || rule == spread_rule::rack)
        sum = sum * domain_weight + counts.m_in_rack;
    if (rule != spread_rule::none)
        sum = sum * domain_weight + counts.m_in_worker;
    return sum;
}

spread_rule effective_spread(const job_spec& spec)
{
    if (spec.m_kind == job_kind::service && spec.m_rules.m_spread == spread_rule::none)
        return spread_rule::worker;
    return spec.m_rules.m_spread;
}

} // namespace dragonflygap::placement
