#pragma once

#include <optional>

#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/request/class_queue.hpp"
#include "dragonflygap/request/run_time_estimate.hpp"

namespace dragonflygap::request
{

/// The state that the admission decision for a new request depends on.
struct admission_view
{
    const class_queue& m_queue;
    const run_time_estimate& m_run_time;
    std::size_t m_max_queued = 0;   ///< Capacity of the class's queue.
    int m_weight = 1;               ///< Weight of the request's caller.
    bool m_has_free_slot = false;   ///< The request would be dispatched immediately.
    bool m_class_is_idle = false;   ///< No request of the class is running or queued.
    double m_usable_slots = 1;      ///< Slots that the class can rely on.
    duration m_queued_work_ahead{}; ///< Total run time queued in classes served first.
};

/// Expected queueing time of the next request of this caller.
duration expected_wait(const admission_view& view, const caller_id& caller);

/// Returns the reason for refusing the request, or nothing if it is admitted.
std::optional<failure> check_admission(const admission_view& view, const pending_request& request,
                                       instant now);

} // namespace dragonflygap::request
