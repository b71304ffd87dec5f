#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/observe/log.hpp"

/// Start orders and their answers.
namespace dragonflygap::cell
{

void coordinator::start(job_state& job, const task_key& key, worker_state& worker,
                        std::uint64_t run, const step_approval* approved)
{
    const auto max_delay = max_start_delay();
    const auto& spec = job.spec(key.m_step);
    const auto& task = *job.find(key);
    placement placed{.m_run = run,
                     .m_size = size_of(spec),
                     .m_customer = job.m_customer,
                     .m_started = m_now,
                     .m_progress_at = m_now,
                     .m_saved_at = m_now,
                     .m_resumed = !task.m_checkpoint.empty()};
    worker.add(key, placed);
    m_index.update_room(worker);
    m_index.mark_changed(worker);
    worker.m_lease_expires_at =
        std::max(worker.m_lease_expires_at, m_now + max_delay + m_options.m_workers.m_clock_slack);
    start_order order{.m_task = key,
                      .m_run = run,
                      .m_payload = job.record().m_request.m_payload,
                      .m_checkpoint = task.m_checkpoint,
                      .m_deadline_ms = worker.clock_at(m_now) + to_ms(max_delay)};
    if (approved != nullptr)
        if (const auto* ticket = approved->find_valid_ticket(worker.m_number, m_now))
            order.m_ticket = *ticket;
    job.set_placed(key, worker.m_info.m_id, run);
    m_counts.m_tickets.m_used +=
        job.step(key.m_occurrence, key.m_step).m_approval.mark_used(worker.m_number) ? 1 : 0;
    m_order_window.sent();
    m_actions->push_back(send_start{{worker.m_info.m_id, worker.m_info.m_address},
                                    std::move(order),
                                    m_order_time.timeout(),
                                    m_now});
}

void coordinator::on(const start_answered& event)
{
    record_order_time(event);
    auto* found = find_worker(event.m_worker);
    if (found == nullptr)
        return;
    auto& worker = *found;
    if (event.m_result && event.m_sent != instant{})
        check_clock(worker, event.m_result->m_clock_ms, event.m_sent);
    const auto entry = worker.m_placements.find(event.m_task);
    if (entry == worker.m_placements.end() || entry->second.m_run != event.m_run ||
        entry->second.m_phase != placement_phase::starting)
        return;
    auto& placed = entry->second;
    job_state* job = find(event.m_task.m_job);
    if (event.m_result && event.m_result->m_refusal == start_refusal::none)
    {
        worker.set_phase(placed, placement_phase::running);
        placed.m_confirmed_at = m_now;
        if (job != nullptr)
            job->mark_started();
        worker.m_next_renewal = std::min(worker.m_next_renewal, m_now);
        return;
    }
    const auto refusal = event.m_result ? event.m_result->m_refusal : start_refusal::none;
    ++m_counts.m_starts_refused;
    log_event(log_level::info, "start_failed",
              {{"job", event.m_task.m_job.m_value},
               {"worker", event.m_worker.m_value},
               {"run", event.m_run},
               {"refusal", static_cast<int>(refusal)},
               {"detail", event.m_result ? "" : event.m_result.error().m_detail}});
    if (refusal == start_refusal::fenced)
    {
        m_deposed = true;
        m_actions->push_back(step_down{"a worker has seen a higher fencing token"});
        return;
    }
    constexpr duration start_retry_delay = 100ms;
    constexpr duration avoid_unhealthy = 1s;
    const bool unanswered = !event.m_result && event.m_result.error().m_verdict != verdict::not_run;
    if (unanswered || refusal == start_refusal::outdated)
    {
        // The run may have started or may start later: only an acknowledged stop resolves it.
        worker.set_phase(placed, placement_phase::unknown);
        worker.request_stop(placed, m_now);
        worker.m_avoid_until = std::max(worker.m_avoid_until, m_now + avoid_unhealthy);
        worker.m_next_renewal = std::min(worker.m_next_renewal, m_now);
    }
    else
    {
        step_state* step = find_step(step_of(event.m_task));
        if (refusal == start_refusal::no_ticket && step != nullptr)
            m_counts.m_tickets.m_refused += step->m_approval.drop_ticket(worker.m_number) ? 1 : 0;
        if (!event.m_result || refusal == start_refusal::unhealthy ||
            refusal == start_refusal::no_room)
            worker.m_avoid_until = std::max(worker.m_avoid_until, m_now + avoid_unhealthy);
        if (step != nullptr)
            step->m_not_before = m_now + start_retry_delay;
        release(worker, event.m_task, event.m_run);
    }
    if (job != nullptr && job->spec(event.m_task.m_step).m_gang && find_step(step_of(event.m_task)))
        stop_gang(*job, step_of(event.m_task), event.m_run);
}

} // namespace dragonflygap::cell
