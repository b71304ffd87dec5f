#include <algorithm>
#include <utility>

#include "dragonflygap/request/scheduler.hpp"

/// How the scheduler gives waiting requests to targets and peers.
namespace dragonflygap::request
{

namespace
{

constexpr std::size_t most_forwarded_at_once = 64;

} // namespace

void scheduler::dispatch_waiting(instant now, actions& out)
{
    for (auto* which : m_classes.in_order())
        while (start_next(*which, now, out))
        {
        }
}

bool scheduler::start_next(class_state& which, instant now, actions& out)
{
    if (which.m_queue.size() == 0 ||
        !m_classes.may_start(which, m_targets.free_slots(), m_targets.slots()))
        return false;
    const auto request = which.m_queue.pop();
    const auto left = request->m_request.m_deadline - now;
    // One that will be late takes no slot from one that can be on time; see refuse_admission for
    // the class of which nothing runs.
    const bool late =
        left <= duration{} || (left < which.m_run_time.median() && !which.m_running.empty());
    if (!late)
    {
        dispatch(request, which, now, out);
        return true;
    }
    request->m_stage = stage::backing_off;
    conclude(request,
             {verdict::not_run,
              left <= duration{} ? reason::deadline_passed : reason::deadline_unreachable,
              "no slot was free in time"},
             out);
    return true;
}

void scheduler::dispatch(const tracked_request_ptr& request, class_state& which, instant now,
                         actions& out)
{
    const auto* chosen = m_targets.choose(request->m_target);
    m_targets.take(chosen->m_id);
    request->m_stage = stage::running;
    request->m_target = chosen->m_id;
    request->m_dispatched = now;
    ++request->m_attempts;
    which.add_running(request);
    out.emplace_back(dispatch_request{request->m_request.m_id, chosen->m_id, chosen->m_address,
                                      request->m_request.m_deadline, request->m_attempts});
}

bool scheduler::forward(const tracked_request_ptr& request, instant now, actions& out)
{
    // One that was already tried stays, so that its attempts are counted in one place.
    if (request->m_was_forwarded || request->m_attempts != 0 ||
        request->m_request.m_hops >= m_options.m_max_hops)
        return false;
    const auto* peer = m_peers.take(now);
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
    return request.m_hops < m_options.m_max_hops && m_peers.any_fresh(now);
}

void scheduler::refuse_without_target(instant now, actions& out)
{
    if (m_targets.slots() != 0)
        return;
    std::vector<tracked_request_ptr> given_up;
    for (auto* which : m_classes.in_order())
        which->m_queue.visit(
            [&](const tracked_request_ptr& request)
            {
                if (now - request->m_request.m_arrived_at >= m_options.m_longest_without_target)
                    given_up.push_back(request);
                return true;
            });
    for (const auto& request : given_up)
        conclude(request,
                 {verdict::not_run, reason::no_target, "neither executor nor peer in time"}, out);
}

void scheduler::forward_waiting(instant now, actions& out)
{
    for (auto* which : m_classes.in_order())
    {
        const std::size_t most = std::min<std::size_t>(most_forwarded_at_once, m_peers.room(now));
        if (most == 0)
            return;
        const auto work = which->m_run_time.mean() * static_cast<long long>(which->m_queue.size());
        const double wait = static_cast<double>(work.count()) / which->m_usable_slots;
        const bool soon_served =
            wait <= static_cast<double>(m_options.m_forward_wait.count()) && m_targets.slots() != 0;
        if (which->m_queue.size() == 0 || (soon_served && !m_draining))
            continue;
        std::vector<tracked_request_ptr> candidates;
        which->m_queue.visit(
            [&](const tracked_request_ptr& request)
            {
                if (!request->m_was_forwarded)
                    candidates.push_back(request);
                return candidates.size() < most;
            });
        for (const auto& request : candidates)
            if (forward(request, now, out))
                which->m_queue.removed(*request);
    }
}

cluster::load_digest scheduler::load(instant now)
{
    const int spare = m_targets.free_slots() - m_classes.kept_free();
    const int free = m_draining ? 0 : std::max(0, spare);
    cluster::load_digest digest{.m_slots = static_cast<std::uint32_t>(m_targets.slots()),
                                .m_free_slots = static_cast<std::uint32_t>(free)};
    for (auto* which : m_classes.in_order())
    {
        digest.m_classes.push_back({which->m_class.m_name,
                                    static_cast<std::uint32_t>(which->m_queue.size()),
                                    static_cast<std::uint32_t>(which->m_running.size())});
        const auto* oldest = which->m_queue.front();
        if (oldest == nullptr)
            continue;
        const auto wait = static_cast<std::uint32_t>(to_ms(now - oldest->m_request.m_arrived_at));
        digest.m_oldest_wait_ms = std::max(digest.m_oldest_wait_ms, wait);
    }
    return digest;
}

} // namespace dragonflygap::request
