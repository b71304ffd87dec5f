#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

void coordinator::place_ready_steps()
{
    begin_pass();
    constexpr duration unsuited_check_interval = 1s;
    if (m_now - m_last_unsuited_check >= unsuited_check_interval)
    {
        m_last_unsuited_check = m_now;
        report_unsuited();
    }
    for (std::size_t position = 0; position < m_ready.size();)
    {
        const auto ready_before = m_ready.size();
        if (is_held_back(position))
        {
            ++m_held_in_pass;
            ++position;
            continue;
        }
        if (may_continue(m_ready.at(position), m_ready.wake_at(position)))
            place_step(position);
        // A step without waiting tasks is no longer ready.
        if (m_ready.size() < ready_before)
            continue;
        if (const auto& step = *m_ready.at(position).m_state; !step.m_drained.empty())
            close_drained(step);
        ++position;
    }
}

void coordinator::begin_pass()
{
    m_workers_unsynced = workers_unsynced();
    count_unknown_use();
    m_gate.begin_pass(m_now);
    m_held_in_pass = 0;
    m_free_vms.clear();
    m_index.take_grown();
    for (const auto number : std::exchange(m_closed, {}))
        if (auto* worker = m_index.find(number); worker != nullptr)
            worker->m_pass.m_closed = false;
    m_max_free = m_index.max_free();
}

// True if something that the step waits for may have happened since the last visit.
bool coordinator::may_continue(const ready_step& ready, instant wake_at)
{
    return wake_at <= m_now || fits_on_grown_worker(ready) ||
           (ready.m_wanted_call > duration{} && vm_is_free(ready.m_wanted_call));
}

bool coordinator::fits_on_grown_worker(const ready_step& ready) const
{
    if (m_index.grown().empty())
        return false;
    const auto& size = ready.m_task_size;
    const auto& approval = ready.m_state->m_approval;
    const bool needs_ticket = ready.m_job->record().m_queue.m_approval.required();
    if (needs_ticket && !ready.m_without_room && approval.m_tickets.empty())
        return false;
    const auto fits = [&](worker_number number)
    {
        const auto& worker = m_index.at(number);
        if (!worker.m_pass.m_open || !size.fits_in(worker.free()))
            return false;
        if (ready.m_without_room)
            return true;
        return size.fits_in(worker.free_for(ready.m_rank.m_priority)) &&
               (!needs_ticket || (approval.is_approved(number) &&
                                  approval.find_valid_ticket(number, m_now) != nullptr));
    };
    return std::any_of(m_index.grown().begin(), m_index.grown().end(), fits);
}

// In a full cell with a long backlog, steps that fit on no worker are skipped without a search,
// except gangs, for which workers are drained, and steps that still need their first approval call.
bool coordinator::should_try_placing(ready_step& ready) const
{
    const auto& key = ready.m_rank.m_step;
    const auto& job = *ready.m_job;
    const auto& step = *ready.m_state;
    ready.m_without_room = false;
    if (step.m_waiting == 0 || job.m_outcome || m_now < step.m_not_before ||
        (job.m_restored && m_workers_unsynced))
        return false;
    const auto& spec = job.spec(key.m_step);
    const bool first_approval = job.record().m_queue.m_approval.required() &&
                                step.m_approval.no_answer() && !step.m_approval.call_in_flight();
    if (spec.m_gang || first_approval || m_claims.has(key) || size_of(spec).fits_in(m_max_free))
        return true;
    ready.m_without_room = true;
    return false;
}

void coordinator::place_step(std::size_t position)
{
    auto& ready = m_ready.at(position);
    // Ends of tasks may remove the step from the queue.
    const auto job = ready.m_job;
    const auto rank = ready.m_rank;
    const auto& key = rank.m_step;
    ready.m_wanted_call = {};
    ready.m_held_back = false;
    const auto over_limit_since = std::exchange(ready.m_over_limit_since, instant{});
    if (!should_try_placing(ready))
        return m_ready.set_wake_at(position, next_visit(ready));
    auto& step = *ready.m_state;
    const step_approval* approved = approval_of(*job, key);
    m_claims.suspend(key);
    if (startable(*job, key) == 0)
        return hold_back(position, over_limit_since);
    if (job->m_stored)
        place_tasks(*job, key, approved);
    if (step.m_waiting == 0)
    {
        m_claims.drop(key);
        return;
    }
    if (startable(*job, key) == 0)
        return hold_back(position, over_limit_since);
    if (m_order_window.full() && (approved == nullptr || !approved->m_tickets.empty()))
    {
        // It keeps its places and goes on once orders were answered.
        m_claims.resume();
        m_ready.set_wake_at(position, m_now);
        return;
    }
    const bool call_in_flight = approved != nullptr && approved->call_in_flight();
    m_claims.resume();
    if (!call_in_flight && m_claims.has(key))
    {
        // No start followed: other steps may use the capacity before it is claimed again.
        m_claims.drop(key);
        step.m_next_attempt_at = m_now + 1ms;
    }
    if (!call_in_flight && m_now >= step.m_next_attempt_at)
        request_capacity(ready, position - std::min(position, m_held_in_pass));
    m_ready.set_wake_at(position, next_visit(ready));
}

// When a visit may have a result without any event that wakes the step before.
instant coordinator::next_visit(const ready_step& ready) const
{
    constexpr duration max_interval = 500ms; // in case that no event tells of a change
    const auto& step = *ready.m_state;
    const auto latest = m_now + max_interval;
    if (ready.m_job->m_restored && m_workers_unsynced)
        return m_now;
    if (m_now < step.m_not_before)
        return std::min(latest, step.m_not_before);
    if (ready.m_without_room || step.m_approval.call_in_flight() ||
        ready.m_wanted_call > duration{})
        return latest;
    return std::min(latest, step.m_next_attempt_at);
}

// Requests approval for a step, or drains workers for a gang. With hundreds of steps waiting in a
// full cell, a step that doesn't fit is retried less often the more steps are before it, so that a
// pass costs about the same however many wait.
void coordinator::request_capacity(ready_step& ready, std::size_t position)
{
    constexpr duration retry_interval = 50ms;
    constexpr duration interval_per_position = 1ms;
    constexpr duration max_retry_interval = 1s;
    auto& job = *ready.m_job;
    const auto& key = ready.m_rank.m_step;
    const bool gang = job.spec(key.m_step).m_gang;
    const step_approval* approved = approval_of(job, key);
    if (approved == nullptr ? !gang : request_step_approval(ready))
        return;
    if (gang)
        drain_for_gang(job, key);
    ready.m_state->m_next_attempt_at =
        m_now +
        std::min<duration>(max_retry_interval, retry_interval + position * interval_per_position);
}

void coordinator::report_unsuited()
{
    // A new leader hasn't received the list of workers yet.
    if (m_index.open_count() == 0)
        return;
    for (std::size_t i = 0; i < m_ready.size(); ++i)
        report_unsuited(*m_ready.at(i).m_job, m_ready.at(i).m_rank.m_step);
}

// Logs once that no listed worker has the service, label and capacity that a step needs. Such a
// step waits until a suitable worker is listed.
void coordinator::report_unsuited(const job_state& job, const step_key& key)
{
    const auto& spec = job.spec(key.m_step);
    const auto suited = [&](const auto& entry)
    {
        const auto& worker = entry.second;
        return worker.m_listed && suits(worker, job, spec) &&
               size_of(spec).fits_in(worker.m_info.m_capacity);
    };
    if (std::any_of(m_workers.begin(), m_workers.end(), suited) || !m_unsuited.insert(key).second)
        return;
    log_event(log_level::warning, "step_unsuited",
              {{"job", key.m_job.m_value},
               {"step", key.m_step},
               {"service", job.record().m_queue.m_service.m_value},
               {"label", spec.m_label},
               {"millicores", spec.m_size.m_millicores},
               {"memory_mb", spec.m_size.m_memory_mb},
               {"workers_listed",
                std::count_if(m_workers.begin(), m_workers.end(),
                              [](const auto& entry) { return entry.second.m_listed; })}});
}

bool coordinator::accepts_tasks(const worker_state& worker) const
{
    return worker.m_listed && worker.m_synced && worker.m_failing_since == instant{} &&
           !worker.m_info.m_leaving && m_now >= worker.m_avoid_until &&
           !worker.free_capacity_unknown() && !worker.stops_failing();
}

bool coordinator::suits(const worker_state& worker, const job_state& job, const step_spec& spec)
{
    return worker.m_info.m_service == job.record().m_queue.m_service &&
           (spec.m_label.empty() || worker.m_info.has_label(spec.m_label));
}

// Number of a step's tasks that a worker may still run, regardless of its free capacity.
int coordinator::max_tasks_on(const worker_state& worker, const step_spec& spec,
                              const step_key& key)
{
    if (spec.m_max_per_worker <= 0)
        return spec.m_count;
    const auto here =
        std::count_if(worker.m_placements.begin(), worker.m_placements.end(),
                      [&key](const auto& entry) { return step_of(entry.first) == key; });
    return std::max(0, spec.m_max_per_worker - static_cast<int>(here));
}

// Apart from approvals.
bool coordinator::is_eligible(const worker_state& worker, const job_state& job,
                              const step_key& key) const
{
    const bool closed = worker.m_pass.m_closed && !m_claims.has_firm_claim(key, worker.m_number);
    return worker.m_pass.m_open && !closed && suits(worker, job, job.spec(key.m_step)) &&
           !holds_earlier_run(worker, job, key);
}

// The workers that a step may start on; all suitable ones if it needs no approval. Without those
// that are suspected, if the step doesn't need them.
std::vector<worker_state*> coordinator::eligible_workers(const job_state& job, const step_key& key,
                                                         ticket_need need)
{
    const step_approval* approved = approval_of(job, key);
    std::vector<worker_state*> result;
    auto consider = [&](worker_state& worker)
    {
        if (is_eligible(worker, job, key))
            result.push_back(&worker);
    };
    if (approved == nullptr)
        for (const auto& [room, number] : m_index.open_workers(job.record().m_queue.m_service))
            consider(m_index.at(number));
    else if (need == ticket_need::valid)
    {
        for (const auto& [number, ticket] : approved->m_tickets)
            if (m_now < ticket.m_expires_at)
                consider(m_index.at(number));
    }
    else
        for (const auto number : approved->approved())
            consider(m_index.at(number));
    if (passes_over_suspected(job, key))
        std::erase_if(result, [this](const worker_state* worker) { return is_suspected(*worker); });
    return result;
}

std::vector<task_places> coordinator::places_on(const std::vector<worker_state*>& eligible,
                                                const job_state& job, const step_key& key,
                                                plan_order order, bool avoid_claims) const
{
    const auto& spec = job.spec(key.m_step);
    const int count = startable(job, key);
    const int priority = job.record().m_queue.m_priority;
    std::vector<candidate> candidates;
    std::set<rack_id> racks;
    candidates.reserve(eligible.size());
    for (const worker_state* worker : eligible)
    {
        candidates.push_back(
            {.m_worker = worker,
             .m_free = avoid_claims ? worker->free_for_others() : worker->free_for(priority),
             .m_max_tasks = max_tasks_on(*worker, spec, key),
             .m_data_remote =
                 !spec.m_data_rack.empty() && worker->m_info.m_rack != spec.m_data_rack,
             .m_suspicions = is_suspected(*worker) ? worker->m_suspicions : 0});
        if (spec.m_gang && spec.m_same_rack)
            racks.insert(worker->m_info.m_rack);
    }
    if (!spec.m_gang)
        return plan_tasks(candidates, size_of(spec), count, order);
    if (spec.m_same_rack)
        for (const auto& rack : racks)
        {
            std::vector<candidate> here;
            std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(here),
                         [&rack](const candidate& one)
                         { return one.m_worker->m_info.m_rack == rack; });
            if (auto places = plan_tasks(here, size_of(spec), count, order);
                task_count(places) == count)
                return places;
        }
    auto places = plan_tasks(candidates, size_of(spec), count, order);
    return task_count(places) == count ? places : std::vector<task_places>{};
}

// Places for a step's tasks that may start; for a gang, all or none. Avoids capacity claimed by
// steps of lower priority if the rest is sufficient.
std::vector<task_places> coordinator::find_places(const job_state& job, const step_key& key,
                                                  ticket_need need, plan_order order)
{
    if (!size_of(job.spec(key.m_step)).fits_in(m_max_free))
        return {};
    const auto eligible = eligible_workers(job, key, need);
    auto places = places_on(eligible, job, key, order, true);
    if (task_count(places) == startable(job, key) ||
        !m_claims.any_below(job.record().m_queue.m_priority))
        return places;
    return places_on(eligible, job, key, order, false);
}

void coordinator::log_started(const job_state& job, const step_key& key, int count) const
{
    log_event(log_level::info, "tasks_started",
              {{"job", key.m_job.m_value},
               {"step", key.m_step},
               {"count", count},
               {"waiting", job.step(key.m_occurrence, key.m_step).m_waiting},
               {"age_ms", to_ms(m_now - job.m_since)}});
}

void coordinator::place_tasks(job_state& job, const step_key& key, const step_approval* approved)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    const bool gang = job.spec(key.m_step).m_gang;
    if (gang && step.m_waiting < static_cast<int>(step.m_tasks.size()))
        return; // Tasks of an earlier run are still being stopped.
    if (approved == nullptr ? gang && m_now < step.m_next_attempt_at : approved->m_tickets.empty())
        return;
    if (m_order_window.full())
        return;
    const auto places = find_places(job, key, ticket_need::valid, plan_order::best_fit);
    if (places.empty())
        return;
    const auto gang_run = gang ? job.m_next_run++ : 0;
    auto place = places.begin();
    int here = 0;
    int started = 0;
    for (std::size_t i = 0; i < step.m_tasks.size() && place != places.end(); ++i)
    {
        if (step.m_tasks[i].m_status != task_status::waiting)
            continue;
        if (!gang && m_order_window.full())
            break;
        start(job, {key.m_job, key.m_occurrence, key.m_step, static_cast<int>(i)},
              m_index.at(place->m_worker), gang ? gang_run : job.m_next_run++, approved);
        ++started;
        if (++here == place->m_tasks)
        {
            ++place;
            here = 0;
        }
    }
    log_started(job, key, started);
    update_ready_steps(job, key.m_occurrence);
}

// Answers that an order had to wait for on its way say how long the next ones may take.
void coordinator::record_order_time(const start_answered& event)
{
    const bool on_its_way = event.m_result || event.m_result.error().m_reason == reason::timeout ||
                            event.m_result.error().m_reason == reason::target_silent;
    const bool known = on_its_way && event.m_sent != instant{};
    const duration taken = known ? m_now - event.m_sent : duration{};
    if (known)
        m_order_time.add(taken);
    m_order_window.answered(taken, m_now);
}

} // namespace dragonflygap::cell
