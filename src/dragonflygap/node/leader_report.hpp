#pragma once

#include "dragonflygap/cell/change_watch.hpp"
#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/node/customer_report.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

/// Measures a leader's ticks, and logs once a second what its steps wait for.
class leader_report
{
public:
    leader_report(metrics& registry, duration tick_interval)
        : m_metrics(registry), m_customers(registry), m_tick_interval(tick_interval)
    {
    }

    /// Records a tick that has just been handled, and updates the metrics and the log when due.
    void record_tick(const cell::coordinator& state, instant started_at, instant ended_at);

    /// Updates the metrics and the log about the list of workers when due. newest_version is the
    /// store's newest version that the leader knows from elsewhere.
    void record_worker_list(const cell::change_watch& list, std::uint64_t newest_version,
                            instant now);

private:
    void count_events(const cell::leader_counts& counts);
    void log_pass(const cell::coordinator& state, const cell::pass_summary& pass);

    metrics& m_metrics;
    customer_report m_customers;
    duration m_tick_interval;
    instant m_last_tick_at{};
    instant m_last_log_at{};
    cell::leader_counts m_last_counted; ///< As last added to the metrics.
    cell::leader_counts m_last_logged;  ///< As in the last pass_summary.
    // Since the last pass_summary.
    int m_ticks = 0;
    duration m_max_tick_time{};
    duration m_max_tick_delay{};
    // As in the last worker_list.
    instant m_last_list_at{};
    cell::change_watch_counts m_last_list_counts;
};

} // namespace node

} // namespace dragonflygap
