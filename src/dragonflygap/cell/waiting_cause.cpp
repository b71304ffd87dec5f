#include "dragonflygap/cell/waiting_cause.hpp"

#include <algorithm>
#include <iterator>
#include <optional>

#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

namespace
{

using worker_map = std::map<worker_id, worker_state>;

const placement* run_of(const task_state& task, const task_key& key, const worker_map& workers)
{
    const auto worker = workers.find(task.m_worker);
    if (worker == workers.end())
        return nullptr;
    const auto placed = worker->second.m_placements.find(key);
    return placed != worker->second.m_placements.end() && placed->second.m_run == task.m_run
               ? &placed->second
               : nullptr;
}

waiting_cause cause_of_run(const placement* run)
{
    if (run == nullptr)
        return waiting_cause::run_missing;
    return run->m_stop_requested ? waiting_cause::earlier_run_stopping
                                 : waiting_cause::earlier_run_running;
}

// The cause among members that are placed, worst first: a missing run never ends by itself.
std::optional<waiting_cause> cause_of_members(const job_state& job, const step_key& key,
                                              const worker_map& workers)
{
    const auto& tasks = job.step(key.m_occurrence, key.m_step).m_tasks;
    bool running = false;
    bool stopping = false;
    for (std::size_t i = 0; i < tasks.size(); ++i)
    {
        if (tasks[i].m_status != task_status::placed)
            continue;
        const task_key task{key.m_job, key.m_occurrence, key.m_step, static_cast<int>(i)};
        const auto cause = cause_of_run(run_of(tasks[i], task, workers));
        if (cause == waiting_cause::run_missing)
            return cause;
        running = running || cause == waiting_cause::earlier_run_running;
        stopping = stopping || cause == waiting_cause::earlier_run_stopping;
    }
    if (running)
        return waiting_cause::earlier_run_running;
    if (stopping)
        return waiting_cause::earlier_run_stopping;
    return std::nullopt;
}

// Counts the tasks of one step that fit on workers.
class fit_counter
{
public:
    fit_counter(const job_state& job, const step_key& key) : m_job(job), m_key(key) {}

    bool suits(const worker_state& worker) const
    {
        const auto& spec = m_job.spec(m_key.m_step);
        return worker.m_info.m_service == m_job.record().m_queue.m_service &&
               (spec.m_label.empty() || worker.m_info.has_label(spec.m_label));
    }
    int when_empty(const worker_state& worker) const
    {
        return worker.m_listed && suits(worker) ? limited_fit_count(worker.m_info.m_capacity, 0)
                                                : 0;
    }
    int now(const worker_state& worker) const
    {
        if (!worker.m_pass.m_open || !suits(worker))
            return 0;
        const auto here =
            std::count_if(worker.m_placements.begin(), worker.m_placements.end(),
                          [this](const auto& entry) { return step_of(entry.first) == m_key; });
        return limited_fit_count(worker.free(), static_cast<int>(here));
    }

private:
    int limited_fit_count(const resources& capacity, int here) const
    {
        const auto& spec = m_job.spec(m_key.m_step);
        const int task_limit =
            spec.m_max_per_worker > 0 ? std::max(0, spec.m_max_per_worker - here) : spec.m_count;
        return std::min({fit_count(size_of(spec), capacity), task_limit, spec.m_count});
    }

    const job_state& m_job;
    const step_key& m_key;
};

/// Number of tasks of one step that fit on a set of workers.
struct task_capacity
{
    int m_now = 0;
    int m_when_empty = 0;

    void add(const fit_counter& counter, const worker_state& worker)
    {
        m_now += counter.now(worker);
        m_when_empty += counter.when_empty(worker);
    }
};

struct task_capacities
{
    task_capacity m_ticketed;
    task_capacity m_approved;
    task_capacity m_anywhere;
};

task_capacities measure_capacity(const job_state& job, const step_key& key,
                                 const worker_map& workers, instant now)
{
    const fit_counter counter(job, key);
    const auto& approval = job.step(key.m_occurrence, key.m_step).m_approval;
    const bool needed = job.record().m_queue.m_approval.required();
    task_capacities result;
    for (const auto& [id, worker] : workers)
    {
        result.m_anywhere.add(counter, worker);
        if (!needed || approval.is_approved(worker.m_number))
            result.m_approved.add(counter, worker);
        if (!needed || approval.find_valid_ticket(worker.m_number, now) != nullptr)
            result.m_ticketed.add(counter, worker);
    }
    return result;
}

waiting_cause cause_of_capacity(const job_state& job, const step_key& key,
                                const task_capacities& capacity)
{
    const auto& spec = job.spec(key.m_step);
    const auto& approval = job.step(key.m_occurrence, key.m_step).m_approval;
    const int needed = spec.m_gang ? spec.m_count : 1;
    if (capacity.m_anywhere.m_when_empty < needed)
        return waiting_cause::too_few_workers;
    // Capacity that is free after the pass was also free when the step was visited, so it was held
    // for others.
    if (capacity.m_ticketed.m_now >= needed)
        return waiting_cause::room_held;
    if (capacity.m_ticketed.m_when_empty >= needed)
        return waiting_cause::no_room;
    if (approval.call_in_flight())
        return waiting_cause::approval_asked;
    if (approval.no_answer())
        return waiting_cause::approval_not_asked;
    if (capacity.m_approved.m_when_empty < needed)
        return waiting_cause::too_few_approved;
    // New tickets wouldn't help, as the approved workers are too full.
    if (capacity.m_approved.m_now < needed)
        return waiting_cause::no_room;
    return waiting_cause::tickets_lapsed;
}

waiting_cause cause_of(const job_state& job, const step_key& key, const worker_map& workers,
                       const wait_circumstances& circumstances, const task_capacities& capacity)
{
    const auto& step = job.step(key.m_occurrence, key.m_step);
    if (job.m_outcome || !is_waiting(job, key, workers, circumstances.m_unix_ms))
        return step.m_waiting > 0 && !job.m_outcome ? waiting_cause::not_due : waiting_cause::none;
    if (step.m_waiting == 0)
        return cause_of_members(job, key, workers).value_or(waiting_cause::none);
    if (!circumstances.m_queued)
        return waiting_cause::not_queued;
    if (job.spec(key.m_step).m_gang && step.m_waiting < static_cast<int>(step.m_tasks.size()))
        return cause_of_members(job, key, workers).value_or(waiting_cause::members_done);
    if (!job.m_stored)
        return waiting_cause::not_stored;
    if (job.m_restored && circumstances.m_workers_unsynced)
        return waiting_cause::workers_unsynced;
    if (circumstances.m_now < step.m_not_before)
        return waiting_cause::backoff;
    if (circumstances.m_held_back)
        return waiting_cause::customer_limit;
    return cause_of_capacity(job, key, capacity);
}

} // namespace

std::string_view name_of(waiting_cause cause)
{
    constexpr std::string_view names[] = {"none",
                                          "not_due",
                                          "not_queued",
                                          "run_missing",
                                          "earlier_run_stopping",
                                          "earlier_run_running",
                                          "members_done",
                                          "not_stored",
                                          "workers_unsynced",
                                          "backoff",
                                          "customer_limit",
                                          "too_few_workers",
                                          "room_held",
                                          "no_room",
                                          "approval_asked",
                                          "approval_not_asked",
                                          "too_few_approved",
                                          "tickets_lapsed"};
    static_assert(std::size(names) == static_cast<int>(waiting_cause::tickets_lapsed) + 1);
    return names[static_cast<int>(cause)];
}

std::string_view name_of(approval_pause pause)
{
    constexpr std::string_view names[] = {"none", "vms_busy", "drains_workers", "no_candidates"};
    static_assert(std::size(names) == static_cast<int>(approval_pause::no_candidates) + 1);
    return names[static_cast<int>(pause)];
}

bool is_waiting(const job_state& job, const step_key& key, const worker_map& workers,
                std::int64_t unix_ms)
{
    const auto& step = job.step(key.m_occurrence, key.m_step);
    if (job.m_outcome)
        return false;
    if (step.m_waiting > 0)
        return job.is_due(key.m_occurrence, key.m_step, unix_ms);
    const auto open =
        std::find_if(step.m_tasks.begin(), step.m_tasks.end(),
                     [](const task_state& task) { return task.m_status == task_status::placed; });
    if (open == step.m_tasks.end())
        return false;
    const auto index = static_cast<int>(open - step.m_tasks.begin());
    const auto* run = run_of(*open, {key.m_job, key.m_occurrence, key.m_step, index}, workers);
    return run == nullptr || run->m_stop_requested;
}

instant waiting_since(const job_state& job, const step_key& key)
{
    return std::max(job.m_since, job.step(key.m_occurrence, key.m_step).m_ready_since);
}

step_wait explain_wait(const job_state& job, const step_key& key, const worker_map& workers,
                       const wait_circumstances& circumstances)
{
    const auto& step = job.step(key.m_occurrence, key.m_step);
    const auto& approval = step.m_approval;
    const auto capacity = measure_capacity(job, key, workers, circumstances.m_now);
    const auto valid = std::count_if(approval.m_tickets.begin(), approval.m_tickets.end(),
                                     [&circumstances](const auto& entry)
                                     { return circumstances.m_now < entry.second.m_expires_at; });
    return {.m_step = key,
            .m_cause = cause_of(job, key, workers, circumstances, capacity),
            .m_gang = job.spec(key.m_step).m_gang,
            .m_count = job.spec(key.m_step).m_count,
            .m_waiting = step.m_waiting,
            .m_approved = approval.approved().size(),
            .m_denied = approval.denied_count(),
            .m_tickets = static_cast<std::size_t>(valid),
            .m_calls = approval.m_calls.size(),
            .m_room_ticketed = capacity.m_ticketed.m_now,
            .m_room_approved = capacity.m_approved.m_now,
            .m_room_anywhere = capacity.m_anywhere.m_now,
            .m_age = circumstances.m_now - waiting_since(job, key),
            .m_pause = step.m_approval_pause,
            .m_drained = step.m_drained.size(),
            .m_retry_in = std::max(duration{}, step.m_next_attempt_at - circumstances.m_now)};
}

} // namespace dragonflygap::cell
