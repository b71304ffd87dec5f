#include "dragonflygap/request/admission.hpp"

#include <algorithm>

namespace dragonflygap::request
{

namespace
{

failure not_run(reason cause, const char* detail)
{
    return {verdict::not_run, cause, detail};
}

} // namespace

duration expected_wait(const admission_view& view, const caller_id& caller)
{
    if (view.m_has_free_slot)
        return {};
    const double own_class_work = view.m_queue.rank_of_next(caller, view.m_weight) *
                                  static_cast<double>(view.m_run_time.mean().count());
    const double total_work =
        own_class_work + static_cast<double>(view.m_queued_work_ahead.count());
    return duration(static_cast<long long>(total_work / std::max(view.m_usable_slots, 1.0)));
}

std::optional<failure> check_admission(const admission_view& view, const pending_request& request,
                                       instant now)
{
    if (request.m_deadline <= now)
        return not_run(reason::deadline_passed, "the deadline has passed");
    const auto time_left = request.m_deadline - now;
    auto needed = expected_wait(view, request.m_caller);
    // An idle class is admitted whatever its estimated run time. Otherwise an estimate that is too
    // high would refuse every request that could correct it.
    if (!view.m_class_is_idle)
        needed += view.m_has_free_slot ? view.m_run_time.median() : view.m_run_time.p90();
    if (time_left < needed)
        return not_run(reason::deadline_unreachable,
                       "the request isn't expected to finish by its deadline");
    if (view.m_queue.size() >= view.m_max_queued)
        return not_run(reason::queue_full, "the queue of the class is full");
    const auto queued = static_cast<double>(view.m_queue.size_of(request.m_caller));
    const auto max_queued = static_cast<double>(view.m_max_queued);
    const bool half_full = view.m_queue.size() * 2 >= view.m_max_queued;
    const double share = view.m_queue.share_of(request.m_caller, view.m_weight);
    if (half_full && queued >= share * max_queued)
        return not_run(reason::caller_over_share, "the caller's share of the queue is full");
    return {};
}

} // namespace dragonflygap::request
