#include "dragonflygap/node/customer_report.hpp"

#include <map>
#include <utility>

#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::node
{

customer_report::~customer_report()
{
    for (const auto& [customer, label] : m_labels)
        publish(label, 0, 0);
}

void customer_report::record(const cell::coordinator& state, instant now)
{
    constexpr duration interval = 1s;
    const auto& customers = state.customers();
    if (now - m_last_at < interval || !customers.any())
        return;
    m_last_at = now;
    std::map<std::string, std::pair<std::int64_t, std::int64_t>> sums;
    for (const auto& one : customers.figures())
    {
        auto& [used, limit] = sums[label_of(one.m_name.m_value)];
        used += one.m_used.m_millicores;
        limit += one.m_listed ? one.m_limit.m_millicores : 0;
    }
    for (const auto& [label, sum] : sums)
        publish(label, sum.first, sum.second);
    const auto held_back = state.counts().m_steps_held_back;
    m_metrics.count("dragonflygap_customer_steps_held_back_total", {},
                    static_cast<double>(held_back - std::exchange(m_held_back, held_back)));
}

void customer_report::publish(const std::string& label, std::int64_t used, std::int64_t limit)
{
    m_metrics.set("dragonflygap_customer_millicores_used", {"customer", label},
                  static_cast<double>(used));
    m_metrics.set("dragonflygap_customer_millicores_limit", {"customer", label},
                  static_cast<double>(limit));
}

// Each label is a time series at whoever collects the metrics, so their number is bounded.
const std::string& customer_report::label_of(const std::string& customer)
{
    constexpr std::size_t max_labels = 200;
    const std::string others_label = "other";
    const auto found = m_labels.find(customer);
    if (found != m_labels.end())
        return found->second;
    const bool own = m_own_labels < max_labels && customer != others_label;
    m_own_labels += own ? 1 : 0;
    return m_labels.emplace(customer, own ? customer : others_label).first->second;
}

} // namespace dragonflygap::node
