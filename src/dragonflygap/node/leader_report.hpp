#pragma once

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::node
{

/// Tells once a second what a leader's steps wait for, and whether the leader is late itself.
class leader_report
{
public:
    explicit leader_report(duration tick) : m_tick(tick) {}

    /// Takes note of a tick that has just been handled; logs what is due.
    void ticked(const cell::coordinator& state, instant began, instant ended);

private:
    void log_pass(const cell::coordinator& state, const cell::pass_summary& pass);

    duration m_tick; ///< Usual time between two.
    instant m_last_began{};
    instant m_last_line{};
    // Since the last line.
    cell::leader_counts m_told;
    int m_ticks = 0;
    duration m_longest{};
    duration m_latest{};
};

} // namespace dragonflygap::node
