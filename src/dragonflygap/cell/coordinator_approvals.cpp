#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

namespace
{

constexpr std::size_t most_named = 100; // the service takes no more
constexpr double spare_share = 0.2;     // some room is gone when the answer comes
constexpr int spare_more = 2;

duration service_time(const approval_cost& cost, std::size_t workers)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
        cost.m_decision_ms + cost.m_per_worker_ms * static_cast<double>(workers)));
}

// A call that waited at a VM would be answered for room that has gone since; it waits here, where
// the first in order gets the next free VM.
constexpr duration longest_wait = 100ms; // a VM has the next call when it has done one

} // namespace

// Asks for tickets where the step may start with them, or about workers that it knows nothing of.
// False if there is nobody to ask about.
bool coordinator::ask_for_approval(job_state& job, const step_key& key)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    const auto& cost = job.record().m_queue.m_approval;
    const auto least = service_time(cost, 1);
    const auto first_free = m_desk.choose(least, longest_wait, m_now);
    if (!first_free)
        return true; // as soon as a VM is free
    auto wanted =
        name_workers(job, key, m_desk.wait(*first_free, m_now) + service_time(cost, most_named));
    if (wanted.m_named.empty())
        return false;
    const auto time = service_time(cost, wanted.m_named.size());
    const auto through = m_desk.choose(time, longest_wait, m_now);
    if (!through)
    {
        // A call of so many workers goes through fewer VMs, and none of those is free.
        constexpr duration look_again = 20ms;
        step.m_next_look = m_now + look_again;
        return true;
    }
    const auto expected = m_desk.wait(*through, m_now) + time;
    m_desk.asked(*through, time, m_now);
    step.m_approval.m_call_in_flight = true;
    step.m_approval.m_call = ++m_last_approval_call;
    step.m_approval.m_asked_at = m_now;
    step.m_drained.clear();
    log_event(log_level::info, "approval_asked",
              {{"job", key.m_job.m_value},
               {"step", key.m_step},
               {"through", through->m_value},
               {"workers", wanted.m_named.size()},
               {"places_kept", tasks_in(wanted.m_claim.m_kept)},
               {"expected_ms", to_ms(expected)}});
    for (const auto& place : wanted.m_claim.m_hoped)
        m_workers.at(place.m_worker).m_pass.m_hoped_millicores += static_cast<std::int64_t>(
            wanted.m_claim.m_hope *
            static_cast<double>(wanted.m_claim.m_size.m_millicores * place.m_tasks));
    m_claims.set(key, std::move(wanted.m_claim));
    m_out->push_back(request_approval{m_last_approval_call, *through, key,
                                      std::move(wanted.m_named), time, expected});
    return true;
}

// A gang asks for tickets once all of its places are found, and before that only to learn which
// workers are approved; other steps do both in one call.
coordinator::wanted_approval coordinator::name_workers(const job_state& job, const step_key& key,
                                                       duration until_answer)
{
    const auto& spec = job.spec(key.m_step);
    const auto& step = job.step(key.m_occurrence, key.m_step);
    wanted_approval wanted{
        .m_claim = {.m_priority = job.record().m_queue.m_priority, .m_size = size_of(spec)}};
    wanted.m_claim.m_kept = find_places(job, key, ticket_need::known, plan_order::tightest);
    if (spec.m_gang && wanted.m_claim.m_kept.size() + spare_more > most_named)
        wanted.m_claim.m_kept = find_places(job, key, ticket_need::known, plan_order::fewest);
    name_approved(job, key, until_answer, wanted);
    if (tasks_in(wanted.m_claim.m_kept) < step.m_waiting)
        name_unknown(job, key, wanted);
    return wanted;
}

// Names the workers of the places that were found, and some more with room.
void coordinator::name_approved(const job_state& job, const step_key& key, duration until_answer,
                                wanted_approval& wanted)
{
    const auto& spec = job.spec(key.m_step);
    const auto& approval = job.step(key.m_occurrence, key.m_step).m_approval;
    const auto kept = tasks_in(wanted.m_claim.m_kept);
    if (kept == 0)
        return;
    std::set<worker_id> has_places;
    for (const auto& place : wanted.m_claim.m_kept)
    {
        has_places.insert(place.m_worker);
        if (approval.usable(place.m_worker, m_now + until_answer) == nullptr &&
            wanted.m_named.size() < most_named)
            wanted.m_named.push_back(place.m_worker);
    }
    int spare = spare_more + static_cast<int>(spare_share * kept);
    for (const worker_state* worker : allowed(job, key, ticket_need::known))
    {
        const auto& id = worker->m_info.m_id;
        if (spare <= 0 || wanted.m_named.size() >= most_named)
            break;
        const int fits = std::min(times_in(size_of(spec), worker->free_for_others()),
                                  most_on(*worker, spec, key));
        if (fits == 0 || has_places.count(id) != 0 ||
            approval.usable(id, m_now + until_answer) != nullptr)
            continue;
        spare -= fits;
        wanted.m_named.push_back(id);
    }
}

// Workers that the step knows nothing of, those first whose room the fewest others hope for.
std::vector<coordinator::unknown_worker> coordinator::unknown_workers(const job_state& job,
                                                                      const step_key& key) const
{
    const auto& spec = job.spec(key.m_step);
    const auto& approval = job.step(key.m_occurrence, key.m_step).m_approval;
    std::vector<unknown_worker> result;
    for (const worker_state* worker : m_by_room)
    {
        const auto& id = worker->m_info.m_id;
        if (!suits(*worker, job, spec) || approval.m_denied.count(id) != 0 ||
            approval.m_approved.count(id) != 0)
            continue;
        auto room = worker->free_for_others();
        room.m_millicores -= worker->m_pass.m_hoped_millicores;
        const int fits = worker->m_pass.m_closed
                             ? 0
                             : std::min(times_in(size_of(spec), room), most_on(*worker, spec, key));
        result.push_back({worker, fits, room.m_millicores});
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const unknown_worker& left, const unknown_worker& right)
                     { return left.m_millicores > right.m_millicores; });
    return result;
}

// Load pattern: many steps ask at once. Each names workers with room that the others haven't
// named, or all would get tickets for the same ones.
void coordinator::name_unknown(const job_state& job, const step_key& key, wanted_approval& wanted)
{
    constexpr double wanted_share = 1.5;
    constexpr double wanted_more = 2;
    constexpr double later_room = 0.5;      // tasks for which a full worker may have room in time
    constexpr double enough_approved = 1.5; // of the tasks, if the approved workers were empty
    const auto& spec = job.spec(key.m_step);
    const auto& step = job.step(key.m_occurrence, key.m_step);
    const double rate = approval_rate(job.record().m_queue.m_name);
    const double wanted_tasks = wanted_share * step.m_waiting + wanted_more;
    const bool first = step.m_approval.never_asked();
    double expected = 0;
    for (const worker_state* worker : allowed(job, key, ticket_need::known))
        expected += std::min(times_in(size_of(spec), worker->free_for_others()),
                             most_on(*worker, spec, key));
    std::vector<worker_id> named;
    std::vector<task_places> hoped;
    for (const auto& option : unknown_workers(job, key))
    {
        if (expected >= wanted_tasks || wanted.m_named.size() + named.size() >= most_named)
            break;
        if (option.m_fits == 0 && !first)
            continue;
        expected += rate * std::max<double>(option.m_fits, later_room);
        named.push_back(option.m_worker->m_info.m_id);
        if (option.m_fits > 0)
            hoped.push_back({option.m_worker->m_info.m_id, option.m_fits});
    }
    // It waits for room, not for more workers.
    if (spec.m_gang && !first && expected < step.m_waiting &&
        possible_tasks(job, key) >= enough_approved * step.m_waiting)
        return;
    wanted.m_claim.m_hope = rate;
    wanted.m_claim.m_hoped = std::move(hoped);
    wanted.m_named.insert(wanted.m_named.end(), named.begin(), named.end());
}

// Tasks of a step that its approved workers would take if nothing else ran there.
int coordinator::possible_tasks(const job_state& job, const step_key& key) const
{
    const auto& spec = job.spec(key.m_step);
    int tasks = 0;
    for (const auto& id : job.step(key.m_occurrence, key.m_step).m_approval.m_approved)
        if (const auto found = m_workers.find(id);
            found != m_workers.end() && found->second.m_listed)
            tasks += std::min(times_in(size_of(spec), found->second.m_info.m_capacity),
                              spec.m_max_per_worker > 0 ? spec.m_max_per_worker : spec.m_count);
    return tasks;
}

const step_approval* coordinator::approval_of(const job_state& job, const step_key& key)
{
    return job.record().m_queue.m_approval.required()
               ? &job.step(key.m_occurrence, key.m_step).m_approval
               : nullptr;
}

double coordinator::approval_rate(const queue_id& queue) const
{
    constexpr double first_guess = 0.4;
    const auto found = m_approval_rates.find(queue);
    return found == m_approval_rates.end() ? first_guess : found->second;
}

// Only workers asked about for the first time tell the rate.
void coordinator::learn_approval_rate(const queue_id& queue, const step_approval& before,
                                      const approval_answered& event)
{
    constexpr double weight = 0.02; // of one worker's answer
    constexpr double least = 0.05;
    double rate = approval_rate(queue);
    std::set<worker_id> given;
    for (const auto& ticket : event.m_result->m_tickets)
        given.insert(ticket.m_worker);
    for (const auto& worker : event.m_workers)
        if (before.m_approved.count(worker) == 0)
            rate += weight * ((given.count(worker) != 0 ? 1.0 : 0.0) - rate);
    m_approval_rates[queue] = std::max(rate, least);
}

void coordinator::on(const approval_answered& event)
{
    if (event.m_backlog_time)
        m_desk.set_queued(event.m_asked_by, *event.m_backlog_time, m_now);
    else if (!event.m_result)
        m_desk.set_silent(event.m_asked_by, m_now);
    count_answer(event);
    job_state* job = find(event.m_step.m_job);
    if (job == nullptr)
        return;
    auto& step = job->step(event.m_step.m_occurrence, event.m_step.m_step);
    auto& approved = step.m_approval;
    const bool awaited = approved.m_call_in_flight && approved.m_call == event.m_call;
    log_event(log_level::info, "approval_answered",
              {{"job", event.m_step.m_job.m_value},
               {"step", event.m_step.m_step},
               {"asked", event.m_workers.size()},
               {"approved", event.m_result ? event.m_result->m_tickets.size() : 0},
               {"age_ms", awaited ? to_ms(m_now - approved.m_asked_at) : -1},
               {"outcome", !awaited         ? "given_up"
                           : event.m_result ? "answered"
                                            : "failed"}});
    constexpr duration ask_again = 100ms;
    if (awaited)
    {
        approved.m_call_in_flight = false;
        step.m_next_look = event.m_result ? m_now : m_now + ask_again;
    }
    if (!event.m_result)
        return;
    // An answer may lie before a late leader for seconds. The service gave it no earlier than the
    // VM took for it after the call had left here; the order has its way to the worker before it.
    const duration valid = std::chrono::milliseconds(event.m_result->m_valid_ms);
    const auto way = std::min<duration>(250ms, valid / 4);
    const auto until = std::min(m_now, approved.m_asked_at + event.m_response_time) + valid - way;
    learn_approval_rate(job->record().m_queue.m_name, approved, event);
    for (const auto& worker : event.m_workers)
        approved.m_denied.insert(worker);
    for (const auto& ticket : event.m_result->m_tickets)
    {
        approved.m_denied.erase(ticket.m_worker);
        approved.m_approved.insert(ticket.m_worker);
        // Who is approved never changes; when the tickets of a call given up lapse isn't known.
        if (awaited)
            approved.m_tickets[ticket.m_worker] = {ticket.m_text, until};
    }
}

} // namespace dragonflygap::cell
