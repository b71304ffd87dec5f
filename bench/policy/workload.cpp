#include "workload.hpp"

#include <algorithm>
#include <cmath>
#include <random>

namespace dragonflygap::bench
{

namespace
{

arrival draw_arrival(const stream& from, instant at, std::mt19937_64& random)
{
    std::uniform_real_distribution<double> fraction(0, 1);
    std::normal_distribution<double> log_factor(0, from.m_run_time_sigma);
    double factor = std::exp(log_factor(random));
    if (fraction(random) < from.m_straggler_share)
        factor *= from.m_straggler_factor;
    const bool is_flooding = fraction(random) < from.m_flood_share;
    const int caller =
        is_flooding ? 0 : std::uniform_int_distribution<int>(0, from.m_caller_count - 1)(random);
    const auto run_us = factor * static_cast<double>(from.m_run_time.count());
    return {.m_at = at,
            .m_class = class_id(from.m_class),
            .m_caller = caller_id("caller-" + std::to_string(caller)),
            .m_run_time = duration(static_cast<long long>(run_us) + 1),
            .m_deadline = from.m_deadline,
            .m_node = from.m_node};
}

} // namespace

std::vector<arrival> make_arrivals(const std::vector<stream>& streams, std::uint64_t seed)
{
    std::vector<arrival> result;
    for (std::size_t i = 0; i < streams.size(); ++i)
    {
        std::mt19937_64 random(seed * 1000 + i);
        std::exponential_distribution<double> gap(streams[i].m_groups_per_second);
        instant at = instant(1000s) + streams[i].m_from;
        const instant until = instant(1000s) + streams[i].m_until;
        while (true)
        {
            at += duration(static_cast<long long>(gap(random) * 1e6));
            if (at >= until)
                break;
            for (int n = 0; n < streams[i].m_group_size; ++n)
                result.push_back(draw_arrival(streams[i], at, random));
        }
    }
    std::ranges::stable_sort(result, {}, &arrival::m_at);
    return result;
}

std::vector<arrival> without_class(const std::vector<arrival>& arrivals, const std::string& name)
{
    auto result = arrivals;
    std::erase_if(result, [&](const arrival& item) { return item.m_class.m_value == name; });
    return result;
}

} // namespace dragonflygap::bench
