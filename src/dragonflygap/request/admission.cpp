#include "dragonflygap/request/admission.hpp"

#include <algorithm>

namespace dragonflygap::request
{

namespace
{

failure not_run(reason why, const char* detail)
{
    return {verdict::not_run, why, detail};
}

} // namespace

duration expected_wait(const admission_view& view, const caller_id& caller)
{
    if (view.m_room)
        return {};
    const double ahead = view.m_queue.rank_of_next(caller, view.m_weight) *
                         static_cast<double>(view.m_run_time.mean().count());
    const double work = ahead + static_cast<double>(view.m_urgent_work.count());
    return duration(static_cast<long long>(work / std::max(view.m_slots, 1.0)));
}

std::optional<failure> refuse_admission(const admission_view& view, const pending_request& request,
                                        instant now)
{
    if (request.m_deadline <= now)
        return not_run(reason::deadline_passed, "the deadline has passed");
    const auto left = request.m_deadline - now;
    auto needed = expected_wait(view, request.m_caller);
    // A class of which nothing runs is tried, however long its last runs were: else a wrong
    // estimate would keep out every request that could correct it.
    if (!view.m_idle)
        needed += view.m_room ? view.m_run_time.median() : view.m_run_time.high();
    if (left < needed)
        return not_run(reason::deadline_unreachable, "it can't be expected to end by its deadline");
    if (view.m_queue.size() >= view.m_max_queued)
        return not_run(reason::queue_full, "the queue of the class is full");
    const auto held = static_cast<double>(view.m_queue.size_of(request.m_caller));
    const auto bound = static_cast<double>(view.m_max_queued);
    const bool crowded = view.m_queue.size() * 2 >= view.m_max_queued;
    const double share = view.m_queue.share_of(request.m_caller, view.m_weight);
    if (crowded && held >= share * bound)
        return not_run(reason::caller_over_share, "the caller's share of the queue is full");
    return {};
}

} // namespace dragonflygap::request
