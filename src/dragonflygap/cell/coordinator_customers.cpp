#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/objective.hpp"
#include "dragonflygap/observe/log.hpp"

/// Shares and backlogs of customers.
namespace dragonflygap::cell
{

// The only place from which shares and backlogs take run times.
std::int64_t coordinator::expected_ms(const job_record& record, int step)
{
    return record.m_request.m_steps[step].m_expected_ms;
}

std::vector<step_load> coordinator::load_of(const job_record& record)
{
    return cell::load_of(record.m_request, [&](int step) { return expected_ms(record, step); });
}

void coordinator::update_customers()
{
    m_shares.set_customers(m_customers, m_now);
    m_backlogs.set_limits(m_customers);
}

// Workers come and go all the time, so the sum is computed now and then, not with each job.
void coordinator::update_capacity()
{
    constexpr duration update_interval = 1s;
    if (m_customers.empty() || m_now - m_last_capacity_update < update_interval)
        return;
    m_last_capacity_update = m_now;
    resources capacity;
    for (const auto& [id, worker] : m_workers)
        if (worker.m_listed)
            capacity += worker.m_info.m_capacity;
    m_shares.set_capacity(capacity);
}

// A job without an objective runs for hours or years, so it would be beyond the share long after
// its customer has used less than that.
bool coordinator::is_beyond_share(const job_submitted& event) const
{
    return has_objective(event.m_request) &&
           m_shares.is_beyond(event.m_customer, event.m_queue.m_priority, m_now);
}

// Jobs beyond their customers' shares leave half of the queue to the others.
std::size_t coordinator::max_ready_steps(bool beyond_share) const
{
    return beyond_share ? m_options.m_max_ready_steps / 2 : m_options.m_max_ready_steps;
}

bool coordinator::reject_for_backlog(const job_submitted& event, const job_record& record)
{
    if (event.m_customer.empty() || !has_objective(record.m_request))
        return false;
    const backlog_rank rank{record.m_queue.m_priority, record.m_beyond_share};
    const auto objective = objective_of(record);
    const auto wait = m_backlogs.retry_after(event.m_customer, rank, load_of(record),
                                             {objective, objective - slack_of(record)});
    if (!wait)
        return false;
    log_event(log_level::info, "job_rejected",
              {{"job", event.m_job.m_value},
               {"cause", name_of(rejection_cause::customer_backlog)},
               {"customer", event.m_customer.m_value},
               {"priority", rank.m_priority},
               {"backlog_ms", to_ms(m_backlogs.backlog(event.m_customer, rank))},
               {"objective_ms", to_ms(objective)},
               {"retry_after_ms", to_ms(*wait)}});
    m_customer_counts.add_rejected(event.m_customer, rejection_cause::customer_backlog);
    m_actions->push_back(answer_call{event.m_call, call_status::over_limit, to_ms(*wait)});
    return true;
}

// The occurrences of a schedule are charged one by one, when they fall due.
void coordinator::charge_share(const job_record& record)
{
    if (record.m_customer.empty())
        return;
    m_shares.charge(record.m_customer, record.m_queue.m_priority, record.m_beyond_share,
                    m_shares.cell_seconds(load_of(record)), m_now);
}

// Jobs without an objective aren't work that ends, so a backlog can't tell when the next job's turn
// comes by them.
void coordinator::add_backlog(const job_state& job)
{
    const auto& record = job.record();
    if (!record.m_customer.empty() && has_objective(record.m_request))
        m_backlogs.add(job.id(), record.m_customer,
                       {record.m_queue.m_priority, record.m_beyond_share}, load_of(record));
}

void coordinator::customer_job_accepted(const job_state& job)
{
    const auto& record = job.record();
    if (record.m_customer.empty())
        return;
    if (record.m_request.m_occurrences == 0)
        charge_share(record);
    add_backlog(job);
    if (record.m_beyond_share)
        m_customer_counts.add_beyond_share(record.m_customer);
}

// Room becomes free in small pieces. If steps beyond shares took them, a wide task or a gang within
// its share would wait for as long as there is excess, whatever its rank. A step that has waited for
// long is late or fits nowhere, so it holds back nothing any more.
void coordinator::hold_back_others(const ready_step& ready)
{
    constexpr duration max_hold = 10s;
    const auto& step = *ready.m_state;
    const auto& queue = ready.m_job->record().m_queue;
    if (m_customers.empty() || ready.m_rank.m_beyond_share || !ready.m_job->m_stored ||
        step.m_waiting == 0 || m_now - step.m_ready_since >= max_hold)
        return;
    // It waits for an approval, which takes no room.
    if (queue.m_approval.required() &&
        (step.m_approval.call_in_flight() || step.m_approval.approved().empty()))
        return;
    std::pair held(queue.m_service, ready.m_job->spec(ready.m_rank.m_step.m_step).m_label);
    if (std::find(m_held_back.begin(), m_held_back.end(), held) == m_held_back.end())
        m_held_back.push_back(std::move(held));
}

bool coordinator::is_held_back(const ready_step& ready) const
{
    if (!ready.m_rank.m_beyond_share)
        return false;
    const auto& service = ready.m_job->record().m_queue.m_service;
    const auto& label = ready.m_job->spec(ready.m_rank.m_step.m_step).m_label;
    return std::any_of(m_held_back.begin(), m_held_back.end(),
                       [&](const auto& held) {
                           return held.first == service &&
                                  (held.second.empty() || held.second == label);
                       });
}

// The step keeps no room for itself meanwhile, and is looked at by the first pass that lets it.
void coordinator::hold_back(std::size_t position)
{
    auto& ready = m_ready.at(position);
    m_claims.drop(ready.m_rank.m_step);
    set_drained(*ready.m_state, {});
    m_ready.set_wake_at(position, m_now);
}

void coordinator::update_backlog(const job_state& job)
{
    if (job.record().m_customer.empty() || job.open_occurrences().empty())
        return;
    const auto& steps = job.open_occurrences().begin()->second;
    for (std::size_t s = 0; s < steps.size(); ++s)
        m_backlogs.set_remaining(job.id(), s,
                                 static_cast<std::int64_t>(steps[s].m_tasks.size()) -
                                     steps[s].m_done);
}

} // namespace dragonflygap::cell
