#include <algorithm>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/observe/log.hpp"

/// What becomes of approval calls and their tickets; changes no decision.
namespace dragonflygap::cell
{

namespace
{

void add_times(const approval_answered& event, duration age, answer_times& times)
{
    ++times.m_count;
    times.m_waited += *event.m_waited;
    times.m_service += std::max(duration{}, event.m_response_time - *event.m_waited);
    times.m_rest += std::max(duration{}, age - event.m_response_time);
}

} // namespace

bool coordinator::is_awaited(const approval_answered& event, const step_state& step)
{
    const auto& calls = step.m_approval.m_calls;
    return std::find(calls.begin(), calls.end(), event.m_call) != calls.end();
}

// The step needs no tickets any more.
bool coordinator::is_gone(const approval_answered& event) const
{
    const job_state* job = find_job(event.m_step.m_job);
    if (job == nullptr || job->m_outcome)
        return true;
    const auto occurrence = job->open_occurrences().find(event.m_step.m_occurrence);
    if (occurrence == job->open_occurrences().end())
        return true;
    const auto& step = occurrence->second[event.m_step.m_step];
    return step.m_done == static_cast<int>(step.m_tasks.size());
}

// To be called before the answer is applied.
void coordinator::record_answer(const approval_answered& event)
{
    step_state* step = find_step(event.m_step);
    if (step != nullptr)
        m_counts.m_tickets.m_lapsed += step->m_approval.drop_lapsed(m_now);
    const auto found = m_open_approvals.find(event.m_call);
    const bool open = found != m_open_approvals.end();
    const auto call = open ? found->second : open_approval{.m_sent_at = m_now};
    const auto age = m_now - call.m_sent_at;
    const auto outcome = count_end(event, step);
    if (event.m_result)
        count_tickets(event);
    if (open && event.m_waited)
        add_times(event, age, m_counts.m_answer_times);
    constexpr std::int64_t unknown_ms = -1;
    log_event(log_level::info, "approval_answered",
              {{"job", event.m_step.m_job.m_value},
               {"step", event.m_step.m_step},
               {"call", event.m_call},
               {"via", event.m_via.m_value},
               {"asked", event.m_workers.size()},
               {"approved", event.m_result ? event.m_result->m_tickets.size() : 0},
               {"expected_ms", open ? to_ms(call.m_expected) : unknown_ms},
               {"cost_ms", open ? to_ms(call.m_cost) : unknown_ms},
               {"waited_ms", event.m_waited ? to_ms(*event.m_waited) : unknown_ms},
               {"service_ms",
                event.m_waited ? to_ms(event.m_response_time - *event.m_waited) : unknown_ms},
               {"age_ms", open ? to_ms(age) : unknown_ms},
               {"outcome", outcome}});
}

// A call that timed out stays open, as its answer may still arrive.
std::string_view coordinator::count_end(const approval_answered& event, const step_state* step)
{
    auto& counts = m_counts.m_calls;
    const auto found = m_open_approvals.find(event.m_call);
    if (found == m_open_approvals.end())
    {
        ++counts.m_unexpected;
        return "unexpected";
    }
    if (!event.m_result && !event.m_backlog_time)
    {
        counts.m_timed_out += found->second.m_given_up ? 0 : 1;
        found->second.m_given_up = true;
        return "timed_out";
    }
    m_open_approvals.erase(found);
    if (!event.m_result)
    {
        ++(event.m_waited ? counts.m_failed : counts.m_unsent);
        return event.m_waited ? "failed" : "unsent";
    }
    if (is_gone(event))
    {
        ++counts.m_gone;
        return "gone";
    }
    if (!is_awaited(event, *step))
    {
        ++counts.m_given_up;
        return "given_up";
    }
    ++(step->m_waiting > 0 ? counts.m_answered : counts.m_needless);
    return step->m_waiting > 0 ? "answered" : "needless";
}

// Those that are held are counted when they are used or dropped.
void coordinator::count_tickets(const approval_answered& event)
{
    auto& counts = m_counts.m_tickets;
    const auto& tickets = event.m_result->m_tickets;
    m_counts.m_workers_named += event.m_workers.size();
    counts.m_received += tickets.size();
    if (is_gone(event))
    {
        counts.m_gone += tickets.size();
        return;
    }
    for (const auto& ticket : tickets)
        counts.m_unknown_worker += m_workers.count(ticket.m_worker) == 0 ? 1 : 0;
}

bool coordinator::window_adds_up() const
{
    const auto awaited = [](const auto& entry) { return !entry.second.m_given_up; };
    return m_approval_window.in_flight() ==
           static_cast<std::size_t>(
               std::count_if(m_open_approvals.begin(), m_open_approvals.end(), awaited));
}

// An answer may come long after the call timed out, or never.
void coordinator::end_silent_calls()
{
    constexpr duration max_age = 15s;
    while (!m_open_approvals.empty() &&
           m_now - m_open_approvals.begin()->second.m_sent_at >= max_age)
    {
        ++m_counts.m_calls.m_silent;
        if (!m_open_approvals.begin()->second.m_given_up)
            m_approval_window.answered(max_age, m_now);
        m_open_approvals.erase(m_open_approvals.begin());
    }
}

} // namespace dragonflygap::cell
