#pragma once

#include <string>

#include "cell/support/simulated_cell.hpp"

/// The second deployment of docs/design/hard-load.md: a third of its workers run the same work 2.4
/// times as fast as the others, and the callers' estimates are off by up to 90%.
namespace simulated
{

inline constexpr double fast_speed = 1.7;
inline constexpr double slow_speed = 0.7;
inline constexpr int fast_divisor = 3; // one worker of three

inline job_kind with_objective(job_kind kind, double stretch, std::int64_t slack_ms)
{
    kind.m_queue.m_stretch = stretch;
    kind.m_queue.m_slack_ms = slack_ms;
    return kind;
}

inline const job_kind wide =
    with_objective(kind_of("wide", 1, {507, 7.28, 2500}, 0.35,
                           {.m_count = 20,
                            .m_size = {.m_millicores = 18000, .m_memory_mb = 18000},
                            .m_expected_ms = 4200}),
                   2.2, 1000);
inline const job_kind wide_gang = []
{
    auto kind = wide;
    kind.m_step.m_gang = true;
    return kind;
}();
inline const job_kind batch =
    with_objective(kind_of("batch", 2, {182, 2.6, 2500}, 0.45,
                           {.m_count = 25,
                            .m_size = {.m_millicores = 6900, .m_memory_mb = 6900},
                            .m_expected_ms = 2900}),
                   4, 3000);
inline const job_kind urgent =
    with_objective(kind_of("urgent", 0, {18.2, 0.26, 2500}, 0.7,
                           {.m_count = 3,
                            .m_size = {.m_millicores = 9900, .m_memory_mb = 9900},
                            .m_expected_ms = 540}),
                   1.5, 250);

inline double unlike_speed(int worker)
{
    return worker % fast_divisor == 0 ? fast_speed : slow_speed;
}

/// Times and estimates are as wrong as the page says. The leader has a part of a core.
inline cell_options unlike_site(bool learns = true)
{
    cell_options options{.m_vms = 38,
                         .m_workers = 350,
                         .m_capacity = {.m_millicores = 64000, .m_memory_mb = 64000},
                         .m_network_delay = 5ms,
                         .m_store_wait = 20ms,
                         .m_costs = {.m_event = 50us,
                                     .m_action = 75us,
                                     .m_tick = 1000us,
                                     .m_step_per_tick = 5us},
                         .m_approval_lag = 20ms,
                         .m_speed = unlike_speed,
                         .m_work_deviation = 0.3,
                         .m_task_deviation = 0.1,
                         .m_min_estimate_error = 0.5,
                         .m_max_estimate_error = 0.9};
    options.m_leader.m_learns_run_times = learns;
    return options;
}

/// Submits the deployment's jobs, of which each has one step, at even intervals.
inline void submit_unlike_load(simulated_cell& cell, duration length)
{
    constexpr duration slice = 10ms;
    constexpr int slices_per_100s = 10000;
    const auto due = [](int slice_number, int per_100s)
    {
        return (slice_number + 1) * per_100s / slices_per_100s -
               slice_number * per_100s / slices_per_100s;
    };
    for (int i = 0; i * slice < length; ++i)
    {
        cell.submit(wide, due(i, 353)); // 4.2 jobs of 1.2 steps a second, 30% of them gangs
        cell.submit(wide_gang, due(i, 151));
        cell.submit(batch, due(i, 1035)); // 6.9 jobs of 1.5 steps
        cell.submit(urgent, due(i, 12100));
        cell.run(slice);
    }
}

} // namespace simulated
