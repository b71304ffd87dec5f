#include "dragonflygap/observe/metrics.hpp"

#include <map>
#include <mutex>
#include <set>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace dragonflygap
{

namespace
{

// Bucket limits in seconds, from below the target for added latency to the longest plans.
const prometheus::Histogram::BucketBoundaries seconds_buckets{
    0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30, 60, 300};

struct metric_key
{
    std::string m_name;
    std::string m_label;
    std::string m_value;
    std::string m_second_label; ///< Empty: none.
    std::string m_second_value;

    auto operator<=>(const metric_key&) const = default;
};

metric_key key_of(const std::string& name, const metric_label& label,
                  const metric_label& second = {})
{
    return {name, std::string(label.m_name), std::string(label.m_value),
            std::string(second.m_name), std::string(second.m_value)};
}

prometheus::Labels labels_of(const metric_key& key)
{
    prometheus::Labels labels;
    if (!key.m_label.empty())
        labels.emplace(key.m_label, key.m_value);
    if (!key.m_second_label.empty())
        labels.emplace(key.m_second_label, key.m_second_value);
    return labels;
}

} // namespace

struct metrics::state
{
    prometheus::Registry m_registry;
    std::mutex m_mutex;
    std::map<metric_key, prometheus::Counter*> m_counters;
    std::map<metric_key, prometheus::Gauge*> m_gauges;
    std::map<metric_key, prometheus::Histogram*> m_histograms;
    std::map<std::string, std::set<std::string>> m_label_values; ///< Of limited labels.
};

metrics::metrics() : m_state(std::make_unique<state>()) {}

metrics::~metrics() = default;

void metrics::count(const std::string& name, metric_label label, double amount)
{
    count(name, label, metric_label{}, amount);
}

void metrics::count(const std::string& name, metric_label first, metric_label second, double amount)
{
    const std::scoped_lock lock(m_state->m_mutex);
    const auto key = key_of(name, first, second);
    auto& counter = m_state->m_counters[key];
    if (counter == nullptr)
    {
        auto& family = prometheus::BuildCounter().Name(name).Register(m_state->m_registry);
        counter = &family.Add(labels_of(key));
    }
    counter->Increment(amount);
}

std::string metrics::limit_values(const std::string& label, const std::string& value,
                                  std::size_t max_values)
{
    const std::scoped_lock lock(m_state->m_mutex);
    auto& known = m_state->m_label_values[label];
    if (known.count(value) == 0)
    {
        if (known.size() >= max_values)
            return "other";
        known.insert(value);
    }
    return value;
}

void metrics::set(const std::string& name, metric_label label, double value)
{
    const std::scoped_lock lock(m_state->m_mutex);
    auto& gauge = m_state->m_gauges[key_of(name, label)];
    if (gauge == nullptr)
    {
        auto& family = prometheus::BuildGauge().Name(name).Register(m_state->m_registry);
        gauge = &family.Add(labels_of(key_of(name, label)));
    }
    gauge->Set(value);
}

void metrics::observe(const std::string& name, metric_label label, duration value)
{
    const std::scoped_lock lock(m_state->m_mutex);
    auto& histogram = m_state->m_histograms[key_of(name, label)];
    if (histogram == nullptr)
    {
        auto& family = prometheus::BuildHistogram().Name(name).Register(m_state->m_registry);
        histogram = &family.Add(labels_of(key_of(name, label)), seconds_buckets);
    }
    histogram->Observe(std::chrono::duration<double>(value).count());
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_state->m_registry.Collect());
}

} // namespace dragonflygap
