#pragma once

#include <functional>
#include <set>
#include <vector>

#include "dragonflygap/request/request.hpp"
#include "workload.hpp"

namespace dragonflygap::bench
{

/// Sort key of a queued request. The smallest key is served first, ties in order of arrival.
using sort_key_function = std::function<double(const request::pending_request&, const arrival&)>;

struct baseline_options
{
    int m_slots = 64;
    sort_key_function m_sort_key;
    bool m_knows_run_times = false; ///< Oracle: rejects requests that would miss their deadline.
};

/// Single-queue scheduler that dragonflygap is compared with.
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
    struct queued_request
    {
        double m_key = 0;
        std::size_t m_index = 0;
        request::pending_request m_request;

        bool operator<(const queued_request& other) const
        {
            return std::pair(m_key, m_index) < std::pair(other.m_key, other.m_index);
        }
    };

    void dispatch(std::vector<request::scheduler_action>& out, instant now);

    baseline_options m_options;
    const std::vector<arrival>& m_arrivals;
    std::set<queued_request> m_queue;
    int m_running = 0;
};

sort_key_function by_arrival();
sort_key_function by_urgency(const std::vector<config::request_class>& classes);
sort_key_function by_run_time();

} // namespace dragonflygap::bench
