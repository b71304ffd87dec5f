#include "dragonflygap/request/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::request
{

namespace
{

failure not_run(reason why, const char* detail)
{
    return {verdict::not_run, why, detail};
}

} // namespace

scheduler::scheduler(scheduler_options options)
    : m_options(std::move(options)),
      m_classes(m_options.m_reserve),
      m_targets(m_options.m_health),
      m_retries(m_options.m_retries),
      m_peers(m_options.m_peers)
{
}

std::vector<scheduler_action> scheduler::handle(const scheduler_event& event, instant now)
{
    actions out;
    std::visit([&](const auto& what) { on(what, now, out); }, event);
    dispatch_waiting(now, out);
    return out;
}

tracked_request_ptr scheduler::find(const request_id& id) const
{
    const auto found = m_requests.find(id);
    return found == m_requests.end() ? nullptr : found->second;
}

int scheduler::weight_of(const caller_id& caller) const
{
    const auto found = m_weights.find(caller);
    return found == m_weights.end() ? 1 : found->second;
}

admission_view scheduler::view_of(const class_state& which, const caller_id& caller) const
{
    const bool room = which.m_queue.size() == 0 &&
                      m_classes.may_start(which, m_targets.free_slots(), m_targets.slots());
    return {.m_queue = which.m_queue,
            .m_run_time = which.m_run_time,
            .m_max_queued = which.m_class.m_max_queued,
            .m_weight = weight_of(caller),
            .m_room = room,
            .m_idle = which.idle(),
            .m_slots = which.m_usable_slots,
            .m_urgent_work = room ? duration{} : m_classes.work_before(which)};
}

void scheduler::on(const request_submitted& event, instant now, actions& out)
{
    const auto& submitted = event.m_request;
    // The first of two with one id gets the answer.
    if (m_requests.contains(submitted.m_id))
        return;
    const auto refuse = [&](failure why) {
        out.emplace_back(refuse_request{submitted.m_id, std::move(why)});
    };
    if (m_draining)
        return refuse(not_run(reason::draining, "this entry VM is leaving"));
    auto* which = m_classes.find(submitted.m_class);
    if (which == nullptr)
        return refuse(not_run(reason::unknown_class, "no class of this name"));
    which->m_arrivals.arrived(now);
    m_retries.on_fresh();
    const auto view = view_of(*which, submitted.m_caller);
    auto request = std::make_shared<tracked_request>(tracked_request{.m_request = submitted});
    const bool better_elsewhere =
        !view.m_room && (m_targets.slots() == 0 ||
                         expected_wait(view, submitted.m_caller) > m_options.m_forward_wait);
    if (better_elsewhere && submitted.m_deadline > now && forward(request, now, out))
    {
        m_requests[submitted.m_id] = request;
        m_deadlines.add(request);
        return;
    }
    if (m_targets.slots() == 0 && !may_wait_for_peer(submitted, now))
        return refuse(not_run(reason::no_target, "no executor that may be used is owned here"));
    if (auto why = refuse_admission(view, submitted, now))
        return refuse(std::move(*why));
    m_requests[submitted.m_id] = request;
    m_deadlines.add(request);
    which->m_queue.push(request, m_weights);
}

void scheduler::conclude(const tracked_request_ptr& request, failure what, actions& out)
{
    if (request->m_may_have_run)
        what.m_verdict = verdict::may_have_run;
    const auto& id = request->m_request.m_id;
    if (request->m_attempts == 0 && what.m_verdict == verdict::not_run)
        out.emplace_back(refuse_request{id, std::move(what)});
    else
        out.emplace_back(fail_request{id, std::move(what)});
    erase(request);
}

void scheduler::erase(const tracked_request_ptr& request)
{
    if (request->m_stage == stage::waiting)
        leave_queue(request, stage::ended);
    request->m_stage = stage::ended;
    m_deadlines.note_ended();
    m_requests.erase(request->m_request.m_id);
}

void scheduler::leave_queue(const tracked_request_ptr& request, stage next)
{
    request->m_stage = next;
    if (auto* which = m_classes.find(request->m_request.m_class))
        which->m_queue.removed(*request);
}

void scheduler::wait_again(const tracked_request_ptr& request, instant now, actions& out)
{
    auto* which = m_classes.find(request->m_request.m_class);
    if (which == nullptr)
        return conclude(request, not_run(reason::unknown_class, "the class was removed"), out);
    if (request->m_request.m_deadline <= now)
        return conclude(request, not_run(reason::deadline_passed, "the deadline has passed"), out);
    request->m_stage = stage::waiting;
    which->m_queue.push(request, m_weights, true);
}

void scheduler::on(const request_ended& event, instant now, actions& out)
{
    const auto request = find(event.m_id);
    if (request == nullptr)
        return;
    if (request->m_stage == stage::forwarded && !event.m_outcome)
        return on(forward_failed{event.m_id, event.m_outcome.error()}, now, out);
    const bool forwarded = request->m_stage == stage::forwarded;
    if (!forwarded && request->m_stage != stage::running)
        return;
    if (forwarded)
        m_peers.returned(request->m_peer);
    else
        end_attempt(*request, event, now);
    if (event.m_outcome || request->m_aborted)
    {
        erase(request);
        if (forwarded)
            forward_waiting(now, out);
        return;
    }
    after_failure(request, event, now, out);
}

void scheduler::end_attempt(tracked_request& request, const request_ended& event, instant now)
{
    if (event.m_slot_free)
        m_targets.release(request.m_target);
    else
        m_occupied[event.m_id] = request.m_target;
    if (!request.m_aborted)
        learn(request, event.m_outcome, now);
    if (auto* which = m_classes.find(request.m_request.m_class))
        which->remove_running(request);
    if (!event.m_outcome && event.m_outcome.error().m_verdict != verdict::not_run)
        request.m_may_have_run = true;
}

void scheduler::learn(tracked_request& request, const outcome<void>& result, instant now)
{
    constexpr double most_charged_run_times = 100;
    constexpr int late_run_times = 2;
    const auto ran = now - request.m_dispatched;
    auto* which = m_classes.find(request.m_request.m_class);
    const bool timed_out = !result && result.error().m_reason == reason::timeout;
    // A timeout says little of the target where the usual run takes as long.
    const bool target_late =
        timed_out && which != nullptr && ran > which->m_run_time.high() * late_run_times;
    if (result)
        m_targets.succeeded(request.m_target);
    else if (target_late || is_target_fault(result.error().m_reason))
        m_targets.failed(request.m_target, now);
    if (which == nullptr || (!result && !timed_out))
        return;
    const double usual = std::max(1.0, static_cast<double>(which->m_run_time.mean().count()));
    const double beyond = static_cast<double>(ran.count()) / usual - 1;
    if (beyond > 0)
        which->m_queue.charge(request.m_request.m_caller, std::min(beyond, most_charged_run_times));
    which->m_run_time.add(ran);
}

void scheduler::after_failure(const tracked_request_ptr& request, const request_ended& event,
                              instant now, actions& out)
{
    const auto& what = event.m_outcome.error();
    const auto* which = m_classes.find(request->m_request.m_class);
    if (which == nullptr)
        return conclude(request, what, out);
    const auto backoff = m_retries.next(*request, what, event.m_slot_free);
    if (!backoff || now + *backoff + which->m_run_time.median() > request->m_request.m_deadline)
        return conclude(request, what, out);
    request->m_stage = stage::backing_off;
    m_delayed.push({now + *backoff, request});
}

void scheduler::on(const slot_freed& event, instant /*now*/, actions& /*out*/)
{
    const auto node = m_occupied.extract(event.m_id);
    if (!node.empty())
        m_targets.release(node.mapped());
}

void scheduler::on(const forward_failed& event, instant now, actions& out)
{
    const auto request = find(event.m_id);
    if (request == nullptr || request->m_stage != stage::forwarded)
        return;
    m_peers.refused(request->m_peer);
    if (request->m_aborted)
        return erase(request);
    if (event.m_failure.m_verdict != verdict::not_run)
        request->m_may_have_run = true;
    // Only what the peer certainly did not run may come back, and only to slots of this entry VM.
    if (event.m_failure.m_verdict != verdict::not_run || m_targets.slots() == 0)
        return conclude(request, event.m_failure, out);
    wait_again(request, now, out);
}

void scheduler::on(const drain_started& /*event*/, instant now, actions& out)
{
    m_draining = true;
    forward_waiting(now, out);
}

void scheduler::on(const request_cancelled& event, instant /*now*/, actions& out)
{
    const auto request = find(event.m_id);
    if (request == nullptr || request->m_aborted)
        return;
    if (request->m_stage == stage::running || request->m_stage == stage::forwarded)
    {
        request->m_aborted = true;
        out.emplace_back(abort_request{event.m_id});
        return;
    }
    conclude(request, not_run(reason::cancelled, "the caller left"), out);
}

void scheduler::on(const targets_changed& event, instant now, actions& /*out*/)
{
    m_targets.assign(event.m_targets);
    m_classes.refresh(now, m_targets.slots());
}

void scheduler::on(const classes_changed& event, instant now, actions& out)
{
    m_weights.clear();
    for (const auto& caller : event.m_callers)
        m_weights[caller.m_name] = caller.m_weight;
    for (const auto& removed : m_classes.assign(event.m_classes))
        while (const auto request = removed->m_queue.pop())
        {
            request->m_stage = stage::backing_off;
            conclude(request, not_run(reason::unknown_class, "the class was removed"), out);
        }
    m_classes.refresh(now, m_targets.slots());
}

void scheduler::on(const peers_changed& event, instant now, actions& out)
{
    m_peers.assign(event.m_peers);
    forward_waiting(now, out);
}

void scheduler::on(const scheduler_tick& /*event*/, instant now, actions& out)
{
    m_targets.tick(now);
    pass_deadlines(now, out);
    start_retries(now, out);
    if (now - m_refreshed < m_options.m_refresh_every)
        return;
    m_refreshed = now;
    m_classes.refresh(now, m_targets.slots());
    refuse_without_target(now, out);
}

void scheduler::pass_deadlines(instant now, actions& out)
{
    while (const auto request = m_deadlines.take_passed(now))
        if (request->m_stage == stage::waiting || request->m_stage == stage::backing_off)
            conclude(request, not_run(reason::deadline_passed, "the deadline passed in the queue"),
                     out);
}

void scheduler::start_retries(instant now, actions& out)
{
    while (!m_delayed.empty() && m_delayed.top().m_due <= now)
    {
        const auto request = m_delayed.top().m_request;
        m_delayed.pop();
        if (request->m_stage == stage::backing_off)
            wait_again(request, now, out);
    }
}

} // namespace dragonflygap::request
