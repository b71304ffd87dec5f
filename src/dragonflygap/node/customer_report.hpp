#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

/// Publishes what each customer uses of its limit while this VM leads the cell; of the first 200
/// customers each, and of all others together.
class customer_report
{
public:
    explicit customer_report(metrics& registry) : m_metrics(registry) {}
    /// Sets the figures to 0, as another VM publishes them from now on.
    ~customer_report();
    customer_report(const customer_report&) = delete;
    customer_report& operator=(const customer_report&) = delete;

    /// Updates the metrics when due.
    void record(const cell::coordinator& state, instant now);

private:
    void publish(const std::string& label, std::int64_t used, std::int64_t limit);
    const std::string& label_of(const std::string& customer);

    metrics& m_metrics;
    std::map<std::string, std::string> m_labels; ///< By customer.
    std::size_t m_own_labels = 0;                ///< Of customers that are published on their own.
    std::uint64_t m_held_back = 0;               ///< As last added to the metrics.
    instant m_last_at{};
};

} // namespace node

} // namespace dragonflygap
