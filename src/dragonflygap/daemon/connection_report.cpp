#include "dragonflygap/daemon/connection_report.hpp"

#include <utility>

#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::daemon
{

connection_report::connection_report(event_loop& loop, metrics& registry, const http_client& client,
                                     std::string name)
    : m_metrics(registry), m_client(client), m_name(std::move(name))
{
    constexpr duration interval = 2s;
    m_timer = loop.every(interval, [this] { report(); });
}

void connection_report::count(const std::string& metric, std::uint64_t increase)
{
    if (increase > 0)
        m_metrics.count(metric, {"client", m_name}, static_cast<double>(increase));
}

void connection_report::report()
{
    const auto counts = m_client.counts();
    const auto previous = std::exchange(m_reported, counts);
    const auto opened = counts.m_opened - previous.m_opened;
    const auto failed = counts.m_failed - previous.m_failed;
    const auto closed_idle = counts.m_closed_idle - previous.m_closed_idle;
    const auto queued = counts.m_calls_queued - previous.m_calls_queued;
    m_metrics.set("dragonflygap_connections", {"client", m_name},
                  static_cast<double>(counts.m_open));
    m_metrics.set("dragonflygap_connections_endpoint_max", {"client", m_name},
                  static_cast<double>(counts.m_max_per_endpoint));
    count("dragonflygap_connections_opened_total", opened);
    count("dragonflygap_connections_failed_total", failed);
    count("dragonflygap_connections_closed_idle_total", closed_idle);
    count("dragonflygap_calls_queued_total", queued);
    if (counts.m_open == 0 && previous.m_open == 0 && opened == 0)
        return;
    log_periodic("connections", {{"client", m_name},
                                 {"open", counts.m_open},
                                 {"idle", counts.m_idle},
                                 {"endpoints", counts.m_endpoints},
                                 {"endpoint_max", counts.m_max_per_endpoint},
                                 {"opened", opened},
                                 {"failed", failed},
                                 {"closed_idle", closed_idle},
                                 {"calls_queued", queued}});
}

} // namespace dragonflygap::daemon
