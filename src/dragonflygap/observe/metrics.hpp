#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// One label of a metric, for example class="tablet".
struct metric_label
{
    std::string_view m_name;
    std::string_view m_value;
};

/// All metrics of a process; every call is safe from any task.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Adds to a counter that is made at its first use.
    void count(const std::string& name, metric_label label, double by = 1);

    /// Sets a gauge that is made at its first use.
    void set(const std::string& name, metric_label label, double value);

    /// Adds a length of time, kept in seconds, to a histogram that is made at its first use.
    void observe(const std::string& name, metric_label label, duration value);

    /// All metrics in the text format of Prometheus.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
