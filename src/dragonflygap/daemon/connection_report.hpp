#pragma once

#include <string>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"

namespace dragonflygap
{

class metrics;

namespace daemon
{

/// Reports the connections of one HTTP client as metrics and, where some are open, as log lines.
class connection_report
{
public:
    /// The name labels the client's metrics. Loop, registry and client must outlive the report.
    connection_report(event_loop& loop, metrics& registry, const http_client& client,
                      std::string name);

private:
    void report();
    void count(const std::string& metric, std::uint64_t increase);

    metrics& m_metrics;
    const http_client& m_client;
    std::string m_name;
    http_client_counts m_reported;
    event_loop::timer_ptr m_timer;
};

} // namespace daemon

} // namespace dragonflygap
