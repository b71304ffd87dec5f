#pragma once

#include <functional>
#include <string>
#include <vector>

#include "dragonflygap/request/scheduler.hpp"
#include "workload.hpp"

namespace dragonflygap::bench
{

/// One entry VM's scheduler, ours or a baseline.
struct node
{
    using handle_hook = std::function<std::vector<request::scheduler_action>(
        const request::scheduler_event& event, instant now)>;

    handle_hook m_handle;
    std::function<cluster::load_digest(instant now)> m_load; ///< Null without peers.
    data_centre_id m_data_centre;
};

/// What became of one arrival.
struct fate
{
    duration m_wait{};   ///< Until its only attempt started; -1 us if it never did.
    duration m_end_at{}; ///< Since it arrived; where it was answered.
    bool m_on_time = false;
    int m_starts = 0;
    int m_finals = 0;
    int m_forwards = 0;
};

struct replay_result
{
    std::vector<fate> m_fates; ///< In the order of the arrivals.
    std::size_t m_events = 0;
    double m_wall_seconds = 0; ///< Spent in the schedulers.
    std::size_t m_most_open = 0;

    /// Requests without exactly one end, and requests started twice.
    std::size_t lost() const;
    std::size_t doubled() const;
};

/// Plays arrivals against schedulers on a virtual clock: slots run what they are given for its run
/// time, callers stop waiting at the deadline, heartbeats carry the load of each node to the
/// others.
replay_result replay(const std::vector<arrival>& arrivals, std::vector<node>& nodes);

} // namespace dragonflygap::bench
