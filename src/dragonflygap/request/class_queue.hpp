#pragma once

#include <deque>
#include <map>
#include <set>
#include <unordered_map>

#include "dragonflygap/request/tracked_request.hpp"

namespace dragonflygap::request
{

/// The waiting requests of one class, shared out between callers by weight (start-time fair
/// queueing), in order of arrival within a caller. Removal is lazy: the owner changes the stage and
/// calls removed(); the entry is dropped when it comes to the front, or when most are void.
class class_queue
{
public:
    using weights = std::unordered_map<caller_id, int>;

    /// Puts a request whose stage is waiting at the back, or at the front if it waited before.
    void push(const tracked_request_ptr& request, const weights& callers, bool at_front = false);

    /// Takes the next request, whose stage is still waiting. Null if there is none.
    tracked_request_ptr pop();

    /// The next request without taking it. Null if there is none.
    const tracked_request* front();

    /// A waiting request has left, or is about to leave, the stage.
    void removed(const tracked_request& request);

    /// A caller's request took this many times the usual run time beyond the one it paid for.
    void charge(const caller_id& caller, double run_times);

    std::size_t size() const { return m_live; }
    std::size_t size_of(const caller_id& caller) const;

    /// Requests that are served before a further one of this caller, and that one.
    double rank_of_next(const caller_id& caller, int weight) const;

    /// Share of the weight of the waiting callers, this one included.
    double share_of(const caller_id& caller, int weight) const;

    /// Visits the waiting requests of all callers until the visitor returns false.
    template <class Visitor>
    void visit(Visitor visitor) const
    {
        for (const auto& [caller, flow] : m_flows)
            for (const auto& item : flow.m_entries)
                if (valid(item) && !visitor(item.m_request))
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
        std::size_t m_live = 0;
        int m_weight = 1;
        double m_start = 0; ///< Virtual time at which its next request is due.
    };

    using flow_order = std::set<std::pair<double, caller_id>>;

    static bool valid(const entry& item);
    static void drop_void_front(caller_flow& flow);
    void drop_one(caller_flow& flow, const caller_id& caller);
    void move_start(caller_flow& flow, const caller_id& caller, double start);
    void forget_idle();

    std::map<caller_id, caller_flow> m_flows;
    flow_order m_active; ///< Callers with waiting requests.
    flow_order m_idle;   ///< Callers without, until their start is past.
    double m_virtual_time = 0;
    double m_active_weight = 0;
    std::size_t m_live = 0;
    std::uint64_t m_last_entry = 0;
};

} // namespace dragonflygap::request
