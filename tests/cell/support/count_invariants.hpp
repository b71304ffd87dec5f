#pragma once

#include "dragonflygap/cell/coordinator.hpp"

#include <CppUTest/TestHarness.h>

namespace simulated
{

/// Checks what holds after every event: each approval call has ended or is open, and each ticket
/// has ended or is held.
inline void check_counts(const dragonflygap::cell::coordinator& leader)
{
    std::size_t held = 0;
    std::size_t awaited = 0;
    leader.for_each_job(
        [&](const auto& job)
        {
            for (const auto& [k, steps] : job.open_occurrences())
                for (const auto& step : steps)
                {
                    held += step.m_approval.held_count();
                    awaited += step.m_approval.m_calls.size();
                }
        });
    const auto& counts = leader.counts();
    CHECK_TRUE(adds_up(counts.m_calls, leader.open_approvals()));
    CHECK_TRUE(adds_up(counts.m_tickets, held));
    CHECK_COMPARE(awaited, <=, leader.open_approvals());
    CHECK_TRUE(leader.window_adds_up());
}

} // namespace simulated
