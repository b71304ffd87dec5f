#include <algorithm>
#include <utility>

#include "dragonflygap/request/scheduler.hpp"

/// The parts of the scheduler that assign waiting requests to targets and peers.
namespace dragonflygap::request
{

namespace
{

constexpr std::size_t max_forwards_per_pass = 64;

} // namespace

void scheduler::dispatch_waiting(instant now, actions& out)
{
    for (auto* state : m_classes.by_priority())
        while (dispatch_next(*state, now, out))
        {
        }
}

bool scheduler::dispatch_next(class_state& state, instant now, actions& out)
{
    if (state.m_queue.size() == 0 ||
        !m_classes.may_start(state, m_targets.free_slots(), m_targets.slots()))
        return false;
    const auto request = state.m_queue.pop();
    const auto time_left = request->m_request.m_deadline - now;
    // A request that would miss its deadline must not occupy a slot that another could use in time.
    // Classes without running requests are exempt for the reason given in check_admission.
    const bool late = time_left <= duration{} ||
                      (time_left < state.m_run_time.median() && !state.m_running.empty());
    if (!late)
    {
        dispatch(request, state, now, out);
        return true;
    }
    request->m_stage = stage::backing_off;
    finish(request,
           {verdict::not_run,
            time_left <= duration{} ? reason::deadline_passed : reason::deadline_unreachable,
            "no slot became free in time"},
           out);
    return true;
}

void scheduler::dispatch(const tracked_request_ptr& request, class_state& state, instant now,
                         actions& out)
{
    const auto* chosen = m_targets.choose(request->m_target);
    m_targets.acquire(chosen->m_id);
    request->m_stage = stage::running;
    request->m_target = chosen->m_id;
    request->m_dispatched_at = now;
    ++request->m_attempts;
    state.add_running(request);
    out.emplace_back(dispatch_request{request->m_request.m_id, chosen->m_id, chosen->m_address,
                                      request->m_request.m_deadline, request->m_attempts});
}

bool scheduler::forward(const tracked_request_ptr& request, instant now, actions& out)
{
    // A request that was already attempted isn't forwarded, so that one entry VM counts all its
    // attempts.
    if (request->m_was_forwarded || request->m_attempts != 0 ||
        request->m_request.m_hops >= m_options.m_max_hops)
        return false;
    const auto* peer = m_peers.reserve_slot(now);
    if (peer == nullptr)
        return false;
    request->m_stage = stage::forwarded;
    request->m_was_forwarded = true;
    request->m_peer = peer->m_vm;
    out.emplace_back(forward_request{request->m_request.m_id, peer->m_vm});
    return true;
}

bool scheduler::may_wait_for_peer(const pending_request& request, instant now) const
{
    return request.m_hops < m_options.m_max_hops && m_peers.has_fresh_peer(now);
}

void scheduler::refuse_without_target(instant now, actions& out)
{
    if (m_targets.slots() != 0)
        return;
    std::vector<tracked_request_ptr> timed_out;
    for (auto* state : m_classes.by_priority())
        state->m_queue.visit(
            [&](const tracked_request_ptr& request)
            {
                if (now - request->m_request.m_arrived_at >= m_options.m_no_target_timeout)
                    timed_out.push_back(request);
                return true;
            });
    for (const auto& request : timed_out)
        finish(request,
               {verdict::not_run, reason::no_target, "no executor or peer had a free slot in time"},
               out);
}

void scheduler::forward_waiting(instant now, actions& out)
{
    for (auto* state : m_classes.by_priority())
    {
        const std::size_t limit =
            std::min<std::size_t>(max_forwards_per_pass, m_peers.free_slots(now));
        if (limit == 0)
            return;
        const auto work = state->m_run_time.mean() * static_cast<long long>(state->m_queue.size());
        const double wait = static_cast<double>(work.count()) / state->m_usable_slots;
        const bool soon_served =
            wait <= static_cast<double>(m_options.m_min_wait_to_forward.count()) &&
            m_targets.slots() != 0;
        if (state->m_queue.size() == 0 || (soon_served && !m_draining))
            continue;
        std::vector<tracked_request_ptr> candidates;
        state->m_queue.visit(
            [&](const tracked_request_ptr& request)
            {
                if (!request->m_was_forwarded)
                    candidates.push_back(request);
                return candidates.size() < limit;
            });
        for (const auto& request : candidates)
            if (forward(request, now, out))
                state->m_queue.on_removed(*request);
    }
}

cluster::load_digest scheduler::load(instant now)
{
    const int spare = m_targets.free_slots() - m_classes.max_withheld_slots();
    const int free = m_draining ? 0 : std::max(0, spare);
    cluster::load_digest digest{.m_slots = static_cast<std::uint32_t>(m_targets.slots()),
                                .m_free_slots = static_cast<std::uint32_t>(free)};
    for (auto* state : m_classes.by_priority())
    {
        digest.m_classes.push_back({state->m_class.m_name,
                                    static_cast<std::uint32_t>(state->m_queue.size()),
                                    static_cast<std::uint32_t>(state->m_running.size())});
        const auto* oldest = state->m_queue.front();
        if (oldest == nullptr)
            continue;
        const auto wait = static_cast<std::uint32_t>(to_ms(now - oldest->m_request.m_arrived_at));
        digest.m_oldest_wait_ms = std::max(digest.m_oldest_wait_ms, wait);
    }
    return digest;
}

} // namespace dragonflygap::request
