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

/// Publishes every second what control costs this entry VM: bytes, calls, processor time, memory.
class control_meter
{
public:
    /// Runs within the loop of the control task, whose processor time is measured.
    control_meter(event_loop& loop, metrics& counted, const peer_link& link,
                  std::shared_ptr<const call_traffic> traffic);

private:
    void measure();

    metrics& m_metrics;
    const peer_link& m_link;
    std::shared_ptr<const call_traffic> m_traffic;
    event_loop::timer_ptr m_timer;
};

} // namespace daemon

} // namespace dragonflygap
