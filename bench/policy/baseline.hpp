#pragma once

#include <functional>
#include <set>
#include <vector>

#include "dragonflygap/request/request.hpp"
#include "workload.hpp"

namespace dragonflygap::bench
{

/// What a baseline serves next: the smallest key; ties in order of arrival.
using order_hook = std::function<double(const request::pending_request&, const arrival&)>;

struct baseline_options
{
    int m_slots = 64;
    order_hook m_order;
    bool m_knows_run_times = false; ///< Drops what can't be on time; only an oracle can.
};

/// A scheduler of one queue, for comparison.
class baseline
{
public:
    baseline(baseline_options options, const std::vector<arrival>& arrivals)
        : m_options(std::move(options)), m_arrivals(arrivals)
    {
    }

    std::vector<request::scheduler_action> handle(const request::scheduler_event& event,
                                                  instant now);

private:
    struct waiting
    {
        double m_key = 0;
        std::size_t m_index = 0;
        request::pending_request m_request;

        bool operator<(const waiting& other) const
        {
            return std::pair(m_key, m_index) < std::pair(other.m_key, other.m_index);
        }
    };

    void start(std::vector<request::scheduler_action>& out, instant now);

    baseline_options m_options;
    const std::vector<arrival>& m_arrivals;
    std::set<waiting> m_queue;
    int m_running = 0;
};

order_hook first_come();
order_hook most_urgent(const std::vector<config::request_class>& classes);
order_hook shortest();

} // namespace dragonflygap::bench
