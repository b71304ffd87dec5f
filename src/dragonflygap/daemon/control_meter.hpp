#pragma once

#include <memory>

#include "dragonflygap/net/counted_transport.hpp"
#include "dragonflygap/net/event_loop.hpp"

namespace dragonflygap
{

class metrics;
class peer_link;

namespace daemon
{

/// Publishes the resource usage of the control plane every second: bytes, calls, CPU, memory.
class control_meter
{
public:
    /// The loop must be that of the control task, since the CPU time of its thread is published.
    control_meter(event_loop& loop, metrics& registry, const peer_link& link,
                  std::shared_ptr<const call_traffic> traffic);

private:
    void publish();

    metrics& m_metrics;
    const peer_link& m_link;
    std::shared_ptr<const call_traffic> m_traffic;
    event_loop::timer_ptr m_timer;
};

} // namespace daemon

} // namespace dragonflygap
