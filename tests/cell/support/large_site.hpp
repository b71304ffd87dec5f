#pragma once

#include "cell/support/simulated_cell.hpp"

/// The load of the large site.
namespace simulated
{

inline const job_kind plans = kind_of("plans", 1, {507, 7.28, 2500}, 0.35,
                                      {.m_count = 40,
                                       .m_size = {.m_millicores = 4500, .m_memory_mb = 6300},
                                       .m_expected_ms = 3400,
                                       .m_gang = true});
inline const job_kind matches = kind_of(
    "matches", 2, {182, 2.6, 2500}, 0.45,
    {.m_count = 40, .m_size = {.m_millicores = 2700, .m_memory_mb = 3200}, .m_expected_ms = 2300});
inline const job_kind lookups = kind_of(
    "lookups", 0, {18.2, 0.26, 2500}, 0.7,
    {.m_count = 4, .m_size = {.m_millicores = 3900, .m_memory_mb = 3600}, .m_expected_ms = 850});

/// Jobs a second, or jobs.
struct job_mix
{
    int m_plans = 0;
    int m_matches = 0;
    int m_lookups = 0;
};

/// Submits jobs at even intervals.
inline void submit_load(simulated_cell& cell, duration length, const job_mix& per_second)
{
    constexpr duration slice = 10ms;
    constexpr int slices_per_s = 100;
    for (int slices = 0; slices * slice < length; ++slices)
    {
        const auto due = [slices](int per_s)
        { return (slices + 1) * per_s / slices_per_s - slices * per_s / slices_per_s; };
        cell.submit(plans, due(per_second.m_plans));
        cell.submit(matches, due(per_second.m_matches));
        cell.submit(lookups, due(per_second.m_lookups));
        cell.run(slice);
    }
}

} // namespace simulated
