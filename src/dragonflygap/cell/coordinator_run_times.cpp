#include <algorithm>
#include <cmath>
#include <optional>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/cell/worker_text.hpp"
#include "dragonflygap/observe/log.hpp"

/// Learned run times and the speeds of workers: what a leader takes note of, and the order of
/// workers that follows for a step. A leader starts with none: each worker's speed is learned again
/// from its next few runs, and a stored speed might be one of a former life or load.
namespace dragonflygap::cell
{

namespace
{

// A run of which more than this share may be error isn't used, as when the leader reads answers
// late.
constexpr int max_error_divisor = 2;

/// When a run began and ended, as far as this leader knows.
struct run_length
{
    instant m_began{};
    duration m_time{};
};

// The run began between the order and its acknowledgement. Its end was reported at once if a renewal
// waited at the worker, and else with the next one.
std::optional<run_length> length_of(const placement& placed, instant now, duration unwatched)
{
    if (!placed.m_timed || placed.m_confirmed_at == instant{})
        return std::nullopt;
    const duration start_error = placed.m_confirmed_at - placed.m_started;
    const auto began = placed.m_started + start_error / 2;
    const duration time = now - began;
    if (start_error + unwatched > time / max_error_divisor)
        return std::nullopt;
    return run_length{.m_began = began, .m_time = time};
}

// Tasks of such steps take longer for reasons that aren't the worker's.
bool tells_speed(const job_state& job, const step_spec& spec, const worker_state& worker)
{
    return !spec.m_long_running && !spec.m_best_effort &&
           (spec.m_data_rack.empty() || worker.m_info.m_rack == spec.m_data_rack) &&
           worker.m_info.m_service == job.record().m_queue.m_service;
}

std::string_view name_of(speed_class speed)
{
    return speed_class_names[static_cast<std::size_t>(speed)];
}

} // namespace

// Where all workers run alike, the callers' estimates order the steps as they always did.
void coordinator::expect_run_times(job_state& job) const
{
    if (!m_run_times.speeds().classes(job.record().m_queue.m_service).spread())
        return;
    std::vector<std::int64_t> expected;
    for (int s = 0; s < job.steps(); ++s)
        expected.push_back(m_run_times.expected_ms(job.record().m_queue.m_name, job.spec(s)));
    job.set_expected_ms(std::move(expected));
}

// To be called while the run is still held.
void coordinator::record_run_time(const worker_state& worker, const ended_task& end)
{
    job_state* job = m_options.m_learns_run_times ? find(end.m_task.m_job) : nullptr;
    const auto placed = worker.m_placements.find(end.m_task);
    if (job == nullptr || placed == worker.m_placements.end() ||
        placed->second.m_run != end.m_run || job->find(end.m_task) == nullptr)
        return;
    const auto& spec = job->spec(end.m_task.m_step);
    auto& step = job->step(end.m_task.m_occurrence, end.m_task.m_step);
    if (spec.m_gang)
        return record_gang_time(*job, step, spec, end);
    const auto length = length_of(placed->second, m_now, worker.m_unwatched);
    const bool last = step.m_done + 1 >= static_cast<int>(step.m_tasks.size());
    if (length && tells_speed(*job, spec, worker))
        m_run_times.add({.m_queue = job->record().m_queue,
                         .m_spec = spec,
                         .m_worker = worker.m_number,
                         .m_began = length->m_began,
                         .m_time = length->m_time},
                        last, step.m_times, m_now);
}

// A gang works from the time at which its last member started, as slowly as its slowest member. All
// members end together, so the first end is the gang's.
void coordinator::record_gang_time(const job_state& job, step_state& step, const step_spec& spec,
                                   const ended_task& end)
{
    if (step.m_done > 0)
        return;
    const worker_state* slowest = nullptr;
    std::optional<run_length> latest;
    for (int i = 0; i < spec.m_count; ++i)
    {
        const auto& task = step.m_tasks[i];
        const auto worker = m_workers.find(task.m_worker);
        if (worker == m_workers.end() || task.m_run != end.m_run)
            return;
        auto key = end.m_task;
        key.m_index = i;
        const auto placed = worker->second.m_placements.find(key);
        if (placed == worker->second.m_placements.end())
            return;
        const auto length = length_of(placed->second, m_now, worker->second.m_unwatched);
        if (!length || !tells_speed(job, spec, worker->second) ||
            (spec.m_same_rack && slowest != nullptr &&
             slowest->m_info.m_rack != worker->second.m_info.m_rack))
            return;
        if (!latest || latest->m_began < length->m_began)
            latest = length;
        const auto& speeds = m_run_times.speeds();
        if (slowest == nullptr || speeds.log_factor(worker->second.m_number) >
                                      speeds.log_factor(slowest->m_number))
            slowest = &worker->second;
    }
    if (slowest != nullptr)
        m_run_times.add({.m_queue = job.record().m_queue,
                         .m_spec = spec,
                         .m_worker = slowest->m_number,
                         .m_began = latest->m_began,
                         .m_time = latest->m_time},
                        true, step.m_times, m_now);
}

// Reports a run that takes far longer than usual there, once. New work goes elsewhere first from
// then on; the run goes on, as it may end before another would.
void coordinator::check_overdue(worker_state& worker, const task_key& key, placement& placed,
                                const job_state& job)
{
    const auto& spec = job.spec(key.m_step);
    const auto reported_at = worker.m_last_report_at;
    if (placed.m_overdue || !placed.m_timed || !placed.m_listed || spec.m_gang ||
        placed.m_confirmed_at == instant{} || !tells_speed(job, spec, worker) ||
        job.open_occurrences().count(key.m_occurrence) == 0)
        return;
    const auto began = placed.m_started + (placed.m_confirmed_at - placed.m_started) / 2;
    const auto& step = job.step(key.m_occurrence, key.m_step);
    open_run run{.m_queue = job.record().m_queue,
                 .m_spec = spec,
                 .m_worker = worker.m_number,
                 .m_elapsed = reported_at - began,
                 .m_percent = placed.m_progress_percent};
    if (placed.m_part_from != instant{})
    {
        run.m_percent_before = placed.m_part_percent;
        run.m_part = reported_at - placed.m_part_from;
        run.m_elapsed_before = placed.m_part_from - began;
    }
    const auto pace = m_run_times.pace_of(run, step.m_times, m_now);
    if (pace == run_pace::usual || placed.m_part_from == instant{})
    {
        placed.m_part_from = reported_at;
        placed.m_part_percent = placed.m_progress_percent;
    }
    if (pace != run_pace::overdue)
        return;
    placed.m_overdue = true;
    ++m_counts.m_runs_overdue;
    log_event(log_level::info, "run_overdue",
              {{"task", text_of(key)},
               {"run", placed.m_run},
               {"worker", worker.m_info.m_id.m_value},
               {"elapsed_ms", to_ms(run.m_elapsed)},
               {"percent", placed.m_progress_percent},
               {"expected_ms", job.expected_ms(key.m_step)},
               {"worker_factor", std::exp(m_run_times.speeds().log_factor(worker.m_number))}});
    m_run_times.speeds().mark_lagging(worker.m_number, worker.m_info.m_service, m_now);
}

void coordinator::forget_speed(worker_state& worker)
{
    m_run_times.speeds().forget(worker.m_number);
    set_speed(worker, speed_class::usual);
}

void coordinator::set_speed(worker_state& worker, speed_class speed)
{
    worker.m_speed = speed;
    m_index.update_room(worker);
}

// Logs the changes, up to a number each time: after a take-over all workers of a cell become known
// within seconds.
void coordinator::update_speeds()
{
    constexpr std::size_t max_logged = 20;
    std::size_t logged = 0;
    const auto& speeds = m_run_times.speeds();
    const auto changed = m_run_times.speeds().update_classes(m_now);
    for (const auto number : changed)
    {
        auto* worker = m_index.find(number);
        if (worker == nullptr)
            continue;
        const auto before = worker->m_speed;
        set_speed(*worker, speeds.class_of(number));
        if (logged++ < max_logged)
            log_event(log_level::info, "worker_speed_changed",
                      {{"worker", worker->m_info.m_id.m_value},
                       {"before", name_of(before)},
                       {"now", name_of(worker->m_speed)},
                       {"factor", std::exp(speeds.log_factor(number))},
                       {"runs", speeds.runs(number)}});
    }
    if (logged > max_logged)
        log_event(log_level::info, "worker_speeds_changed",
                  {{"workers", logged}, {"not_logged", logged - max_logged}});
}

// Tasks of one step were started on these places.
void coordinator::record_started(const job_state& job, const step_key& key,
                                 std::span<const task_places> places)
{
    const auto& queue = job.record().m_queue;
    const auto& step = job.step(key.m_occurrence, key.m_step);
    if (m_speed_order.needs_speed())
    {
        int missed = 0;
        for (const auto& place : places)
            missed += m_speed_order.wants(m_index.at(place.m_worker).m_speed) ? 0 : place.m_tasks;
        m_speed_demand[queue.m_service].started(queue.m_priority, task_count(places), missed, m_now);
    }
    if (m_options.m_learns_run_times && step.m_waiting == 0 && step.m_done == 0 &&
        !job.m_restored && step.m_ready_since != instant{})
        m_run_times.add_start_delay(queue.m_name, m_now - step.m_ready_since);
}

// The order of speed classes in which a step uses workers, by what its job still has time for.
speed_order coordinator::speed_order_for(const job_state& job, const step_key& key)
{
    const auto& queue = job.record().m_queue;
    const auto& speeds = m_run_times.speeds().classes(queue.m_service);
    if (!speeds.differ())
        return {};
    auto& demand = m_speed_demand[queue.m_service];
    if (!has_objective(job.record().m_request))
        return demand.choose(speeds, nullptr, nullptr, m_now);
    const auto& step = job.step(key.m_occurrence, key.m_step);
    const duration waited = step.m_ready_since == instant{} ? duration{} : m_now - step.m_ready_since;
    const duration order_and_report = 2 * m_order_time.mean();
    const step_need objective{
        .m_priority = queue.m_priority,
        .m_tasks = job.spec(key.m_step).m_count,
        .m_expected = std::chrono::milliseconds(job.expected_ms(key.m_step)),
        .m_others = std::max<duration>(duration{}, remaining_work(job) - time_of_step(job, key.m_step)),
        .m_chain = chain_of(job),
        .m_stretch = queue.m_stretch,
        .m_slack = std::chrono::milliseconds(queue.m_slack_ms),
        .m_age = m_now - job.m_since,
        .m_start_delay =
            std::max<duration>(duration{}, m_run_times.start_delay(queue.m_name) - waited) +
            order_and_report,
        .m_step_deviation = m_run_times.step_deviation(queue.m_name),
        .m_task_deviation = m_run_times.task_deviation(queue.m_name)};
    auto last_use = objective;
    last_use.m_stretch *= late_limit;
    last_use.m_slack *= late_limit;
    return demand.choose(speeds, &objective, &last_use, m_now);
}

} // namespace dragonflygap::cell
