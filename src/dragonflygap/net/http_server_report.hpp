#pragma once

#include <string>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_server.hpp"

namespace dragonflygap
{

class metrics;

/// Reports what the clients of one HTTP server use as metrics, and reached limits as log lines too.
class http_server_report
{
public:
    /// The name labels the server's metrics. Loop, registry and server must outlive the report.
    http_server_report(event_loop& loop, metrics& registry, const http_server& server,
                       std::string name);

private:
    void report();

    metrics& m_metrics;
    const http_server& m_server;
    std::string m_name;
    http_server_counts m_reported;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap
