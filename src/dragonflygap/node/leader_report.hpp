#pragma once

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

/// Measures a leader's ticks, and tells once a second what its steps wait for.
class leader_report
{
public:
    leader_report(metrics& counted, duration tick) : m_counted(counted), m_tick(tick) {}

    /// Takes note of a tick that has just been handled; logs and counts what is due.
    void ticked(const cell::coordinator& state, instant began, instant ended);

private:
    void count_tickets(const cell::leader_counts& counts);
    void log_pass(const cell::coordinator& state, const cell::pass_summary& pass);

    metrics& m_counted;
    duration m_tick; ///< Usual time between two.
    instant m_last_began{};
    instant m_last_line{};
    cell::leader_counts m_measured; ///< Already in the metrics.
    // Since the last line.
    cell::leader_counts m_told;
    int m_ticks = 0;
    duration m_longest{};
    duration m_latest{};
};

} // namespace node

} // namespace dragonflygap
