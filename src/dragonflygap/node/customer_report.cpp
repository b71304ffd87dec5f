#include "dragonflygap/node/customer_report.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::node
{

namespace
{

using entry = std::pair<cell::customer_id, cell::customer_count>;

std::uint64_t weight_of(const entry& customer)
{
    return customer.second.m_beyond_share + customer.second.all_rejected();
}

void log_customer(const entry& customer)
{
    const auto& count = customer.second;
    const auto rejected = [&count](cell::rejection_cause cause)
    { return count.m_rejected[static_cast<std::size_t>(cause)]; };
    log_periodic("customer_jobs",
                 {{"customer", customer.first.m_value},
                  {"beyond_share", count.m_beyond_share},
                  {"store_unavailable", rejected(cell::rejection_cause::store_unavailable)},
                  {"queue_full", rejected(cell::rejection_cause::queue_full)},
                  {"memory_full", rejected(cell::rejection_cause::memory_full)},
                  {"customer_backlog", rejected(cell::rejection_cause::customer_backlog)},
                  {"not_stored", rejected(cell::rejection_cause::not_stored)}});
}

} // namespace

void customer_report::record(cell::coordinator& state, instant now)
{
    constexpr duration interval = 1s;
    constexpr std::size_t max_logged = 4; // lines a second
    constexpr std::size_t max_labels = 200;
    if (now - m_last_at < interval)
        return;
    m_last_at = now;
    const auto counts = state.take_customer_counts();
    for (const auto& [customer, count] : counts)
    {
        const auto label = m_metrics.limit_values("customer", customer.m_value, max_labels);
        if (count.m_beyond_share > 0)
            m_metrics.count("dragonflygap_jobs_beyond_share_total", {"customer", label},
                            static_cast<double>(count.m_beyond_share));
        for (std::size_t i = 0; i < count.m_rejected.size(); ++i)
            if (count.m_rejected[i] > 0)
                m_metrics.count("dragonflygap_jobs_rejected_total", {"customer", label},
                                {"cause", cell::rejection_cause_names[i]},
                                static_cast<double>(count.m_rejected[i]));
    }
    std::vector<entry> most(counts.begin(), counts.end());
    const auto logged = std::min(most.size(), max_logged);
    std::partial_sort(most.begin(), most.begin() + static_cast<std::ptrdiff_t>(logged), most.end(),
                      [](const entry& left, const entry& right)
                      { return weight_of(left) > weight_of(right); });
    for (std::size_t i = 0; i < logged; ++i)
        log_customer(most[i]);
}

} // namespace dragonflygap::node
