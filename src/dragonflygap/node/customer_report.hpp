#pragma once

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

/// Adds a leader's counts of jobs by customer to the metrics, and logs them once a second.
class customer_report
{
public:
    explicit customer_report(metrics& registry) : m_metrics(registry) {}

    /// To be called with each tick; does something when a second has passed.
    void record(cell::coordinator& state, instant now);

private:
    metrics& m_metrics;
    instant m_last_at{};
};

} // namespace node

} // namespace dragonflygap
