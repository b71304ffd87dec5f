#pragma once

#include <functional>
#include <string>
#include <vector>

#include "dragonflygap/request/scheduler.hpp"
#include "workload.hpp"

namespace dragonflygap::bench
{

/// Scheduler of one entry VM: dragonflygap's or a baseline.
struct node
{
    using event_handler = std::function<std::vector<request::scheduler_action>(
        const request::scheduler_event& event, instant now)>;

    event_handler m_handle;
    std::function<cluster::load_digest(instant now)>
        m_load; ///< Null for baselines, which have no peers.
    data_centre_id m_data_centre;
};

/// Result of one arrival.
struct request_result
{
    duration m_wait{};    ///< From arrival until its only attempt started; -1 us if none did.
    duration m_latency{}; ///< From arrival until its answer at the entry VM that received it.
    bool m_on_time = false;
    int m_start_count = 0;
    int m_end_count = 0;
    int m_forward_count = 0;
};

struct replay_result
{
    std::vector<request_result> m_request_results; ///< In the order of the arrivals.
    std::size_t m_events = 0;
    double m_wall_seconds = 0; ///< Time spent in the schedulers.
    std::size_t m_max_open = 0;

    /// Counts the requests that did not end exactly once (lost) or started twice (duplicated).
    std::size_t lost() const;
    std::size_t duplicated() const;
};

/// Replays arrivals against schedulers on a virtual clock: a dispatched request holds a slot for
/// its run time, callers time out at the deadline, and heartbeats report each node's load to the
/// others.
replay_result replay(const std::vector<arrival>& arrivals, std::vector<node>& nodes);

} // namespace dragonflygap::bench
