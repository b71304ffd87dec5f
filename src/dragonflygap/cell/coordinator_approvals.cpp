#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

int coordinator::fitting(const worker_state& worker, const step_spec& spec) const
{
    const int fits = times_in(size_of(spec), worker.free_for_pass());
    return spec.m_most_per_worker > 0 ? std::min(fits, spec.m_most_per_worker) : fits;
}

void coordinator::want_approval(job_state& job, const step_key& key, step_approval& approved)
{
    if (approved.m_asking || m_now < approved.m_next_ask)
        return;
    constexpr std::size_t most_named = 100; // the service takes no more
    constexpr double wanted_share = 1.5;    // some room is gone when the answer comes
    constexpr double wanted_more = 2;
    constexpr double later_room = 0.5;    // tasks for which a full worker may have room in time
    constexpr duration look_again = 50ms; // where there is nobody to ask about
    const auto& spec = job.spec(key.m_step);
    const auto& cost = job.record().m_queue.m_approval;
    const double rate = approval_rate(job.record().m_queue.m_name);
    const double wanted =
        wanted_share * job.step(key.m_occurrence, key.m_step).m_waiting + wanted_more;
    approved.m_next_ask = m_now + look_again;
    double expected = 0;
    for (const worker_state* worker : allowed(job, key, &approved, true))
        expected += std::max<double>(fitting(*worker, spec), later_room);
    if (expected >= wanted - wanted_more)
        return;
    const bool first = approved.never_asked();
    bool room_now = false;
    std::vector<worker_id> named;
    for (const worker_state* worker : m_by_room)
    {
        const auto& id = worker->m_info.m_id;
        if (expected >= wanted || named.size() >= most_named)
            break;
        if (!suits(*worker, job, spec) || approved.m_denied.count(id) != 0 ||
            approved.usable(id, m_now) != nullptr)
            continue;
        const int fits = worker->m_pass.m_closed ? 0 : fitting(*worker, spec);
        // It is asked again only where there is room; behind this one nobody has more.
        if (fits == 0 && !room_now && !first)
        {
            if (worker->free().m_millicores < spec.m_size.m_millicores)
                break;
            continue;
        }
        room_now = room_now || fits > 0;
        const bool known = approved.m_approved.count(id) != 0;
        expected += std::max<double>(fits, later_room) * (known ? 1.0 : rate);
        named.push_back(id);
    }
    if (named.empty())
        return;
    const auto time =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
            cost.m_decision_ms + cost.m_per_worker_ms * static_cast<double>(named.size())));
    const duration patience = std::max<duration>(300ms, 3 * time);
    const auto through = m_desk.choose(time, patience, m_now);
    if (!through)
        return;
    const auto expected_wait = m_desk.wait(*through, m_now) + time;
    m_desk.asked(*through, time, m_now);
    approved.m_asking = true;
    log_event(log_level::info, "approval_asked",
              {{"job", key.m_job.m_value},
               {"step", key.m_step},
               {"through", through->m_value},
               {"workers", named.size()},
               {"expected_ms", to_ms(expected_wait)}});
    m_out->push_back(ask_approval{*through, key, std::move(named), time, expected_wait});
}

step_approval* coordinator::approval_of(job_state& job, const step_key& key)
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
    if (event.m_queued)
        m_desk.set_queued(event.m_asked_by, *event.m_queued, m_now);
    count_answer(event);
    job_state* job = find(event.m_step.m_job);
    if (job == nullptr)
        return;
    auto& approved = job->step(event.m_step.m_occurrence, event.m_step.m_step).m_approval;
    approved.m_asking = false;
    constexpr duration ask_again = 100ms;
    approved.m_next_ask = m_now;
    log_event(log_level::info, "approval_answered",
              {{"job", event.m_step.m_job.m_value},
               {"step", event.m_step.m_step},
               {"asked", event.m_workers.size()},
               {"approved", event.m_result ? event.m_result->m_tickets.size() : 0},
               {"outcome", event.m_result ? "answered" : "failed"}});
    if (!event.m_result)
    {
        approved.m_next_ask = m_now + ask_again;
        return;
    }
    // Tickets must still be valid when the order arrives.
    constexpr duration way = 250ms;
    const auto until = m_now + std::chrono::milliseconds(event.m_result->m_valid_ms) - way;
    learn_approval_rate(job->record().m_queue.m_name, approved, event);
    for (const auto& worker : event.m_workers)
        approved.m_denied.insert(worker);
    for (const auto& ticket : event.m_result->m_tickets)
    {
        approved.m_denied.erase(ticket.m_worker);
        approved.m_approved.insert(ticket.m_worker);
        approved.m_tickets[ticket.m_worker] = {ticket.m_text, until};
    }
}

} // namespace dragonflygap::cell
