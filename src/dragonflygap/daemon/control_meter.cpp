#include "dragonflygap/daemon/control_meter.hpp"

#include <utility>

#include "dragonflygap/net/peer_link.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/observe/usage.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr duration publish_interval = 1s;

} // namespace

control_meter::control_meter(event_loop& loop, metrics& registry, const peer_link& link,
                             std::shared_ptr<const call_traffic> traffic)
    : m_metrics(registry),
      m_link(link),
      m_traffic(std::move(traffic)),
      m_timer(loop.every(publish_interval, [this] { publish(); }))
{
}

void control_meter::publish()
{
    const auto set = [this](const char* name, metric_label label, std::uint64_t value)
    { m_metrics.set(name, label, static_cast<double>(value)); };
    set("dragonflygap_peer_bytes", {"direction", "sent"}, m_link.bytes_sent());
    set("dragonflygap_peer_bytes", {"direction", "received"}, m_link.bytes_received());
    set("dragonflygap_control_call_bytes", {"direction", "sent"}, m_traffic->m_bytes_sent);
    set("dragonflygap_control_call_bytes", {"direction", "received"}, m_traffic->m_bytes_received);
    set("dragonflygap_control_calls", {}, m_traffic->m_calls);
    set("dragonflygap_resident_bytes", {}, resident_bytes());
    m_metrics.set("dragonflygap_control_cpu_seconds", {},
                  std::chrono::duration<double>(thread_cpu_time()).count());
}

} // namespace dragonflygap::daemon
