#pragma once

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "dragonflygap/request/tracked_request.hpp"

namespace dragonflygap::request
{

/// The waiting requests of one class: start-time fair queueing between callers by weight, first in
/// first out within a caller. Removal is lazy: the owner changes the stage of a request and calls
/// on_removed(); stale entries are erased at the front, or when they outnumber the live ones.
class class_queue
{
public:
    using weights = std::unordered_map<caller_id, int>;

    /// Adds a request whose stage is waiting. Requeued requests go to the front.
    void push(const tracked_request_ptr& request, const weights& caller_weights,
              bool at_front = false);

    /// Removes and returns the next request; its stage is still waiting. Null if empty.
    tracked_request_ptr pop();

    /// The request that pop() would return. Null if empty.
    const tracked_request* front();

    /// Accounts for a request whose stage has changed, or is about to change, from waiting.
    void on_removed(const tracked_request& request);

    /// Charges a caller for a request that exceeded the mean run time by this multiple of it.
    void charge(const caller_id& caller, double extra_run_times);

    std::size_t size() const { return m_live_count; }
    std::size_t size_of(const caller_id& caller) const;

    /// The position, counted from 1, at which another request of this caller would be served.
    double rank_of_next(const caller_id& caller, int weight) const;

    /// The caller's share of the total weight of all waiting callers and itself.
    double share_of(const caller_id& caller, int weight) const;

    /// Visits the waiting requests of all callers until the visitor returns false.
    template <class Visitor>
    void visit(Visitor visitor) const
    {
        for (const auto& [caller, flow] : m_flows)
            for (const auto& item : flow.m_entries)
                if (is_live(item) && !visitor(item.m_request))
                    return;
    }

private:
    struct entry
    {
        tracked_request_ptr m_request;
        std::uint64_t m_number = 0;
    };

    struct caller_flow
    {
        std::deque<entry> m_entries;
        std::size_t m_live_count = 0;
        int m_weight = 1;
        double m_next_start = 0; ///< Virtual start time of its next request.
    };

    using flow_order = std::set<std::pair<double, caller_id>>;

    static bool is_live(const entry& item);
    static void drop_stale_front(caller_flow& flow);
    void remove_one(caller_flow& flow, const caller_id& caller);
    void set_next_start(caller_flow& flow, const caller_id& caller, double start);
    void evict_idle_flows();

    std::map<caller_id, caller_flow> m_flows;
    flow_order m_active; ///< Callers with waiting requests.
    flow_order m_idle;   ///< Callers without any, until virtual time reaches their next start.
    double m_virtual_time = 0;
    double m_active_weight = 0;
    std::size_t m_live_count = 0;
    std::uint64_t m_last_entry = 0;
};

} // namespace dragonflygap::request
