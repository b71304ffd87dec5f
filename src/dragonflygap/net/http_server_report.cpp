#include "dragonflygap/net/http_server_report.hpp"

#include <utility>

#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap
{

http_server_report::http_server_report(event_loop& loop, metrics& registry,
                                       const http_server& server, std::string name)
    : m_metrics(registry), m_server(server), m_name(std::move(name))
{
    // Bounds the lines of each limit however many clients reach it.
    constexpr duration interval = 2s;
    m_timer = loop.every(interval, [this] { report(); });
}

void http_server_report::report()
{
    const auto counts = m_server.counts();
    const auto previous = std::exchange(m_reported, counts);
    const metric_label label{"listener", m_name};
    m_metrics.set("dragonflygap_http_connections", label, static_cast<double>(counts.m_open));
    m_metrics.set("dragonflygap_http_buffered_bytes", label,
                  static_cast<double>(counts.m_buffered_bytes));
    if (const auto failed = counts.m_failed_accepts - previous.m_failed_accepts; failed > 0)
        m_metrics.count("dragonflygap_http_failed_accepts_total", label,
                        static_cast<double>(failed));
    for (std::size_t i = 0; i < http_limit_count; ++i)
    {
        const auto reached = counts.m_limits[i] - previous.m_limits[i];
        if (reached == 0)
            continue;
        const auto limit = to_string(static_cast<http_limit>(i));
        m_metrics.count("dragonflygap_http_" + std::string(limit) + "_total", label,
                        static_cast<double>(reached));
        log_periodic("http_limit_reached", {{"listener", m_name},
                                            {"limit", limit},
                                            {"clients", reached},
                                            {"open", counts.m_open},
                                            {"buffered_bytes", counts.m_buffered_bytes}});
    }
}

} // namespace dragonflygap
