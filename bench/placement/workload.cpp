#include "placement/workload.hpp"

#include <algorithm>
#include <string>

namespace dragonflygap::bench
{

namespace
{

constexpr int workers_per_rack = 8;
constexpr int data_centre_count = 4;
constexpr int accelerator_worker_interval = 10;
constexpr resources worker_size{.m_millicores = 16000, .m_memory_mb = 32768};

} // namespace

std::vector<placement::placement_worker> make_workers(int count)
{
    std::vector<placement::placement_worker> workers;
    for (int i = 0; i < count; ++i)
    {
        const auto rack = i / workers_per_rack;
        placement::placement_worker worker{
            .m_id = worker_id("w" + std::to_string(i)),
            .m_data_centre = data_centre_id("dc" + std::to_string(rack % data_centre_count)),
            .m_rack = rack_id("r" + std::to_string(rack)),
            .m_capacity = worker_size};
        if (i % accelerator_worker_interval == 0)
            worker.m_capacity.m_accelerators = 4;
        workers.push_back(worker);
    }
    return workers;
}

std::int64_t job_source::random_between(std::int64_t low, std::int64_t high)
{
    return std::uniform_int_distribution<std::int64_t>(low, high)(m_random);
}

placement::job_spec job_source::next()
{
    constexpr std::int64_t step = 250;
    placement::job_spec spec;
    spec.m_name = "job" + std::to_string(++m_last_job);
    spec.m_id = job_id(spec.m_name);
    spec.m_team = team_id("team" + std::to_string(random_between(0, 22)));
    // Squaring a uniform draw makes small sizes common and large ones rare.
    const auto draw = static_cast<double>(random_between(0, 1000)) / 1000.0;
    const std::int64_t steps = m_options.m_max_millicores / step;
    spec.m_size.m_millicores =
        step * (1 + static_cast<std::int64_t>(draw * draw * static_cast<double>(steps - 1)));
    // 1 to 3 MB per millicore; workers have 2.
    spec.m_size.m_memory_mb = spec.m_size.m_millicores * random_between(4, 12) / 4;
    const auto kind = random_between(0, 99);
    if (kind < 20)
    {
        spec.m_kind = placement::job_kind::service;
        spec.m_count = static_cast<int>(random_between(2, 6));
        spec.m_rules.m_spread = placement::spread_rule::rack;
    }
    else if (kind < 35)
    {
        spec.m_kind = placement::job_kind::gang;
        spec.m_count = static_cast<int>(random_between(2, 16));
    }
    else
        spec.m_count = static_cast<int>(random_between(1, 8));
    if (random_between(0, 99) < m_options.m_accelerator_percent)
        spec.m_size.m_accelerators = 1;
    return spec;
}

double quantile(std::vector<double>& values, double share)
{
    if (values.empty())
        return 0;
    std::ranges::sort(values);
    const auto last = static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(share * last)];
}

} // namespace dragonflygap::bench
