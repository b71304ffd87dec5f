#pragma once

#include <cstddef>
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

/// Metrics registry of a process; thread-safe.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Increments a counter, which is created on first use.
    void count(const std::string& name, metric_label label, double amount = 1);
    /// The same for a counter with two labels.
    void count(const std::string& name, metric_label first, metric_label second, double amount);

    /// A value to use for a label in place of the given one: the same for the first max_values
    /// different ones of this process, then "other". Bounds the number of time series.
    std::string limit_values(const std::string& label, const std::string& value,
                             std::size_t max_values);

    /// Sets a gauge, which is created on first use.
    void set(const std::string& name, metric_label label, double value);

    /// Adds a duration in seconds to a histogram, which is created on first use.
    void observe(const std::string& name, metric_label label, duration value);

    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace dragonflygap
