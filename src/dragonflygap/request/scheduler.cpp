#include "dragonflygap/request/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::request
{

namespace
{

failure not_run(reason cause, const char* detail)
{
    return {verdict::not_run, cause, detail};
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
    std::visit([&](const auto& alternative) { on(alternative, now, out); }, event);
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

admission_view scheduler::make_admission_view(const class_state& state,
                                              const caller_id& caller) const
{
    const bool has_free_slot =
        state.m_queue.size() == 0 &&
        m_classes.may_start(state, m_targets.free_slots(), m_targets.slots());
    return {.m_queue = state.m_queue,
            .m_run_time = state.m_run_time,
            .m_max_queued = state.m_class.m_max_queued,
            .m_weight = weight_of(caller),
            .m_has_free_slot = has_free_slot,
            .m_class_is_idle = state.idle(),
            .m_usable_slots = state.m_usable_slots,
            .m_queued_work_ahead =
                has_free_slot ? duration{} : m_classes.queued_work_before(state)};
}

void scheduler::on(const request_submitted& event, instant now, actions& out)
{
    const auto& submitted = event.m_request;
    // A duplicate id is ignored; the first request gets the answer.
    if (m_requests.contains(submitted.m_id))
        return;
    const auto refuse = [&](failure error) {
        out.emplace_back(refuse_request{submitted.m_id, std::move(error)});
    };
    if (m_draining)
        return refuse(
            not_run(reason::draining, "this entry VM is leaving and accepts no new requests"));
    auto* state = m_classes.find(submitted.m_class);
    if (state == nullptr)
        return refuse(not_run(reason::unknown_class, "no class has this name"));
    state->m_arrivals.record_arrival(now);
    m_retries.on_new_request();
    const auto view = make_admission_view(*state, submitted.m_caller);
    auto request = std::make_shared<tracked_request>(tracked_request{.m_request = submitted});
    const bool prefer_peer = !view.m_has_free_slot &&
                             (m_targets.slots() == 0 || expected_wait(view, submitted.m_caller) >
                                                            m_options.m_min_wait_to_forward);
    if (prefer_peer && submitted.m_deadline > now && forward(request, now, out))
    {
        m_requests[submitted.m_id] = request;
        m_deadlines.add(request);
        return;
    }
    if (m_targets.slots() == 0 && !may_wait_for_peer(submitted, now))
        return refuse(not_run(reason::no_target, "no usable executor is owned by this entry VM"));
    if (auto error = check_admission(view, submitted, now))
        return refuse(std::move(*error));
    m_requests[submitted.m_id] = request;
    m_deadlines.add(request);
    state->m_queue.push(request, m_weights);
}

void scheduler::finish(const tracked_request_ptr& request, failure error, actions& out)
{
    if (request->m_may_have_run)
        error.m_verdict = verdict::may_have_run;
    const auto& id = request->m_request.m_id;
    if (request->m_attempts == 0 && error.m_verdict == verdict::not_run)
        out.emplace_back(refuse_request{id, std::move(error)});
    else
        out.emplace_back(fail_request{id, std::move(error)});
    erase(request);
}

void scheduler::erase(const tracked_request_ptr& request)
{
    if (request->m_stage == stage::waiting)
        remove_from_queue(request, stage::ended);
    request->m_stage = stage::ended;
    m_deadlines.mark_ended();
    m_requests.erase(request->m_request.m_id);
}

void scheduler::remove_from_queue(const tracked_request_ptr& request, stage next)
{
    request->m_stage = next;
    if (auto* state = m_classes.find(request->m_request.m_class))
        state->m_queue.on_removed(*request);
}

void scheduler::requeue(const tracked_request_ptr& request, instant now, actions& out)
{
    auto* state = m_classes.find(request->m_request.m_class);
    if (state == nullptr)
        return finish(request, not_run(reason::unknown_class, "the class was removed"), out);
    if (request->m_request.m_deadline <= now)
        return finish(request, not_run(reason::deadline_passed, "the deadline has passed"), out);
    request->m_stage = stage::waiting;
    state->m_queue.push(request, m_weights, true);
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
        m_peers.release_slot(request->m_peer);
    else
        end_attempt(*request, event, now);
    if (event.m_outcome || request->m_aborted)
    {
        erase(request);
        if (forwarded)
            forward_waiting(now, out);
        return;
    }
    retry_or_fail(request, event, now, out);
}

void scheduler::end_attempt(tracked_request& request, const request_ended& event, instant now)
{
    if (event.m_slot_free)
        m_targets.release(request.m_target);
    else
        m_held_slots[event.m_id] = request.m_target;
    if (!request.m_aborted)
        record_result(request, event.m_outcome, now);
    if (auto* state = m_classes.find(request.m_request.m_class))
        state->remove_running(request);
    if (!event.m_outcome && event.m_outcome.error().m_verdict != verdict::not_run)
        request.m_may_have_run = true;
}

void scheduler::record_result(tracked_request& request, const outcome<void>& result, instant now)
{
    constexpr double max_charged_run_times = 100;
    constexpr int late_factor = 2;
    const auto run_time = now - request.m_dispatched_at;
    auto* state = m_classes.find(request.m_request.m_class);
    const bool timed_out = !result && result.error().m_reason == reason::timeout;
    // Only a timeout well above the usual run time is attributed to the target.
    const bool is_target_late =
        timed_out && state != nullptr && run_time > state->m_run_time.p90() * late_factor;
    if (result)
        m_targets.record_success(request.m_target);
    else if (is_target_late || is_target_fault(result.error().m_reason))
        m_targets.record_failure(request.m_target, now);
    if (state == nullptr || (!result && !timed_out))
        return;
    const double mean_run_time =
        std::max(1.0, static_cast<double>(state->m_run_time.mean().count()));
    const double excess = static_cast<double>(run_time.count()) / mean_run_time - 1;
    if (excess > 0)
        state->m_queue.charge(request.m_request.m_caller, std::min(excess, max_charged_run_times));
    state->m_run_time.add(run_time);
}

void scheduler::retry_or_fail(const tracked_request_ptr& request, const request_ended& event,
                              instant now, actions& out)
{
    const auto& error = event.m_outcome.error();
    const auto* state = m_classes.find(request->m_request.m_class);
    if (state == nullptr)
        return finish(request, error, out);
    const auto backoff = m_retries.next(*request, error, event.m_slot_free);
    if (!backoff || now + *backoff + state->m_run_time.median() > request->m_request.m_deadline)
        return finish(request, error, out);
    request->m_stage = stage::backing_off;
    m_delayed_retries.push({now + *backoff, request});
}

void scheduler::on(const slot_freed& event, instant /*now*/, actions& /*out*/)
{
    const auto node = m_held_slots.extract(event.m_id);
    if (!node.empty())
        m_targets.release(node.mapped());
}

void scheduler::on(const forward_failed& event, instant now, actions& out)
{
    const auto request = find(event.m_id);
    if (request == nullptr || request->m_stage != stage::forwarded)
        return;
    m_peers.mark_full(request->m_peer);
    if (request->m_aborted)
        return erase(request);
    if (event.m_failure.m_verdict != verdict::not_run)
        request->m_may_have_run = true;
    // A request is requeued only if the peer definitely did not run it and this entry VM has slots.
    if (event.m_failure.m_verdict != verdict::not_run || m_targets.slots() == 0)
        return finish(request, event.m_failure, out);
    requeue(request, now, out);
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
    finish(request, not_run(reason::cancelled, "the caller cancelled or disconnected"), out);
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
            finish(request, not_run(reason::unknown_class, "the class was removed"), out);
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
    expire_deadlines(now, out);
    requeue_due_retries(now, out);
    if (now - m_refreshed_at < m_options.m_refresh_interval)
        return;
    m_refreshed_at = now;
    m_classes.refresh(now, m_targets.slots());
    refuse_without_target(now, out);
}

void scheduler::expire_deadlines(instant now, actions& out)
{
    while (const auto request = m_deadlines.pop_expired(now))
        if (request->m_stage == stage::waiting || request->m_stage == stage::backing_off)
            finish(request,
                   not_run(reason::deadline_passed,
                           "the deadline passed while the request was in the queue"),
                   out);
}

void scheduler::requeue_due_retries(instant now, actions& out)
{
    while (!m_delayed_retries.empty() && m_delayed_retries.top().m_due_at <= now)
    {
        const auto request = m_delayed_retries.top().m_request;
        m_delayed_retries.pop();
        if (request->m_stage == stage::backing_off)
            requeue(request, now, out);
    }
}

} // namespace dragonflygap::request
