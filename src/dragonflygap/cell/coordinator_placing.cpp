#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

void coordinator::place_all()
{
    open_pass();
    constexpr duration unsuited_every = 1s;
    if (m_now - m_last_unsuited_check >= unsuited_every)
    {
        m_last_unsuited_check = m_now;
        report_unsuited();
    }
    struct ready_step
    {
        job_state* m_job;
        int m_priority;
        step_key m_key;
    };
    // Starts change the set of ready steps.
    std::vector<ready_step> order;
    order.reserve(m_ready.size());
    for (const auto& [rank, job] : m_ready)
        order.push_back({job.get(), rank.m_priority, rank.m_step});
    for (std::size_t i = 0; i < order.size(); ++i)
    {
        m_claims.reach(order[i].m_priority);
        if (worth_a_look(*order[i].m_job, order[i].m_key))
            place_step(*order[i].m_job, order[i].m_key, i);
    }
}

// Workers that take new tasks, those with the most free processor time first; each pass over the
// waiting steps looks at the first of them only.
void coordinator::open_pass()
{
    m_by_room.clear();
    m_most_free = {};
    m_closed = 0;
    m_blind = blind();
    for (auto& [id, worker] : m_workers)
    {
        worker.m_pass = {.m_open = takes_tasks(worker)};
        if (!worker.m_pass.m_open)
            continue;
        m_by_room.push_back(&worker);
        const auto free = worker.free();
        m_most_free = {std::max(m_most_free.m_millicores, free.m_millicores),
                       std::max(m_most_free.m_memory_mb, free.m_memory_mb),
                       std::max(m_most_free.m_accelerators, free.m_accelerators)};
    }
    std::sort(m_by_room.begin(), m_by_room.end(),
              [](const worker_state* left, const worker_state* right)
              { return left->free().m_millicores > right->free().m_millicores; });
    m_claims.open_pass(m_workers);
}

// Load pattern: a full cell with a long backlog. A step that no worker has room for is passed over
// without a search; gangs still have room kept for them, and workers are named for a first
// approval.
bool coordinator::worth_a_look(const job_state& job, const step_key& key) const
{
    const auto& step = job.step(key.m_occurrence, key.m_step);
    if (step.m_waiting == 0 || job.m_outcome || m_now < step.m_not_before ||
        (job.m_restored && m_blind))
        return false;
    const auto& spec = job.spec(key.m_step);
    const bool first_approval = job.record().m_queue.m_approval.required() &&
                                step.m_approval.never_asked() && !step.m_approval.m_call_in_flight;
    return spec.m_gang || first_approval || m_claims.has(key) || size_of(spec).fits_in(m_most_free);
}

void coordinator::place_step(job_state& job, const step_key& key, std::size_t position)
{
    auto& step = job.step(key.m_occurrence, key.m_step);
    const step_approval* approved = approval_of(job, key);
    m_claims.lift(key, m_workers);
    if (job.m_stored)
        place_tasks(job, key, approved);
    if (step.m_waiting == 0)
    {
        m_claims.drop(key);
        return;
    }
    const bool asking = approved != nullptr && approved->m_call_in_flight;
    if (!asking && m_claims.has(key))
    {
        // An answer that led to no start: others see the room before it is claimed again.
        m_claims.drop(key);
        step.m_next_look = m_now + 1ms;
    }
    if (!asking && m_now >= step.m_next_look)
        look_for_room(job, key, position);
    m_claims.restore(key, m_workers);
    keep_drained(step);
}

// Load pattern: hundreds of steps wait behind a full cell. One that found no room is looked at
// again the later the more are before it, so that a pass costs about the same however many wait.
void coordinator::look_for_room(job_state& job, const step_key& key, std::size_t position)
{
    constexpr duration look_again = 50ms;
    constexpr duration for_each_before = 1ms;
    constexpr duration longest_gap = 1s;
    const bool gang = job.spec(key.m_step).m_gang;
    const step_approval* approved = approval_of(job, key);
    if (approved == nullptr ? !gang : ask_for_approval(job, key))
        return;
    if (gang)
        drain_for_gang(job, key);
    job.step(key.m_occurrence, key.m_step).m_next_look =
        m_now + std::min<duration>(longest_gap, look_again + position * for_each_before);
}

void coordinator::report_unsuited()
{
    // A new leader hasn't read the list of workers yet.
    if (m_by_room.empty())
        return;
    for (const auto& [rank, job] : m_ready)
        report_unsuited(*job, rank.m_step);
}

// Tells once that no listed worker has what a step needs, whatever its room: its service, its label
// and its size. Such a step waits until one comes.
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

bool coordinator::takes_tasks(const worker_state& worker) const
{
    return worker.m_listed && worker.m_synced && worker.m_failing_since == instant{} &&
           !worker.m_info.m_leaving && m_now >= worker.m_avoid_until && !worker.room_unknown();
}

bool coordinator::suits(const worker_state& worker, const job_state& job, const step_spec& spec)
{
    return worker.m_info.m_service == job.record().m_queue.m_service &&
           (spec.m_label.empty() || worker.m_info.has_label(spec.m_label));
}

// Tasks of a step that a worker may take, whatever its room.
int coordinator::most_on(const worker_state& worker, const step_spec& spec, const step_key& key)
{
    if (spec.m_max_per_worker <= 0)
        return spec.m_count;
    const auto here =
        std::count_if(worker.m_placements.begin(), worker.m_placements.end(),
                      [&key](const auto& entry) { return step_of(entry.first) == key; });
    return std::max(0, spec.m_max_per_worker - static_cast<int>(here));
}

// The workers that a step may start on: all that suit where no approval is needed.
std::vector<worker_state*> coordinator::allowed(const job_state& job, const step_key& key,
                                                ticket_need need)
{
    const auto& spec = job.spec(key.m_step);
    const step_approval* approved = approval_of(job, key);
    std::vector<worker_state*> result;
    auto consider = [&](worker_state& worker)
    {
        const bool closed = worker.m_pass.m_closed && !m_claims.keeps(key, worker.m_info.m_id);
        if (worker.m_pass.m_open && !closed && suits(worker, job, spec))
            result.push_back(&worker);
    };
    auto consider_id = [&](const worker_id& id)
    {
        if (const auto found = m_workers.find(id); found != m_workers.end())
            consider(found->second);
    };
    if (approved == nullptr)
        for (worker_state* worker : m_by_room)
            consider(*worker);
    else if (need == ticket_need::valid)
    {
        for (const auto& [id, ticket] : approved->m_tickets)
            if (m_now < ticket.m_until)
                consider_id(id);
    }
    else
        for (const auto& id : approved->m_approved)
            consider_id(id);
    return result;
}

std::vector<task_places> coordinator::places_on(const std::vector<worker_state*>& among,
                                                const job_state& job, const step_key& key,
                                                plan_order order, bool avoid_claims) const
{
    const auto& spec = job.spec(key.m_step);
    const int count = job.step(key.m_occurrence, key.m_step).m_waiting;
    std::vector<candidate> candidates;
    std::set<rack_id> racks;
    candidates.reserve(among.size());
    for (const worker_state* worker : among)
    {
        candidates.push_back(
            {.m_worker = worker,
             .m_free = avoid_claims ? worker->free_for_others() : worker->free_for_pass(),
             .m_most = most_on(*worker, spec, key),
             .m_far = !spec.m_data_rack.empty() && worker->m_info.m_rack != spec.m_data_rack});
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
                tasks_in(places) == count)
                return places;
        }
    auto places = plan_tasks(candidates, size_of(spec), count, order);
    return tasks_in(places) == count ? places : std::vector<task_places>{};
}

// Places for the waiting tasks of a step, of a gang for all or none; where there is room enough,
// beside what less urgent steps claim.
std::vector<task_places> coordinator::find_places(const job_state& job, const step_key& key,
                                                  ticket_need need, plan_order order)
{
    if (!size_of(job.spec(key.m_step)).fits_in(m_most_free))
        return {};
    const auto among = allowed(job, key, need);
    auto places = places_on(among, job, key, order, true);
    if (tasks_in(places) == job.step(key.m_occurrence, key.m_step).m_waiting ||
        !m_claims.any_avoidable())
        return places;
    return places_on(among, job, key, order, false);
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
        return; // members of an earlier run are still being stopped
    if (approved == nullptr ? gang && m_now < step.m_next_look : approved->m_tickets.empty())
        return;
    const auto places = find_places(job, key, ticket_need::valid, plan_order::tightest);
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
        start(job, {key.m_job, key.m_occurrence, key.m_step, static_cast<int>(i)},
              m_workers.at(place->m_worker), gang ? gang_run : job.m_next_run++, approved);
        ++started;
        if (++here == place->m_tasks)
        {
            ++place;
            here = 0;
        }
    }
    log_started(job, key, started);
    refresh(job, key.m_occurrence);
}

void coordinator::start(job_state& job, const task_key& key, worker_state& worker,
                        std::uint64_t run, const step_approval* approved)
{
    const auto& options = m_options.m_workers;
    const auto& spec = job.spec(key.m_step);
    const auto& task = *job.find(key);
    placement placed{
        .m_run = run, .m_size = size_of(spec), .m_started = m_now, .m_percent_since = m_now};
    worker.add(key, placed);
    worker.m_lease_until =
        std::max(worker.m_lease_until, m_now + options.m_order_window + options.m_clock_slack);
    start_order order{.m_task = key,
                      .m_run = run,
                      .m_payload = job.record().m_request.m_payload,
                      .m_checkpoint = task.m_checkpoint,
                      .m_deadline_ms = worker.clock_at(m_now) + to_ms(options.m_order_window)};
    if (approved != nullptr)
        if (const auto* ticket = approved->usable(worker.m_info.m_id, m_now))
            order.m_ticket = *ticket;
    job.set_placed(key, worker.m_info.m_id, run);
    m_counts.m_tickets_used +=
        job.step(key.m_occurrence, key.m_step).m_approval.mark_used(worker.m_info.m_id) ? 1 : 0;
    m_out->push_back(send_start{{worker.m_info.m_id, worker.m_info.m_address}, std::move(order)});
}

void coordinator::on(const start_answered& event)
{
    const auto found = m_workers.find(event.m_worker);
    if (found == m_workers.end())
        return;
    auto& worker = found->second;
    const auto entry = worker.m_placements.find(event.m_task);
    if (entry == worker.m_placements.end() || entry->second.m_run != event.m_run ||
        entry->second.m_phase != placement_phase::starting)
        return;
    auto& placed = entry->second;
    job_state* job = find(event.m_task.m_job);
    if (event.m_result && event.m_result->m_refusal == start_refusal::none)
    {
        placed.m_phase = placement_phase::running;
        placed.m_settled_at = m_now;
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
        m_out->push_back(step_down{"a worker knows a higher token"});
        return;
    }
    constexpr duration setback = 100ms;
    constexpr duration avoid_unhealthy = 1s;
    const bool unanswered = !event.m_result && event.m_result.error().m_verdict != verdict::not_run;
    if (unanswered || refusal == start_refusal::outdated)
    {
        // It may run, or begin later: a stop that is acknowledged settles it.
        placed.m_phase = placement_phase::unknown;
        worker.want_stop(placed, m_now);
        worker.m_avoid_until = std::max(worker.m_avoid_until, m_now + avoid_unhealthy);
        worker.m_next_renewal = std::min(worker.m_next_renewal, m_now);
    }
    else
    {
        if (refusal == start_refusal::no_ticket && job != nullptr)
            job->step(event.m_task.m_occurrence, event.m_task.m_step)
                .m_approval.m_tickets.erase(event.m_worker);
        if (!event.m_result || refusal == start_refusal::unhealthy ||
            refusal == start_refusal::no_room)
            worker.m_avoid_until = std::max(worker.m_avoid_until, m_now + avoid_unhealthy);
        release(worker, event.m_task);
        if (job != nullptr)
        {
            job->set_waiting(event.m_task);
            job->step(event.m_task.m_occurrence, event.m_task.m_step).m_not_before =
                m_now + setback;
            refresh(*job, event.m_task.m_occurrence);
        }
    }
    if (job != nullptr && job->spec(event.m_task.m_step).m_gang)
        stop_gang(*job, step_of(event.m_task), event.m_run);
}

} // namespace dragonflygap::cell
