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

constexpr int workers = 245;
constexpr duration step = 50ms;
constexpr duration run_for = 1000s;
constexpr duration urgent_interval = 500ms;
constexpr duration urgent_runs = 20s;
constexpr duration report_interval = 2s; ///< Until an ended task is heard of, at most.
constexpr duration start_trip = 10ms;
constexpr int silent_worker_interval = 50; ///< Each so many workers confirm nothing.

struct running_task
{
    placement::job_spec m_spec;
    worker_id m_worker;
    instant m_started;
    bool m_checkpoints = false;
    instant m_ends = instant::max();
};

/// Full of work that is always replaced, with urgent tasks that come at a steady rate.
class full_cell
{
public:
    explicit full_cell(std::uint64_t seed)
        : m_jobs({.m_seed = seed, .m_most_millicores = 4000, .m_accelerator_percent = 0})
    {
        for (const auto& worker : make_workers(workers))
        {
            m_engine.set_worker(worker);
            m_capacity[worker.m_id] = worker.m_capacity;
        }
        fill();
    }

    void run()
    {
        const auto end = m_now + run_for;
        auto next_urgent = m_now;
        while (m_now < end || !m_waiting.empty())
        {
            m_now += step;
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

    std::vector<double> m_waits; ///< Seconds until an urgent task runs.
    int m_victims = 0;
    int m_services_stopped = 0;
    int m_overcommitted = 0;

private:
    struct waiting_task
    {
        placement::job_spec m_spec;
        instant m_since;
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
        // Work that waits for room is never short; a few of its jobs are tried in each step.
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
                          if (task.m_ends > m_now)
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
                              make_room(key, task.m_spec);
                              return false;
                          }
                          m_preemptor.cancel(key, m_engine);
                          start_urgent(task, *worker);
                          return true;
                      });
    }

    void make_room(const placement::preemptor::task_key& key, const placement::job_spec& spec)
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
                                  .m_elapsed = m_now - task.m_started});
        for (const auto& victim : m_preemptor.make_room(key, spec, m_engine, candidates, m_now))
        {
            auto& task = m_running.at(victim.m_task);
            task.m_ends = std::min(task.m_ends, confirmed(task));
            ++m_victims;
            m_services_stopped += victim.m_kind == placement::job_kind::service;
        }
    }

    /// When the owner hears that a task has ended which it tells to stop now.
    instant confirmed(const running_task& task)
    {
        const auto number = std::stoi(task.m_worker.m_value.substr(1));
        if (number % silent_worker_interval == 0)
            return instant::max();
        // A checkpoint takes about a second, seldom four; a plain stop a fifth of that.
        std::lognormal_distribution<double> seconds(0.0, 0.6);
        const auto taken = seconds(m_jobs.random()) * (task.m_checkpoints ? 1.0 : 0.2);
        const auto ended =
            m_now + std::chrono::duration_cast<duration>(std::chrono::duration<double>(taken));
        const auto phase = report_interval * number / workers;
        const auto since = (ended - instant{} - phase) % report_interval;
        return ended + (report_interval - since);
    }

    void start_urgent(const waiting_task& task, const worker_id& worker)
    {
        const auto waited = m_now + start_trip - task.m_since;
        m_waits.push_back(std::chrono::duration<double>(waited).count());
        m_running[task_id(task.m_spec.m_name)] = {task.m_spec, worker, m_now, false,
                                                  m_now + urgent_runs};
    }

    void check_capacity()
    {
        for (const auto& [worker, capacity] : m_capacity)
            m_overcommitted += !m_engine.committed(worker).fits_in(capacity);
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
                    quantile(cell.m_waits, 0.99), quantile(cell.m_waits, 1.0), cell.m_victims,
                    cell.m_services_stopped, cell.m_overcommitted);
    }
}

} // namespace dragonflygap::bench
