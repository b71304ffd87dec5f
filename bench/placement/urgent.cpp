#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <map>
#include <string>
#include <vector>

#include "dragonflygap/placement/preemption.hpp"
#include "placement/benchmarks.hpp"
#include "placement/workload.hpp"

namespace dragonflygap::bench
{

namespace
{

constexpr int worker_count = 245;
constexpr duration time_step = 50ms;
constexpr duration run_duration = 1000s;
constexpr duration urgent_interval = 500ms;
constexpr duration urgent_run_time = 20s;
constexpr duration report_interval = 2s; ///< Maximum delay until the end of a task is reported.
constexpr duration start_delay = 10ms;
constexpr int silent_worker_interval = 50; ///< One in this many workers never confirms a stop.

struct running_task
{
    placement::job_spec m_spec;
    worker_id m_worker;
    instant m_started_at;
    bool m_checkpoints = false;
    instant m_ends_at = instant::max();
};

/// A cell that is always refilled with other work, with urgent tasks arriving at a constant rate.
class full_cell
{
public:
    explicit full_cell(std::uint64_t seed)
        : m_jobs({.m_seed = seed, .m_max_millicores = 4000, .m_accelerator_percent = 0})
    {
        for (const auto& worker : make_workers(worker_count))
        {
            m_engine.set_worker(worker);
            m_capacity[worker.m_id] = worker.m_capacity;
        }
        fill();
    }

    void run()
    {
        const auto end = m_now + run_duration;
        auto next_urgent = m_now;
        while (m_now < end || !m_waiting.empty())
        {
            m_now += time_step;
            end_tasks();
            if (m_now >= next_urgent && m_now < end)
            {
                m_waiting.push_back({make_urgent(), m_now});
                next_urgent += urgent_interval;
            }
            place_urgent();
            fill();
            check_capacity();
        }
    }

    std::vector<double> m_waits; ///< Seconds until each urgent task starts.
    int m_victim_count = 0;
    int m_stopped_service_count = 0;
    int m_overcommit_count = 0;

private:
    struct waiting_task
    {
        placement::job_spec m_spec;
        instant m_waiting_since;
    };

    placement::job_spec make_urgent()
    {
        auto spec = m_jobs.next();
        spec.m_kind = placement::job_kind::batch;
        spec.m_rules = {};
        spec.m_urgent = true;
        spec.m_size.m_millicores *= 2;
        spec.m_size.m_memory_mb = spec.m_size.m_millicores * 2;
        return spec;
    }

    void fill()
    {
        // The backlog never runs out; each step tries jobs until three do not fit.
        for (int misses = 0; misses < 3;)
        {
            auto spec = m_jobs.next();
            spec.m_id = job_id(spec.m_name);
            const auto worker = m_engine.place(spec);
            if (!worker)
            {
                ++misses;
                continue;
            }
            const bool checkpoints = m_jobs.random()() % 2 == 0;
            m_running[task_id(spec.m_name)] = {spec, *worker, m_now, checkpoints, instant::max()};
        }
    }

    void end_tasks()
    {
        std::erase_if(m_running,
                      [&](const auto& entry)
                      {
                          const auto& task = entry.second;
                          if (task.m_ends_at > m_now)
                              return false;
                          m_engine.release(task.m_spec, task.m_worker);
                          return true;
                      });
    }

    void place_urgent()
    {
        std::erase_if(m_waiting,
                      [&](const waiting_task& task)
                      {
                          const placement::preemptor::task_key key{task.m_spec.m_id, 0};
                          auto worker = m_preemptor.try_place(key, m_engine);
                          if (!worker)
                              worker = m_engine.place(task.m_spec);
                          if (!worker)
                          {
                              preempt(key, task.m_spec);
                              return false;
                          }
                          m_preemptor.cancel(key, m_engine);
                          start_urgent(task, *worker);
                          return true;
                      });
    }

    void preempt(const placement::preemptor::task_key& key, const placement::job_spec& spec)
    {
        if (!m_preemptor.needs_plan(key, m_now))
            return;
        std::vector<placement::victim_candidate> candidates;
        for (const auto& [id, task] : m_running)
            candidates.push_back({.m_task = id,
                                  .m_job = task.m_spec.m_id,
                                  .m_worker = task.m_worker,
                                  .m_size = task.m_spec.m_size,
                                  .m_kind = task.m_spec.m_kind,
                                  .m_urgent = task.m_spec.m_urgent,
                                  .m_checkpoints = task.m_checkpoints,
                                  .m_elapsed = m_now - task.m_started_at});
        for (const auto& victim : m_preemptor.make_plan(key, spec, m_engine, candidates, m_now))
        {
            auto& task = m_running.at(victim.m_task);
            task.m_ends_at = std::min(task.m_ends_at, end_confirmed_at(task));
            ++m_victim_count;
            m_stopped_service_count += victim.m_kind == placement::job_kind::service;
        }
    }

    /// Time of the report that confirms the end of a task that is stopped now.
    instant end_confirmed_at(const running_task& task)
    {
        const auto number = std::stoi(task.m_worker.m_value.substr(1));
        if (number % silent_worker_interval == 0)
            return instant::max();
        // A checkpoint takes about 1 s, rarely 4 s; a stop without one takes a fifth of that.
        std::lognormal_distribution<double> stop_seconds(0.0, 0.6);
        const auto sampled_seconds =
            stop_seconds(m_jobs.random()) * (task.m_checkpoints ? 1.0 : 0.2);
        const auto ended = m_now + std::chrono::duration_cast<duration>(
                                       std::chrono::duration<double>(sampled_seconds));
        const auto phase = report_interval * number / worker_count;
        const auto since_report = (ended - instant{} - phase) % report_interval;
        return ended + (report_interval - since_report);
    }

    void start_urgent(const waiting_task& task, const worker_id& worker)
    {
        const auto waited = m_now + start_delay - task.m_waiting_since;
        m_waits.push_back(std::chrono::duration<double>(waited).count());
        m_running[task_id(task.m_spec.m_name)] = {task.m_spec, worker, m_now, false,
                                                  m_now + urgent_run_time};
    }

    void check_capacity()
    {
        for (const auto& [worker, capacity] : m_capacity)
            m_overcommit_count += !m_engine.committed(worker).fits_in(capacity);
    }

    job_source m_jobs;
    placement::engine m_engine;
    placement::preemptor m_preemptor{{}};
    std::map<worker_id, resources> m_capacity;
    std::map<task_id, running_task> m_running;
    std::vector<waiting_task> m_waiting;
    instant m_now{1000s};
};

} // namespace

void measure_urgent()
{
    for (const std::uint64_t seed : {1, 2, 3})
    {
        full_cell cell(seed);
        cell.run();
        const auto count = cell.m_waits.size();
        std::printf("seed=%d urgent_tasks=%zu start_p50_s=%.2f p99_s=%.2f max_s=%.2f victims=%d "
                    "services_stopped=%d overcommitted=%d\n",
                    static_cast<int>(seed), count, quantile(cell.m_waits, 0.5),
                    quantile(cell.m_waits, 0.99), quantile(cell.m_waits, 1.0), cell.m_victim_count,
                    cell.m_stopped_service_count, cell.m_overcommit_count);
    }
}

} // namespace dragonflygap::bench
