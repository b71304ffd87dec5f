#pragma once

#include <optional>

#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/request/class_queue.hpp"
#include "dragonflygap/request/run_time_estimate.hpp"

namespace dragonflygap::request
{

/// What a new request meets.
struct admission_view
{
    const class_queue& m_queue;
    const run_time_estimate& m_run_time;
    std::size_t m_max_queued = 0; ///< Bound of the class's queue.
    int m_weight = 1;             ///< Of the request's caller.
    bool m_room = false;          ///< It would be dispatched at once.
    bool m_idle = false;          ///< Nothing of the class runs or waits.
    double m_slots = 1;           ///< Slots that this class can count on.
    duration m_urgent_work{};     ///< Run time of what waits in more urgent classes.
};

/// Expected time until a further request of this caller gets a slot.
duration expected_wait(const admission_view& view, const caller_id& caller);

/// Why a request is refused at once; nothing if it is admitted.
std::optional<failure> refuse_admission(const admission_view& view, const pending_request& request,
                                        instant now);

} // namespace dragonflygap::request
