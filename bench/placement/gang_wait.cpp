#include <algorithm>
#include <chrono>
#include <cstdio>
#include <list>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "dragonflygap/placement/gang_reservation.hpp"
#include "placement/benchmarks.hpp"
#include "placement/workload.hpp"

namespace dragonflygap::bench
{

namespace
{

constexpr int worker_count = 100;
constexpr duration arrival_period = 14400s;
constexpr duration tick_interval = 1s;
constexpr double target_utilization = 0.9; ///< Mean share of all processors.

enum class queue_discipline
{
    fifo_blocking, ///< A job that does not fit blocks all behind it.
    fifo_backfill, ///< Later jobs overtake a job that does not fit.
    reservation,   ///< Workers are reserved for a waiting gang; dragonflygap's own.
};

struct arrival
{
    instant m_at;
    placement::job_spec m_spec;
    duration m_run_time{};
};

/// Small batch jobs and a few gangs. One batch job in fifty is a straggler: ten times the run time.
std::vector<arrival> make_arrivals(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto random_between = [&](int low, int high)
    { return std::uniform_int_distribution<int>(low, high)(random); };
    std::vector<arrival> arrivals;
    instant now{};
    while (now < instant{} + arrival_period)
    {
        arrival job{.m_at = now};
        auto& spec = job.m_spec;
        spec.m_name = "job" + std::to_string(arrivals.size());
        spec.m_id = job_id(spec.m_name);
        const bool gang = random_between(0, 99) < 3;
        spec.m_kind = gang ? placement::job_kind::gang : placement::job_kind::batch;
        spec.m_count = gang ? random_between(8, 40) : random_between(1, 4);
        spec.m_size.m_millicores = gang ? 8000 : 1000 * random_between(1, 4);
        spec.m_size.m_memory_mb = spec.m_size.m_millicores * 2;
        job.m_run_time =
            random_between(20, 180) * 1s * (!gang && random_between(0, 49) == 0 ? 10 : 1);
        const auto work = std::chrono::duration<double>(job.m_run_time).count() * spec.m_count *
                          static_cast<double>(spec.m_size.m_millicores);
        now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(work / (worker_count * 16000.0 * target_utilization)));
        arrivals.push_back(std::move(job));
    }
    return arrivals;
}

struct task_end
{
    instant m_at;
    std::size_t m_job = 0;
    worker_id m_worker;

    bool operator>(const task_end& other) const { return m_at > other.m_at; }
};

struct wait_times
{
    std::vector<double> m_gang_waits; ///< In seconds.
    std::vector<double> m_task_waits;
    instant m_finished_at{};
};

class simulation
{
public:
    simulation(std::vector<arrival> arrivals, queue_discipline discipline)
        : m_arrivals(std::move(arrivals)), m_discipline(discipline)
    {
        for (const auto& worker : make_workers(worker_count))
        {
            m_engine.set_worker(worker);
            m_drainable.push_back({worker.m_id, worker.m_capacity, {}});
        }
    }

    wait_times run()
    {
        while (m_next_arrival < m_arrivals.size() || !m_queue.empty() || !m_task_ends.empty())
        {
            m_now += tick_interval;
            end_tasks();
            for (; m_next_arrival < m_arrivals.size() && m_arrivals[m_next_arrival].m_at <= m_now;
                 ++m_next_arrival)
                m_queue.push_back({m_next_arrival, m_arrivals[m_next_arrival].m_spec.m_count});
            place_queue();
        }
        m_waits.m_finished_at = m_now;
        return m_waits;
    }

private:
    struct queued_job
    {
        std::size_t m_job = 0;
        int m_unplaced_count = 0;
    };

    void end_tasks()
    {
        for (; !m_task_ends.empty() && m_task_ends.top().m_at <= m_now; m_task_ends.pop())
            m_engine.release(m_arrivals[m_task_ends.top().m_job].m_spec,
                             m_task_ends.top().m_worker);
    }

    void place_queue()
    {
        for (auto job = m_queue.begin(); job != m_queue.end();)
        {
            place(*job);
            if (job->m_unplaced_count == 0)
                job = m_queue.erase(job);
            else if (m_discipline == queue_discipline::fifo_blocking)
                return;
            else
                ++job;
        }
    }

    void place(queued_job& job)
    {
        const auto& spec = m_arrivals[job.m_job].m_spec;
        if (spec.m_kind == placement::job_kind::gang)
            return place_gang(job, spec);
        for (; job.m_unplaced_count > 0; --job.m_unplaced_count)
        {
            const auto worker = m_engine.place(spec);
            if (!worker)
                return;
            start(job.m_job, *worker, m_waits.m_task_waits);
        }
    }

    void place_gang(queued_job& job, const placement::job_spec& spec)
    {
        const auto placed = m_engine.place_all(spec, job.m_unplaced_count);
        if (!placed)
        {
            if (m_discipline == queue_discipline::reservation)
                m_reservation.record_waiting(spec, job.m_unplaced_count, m_engine, m_drainable,
                                             m_now);
            return;
        }
        m_reservation.record_end(spec.m_id, m_engine);
        job.m_unplaced_count = 0;
        std::vector<double> task_waits;
        for (const auto& worker : *placed)
            start(job.m_job, worker, task_waits);
        m_waits.m_gang_waits.push_back(task_waits.front());
    }

    void start(std::size_t job, const worker_id& worker, std::vector<double>& waits)
    {
        const auto& from = m_arrivals[job];
        waits.push_back(std::chrono::duration<double>(m_now - from.m_at).count());
        m_task_ends.push({m_now + from.m_run_time, job, worker});
    }

    std::vector<arrival> m_arrivals;
    queue_discipline m_discipline;
    placement::engine m_engine;
    placement::gang_reservation m_reservation{{}};
    std::vector<placement::drainable_worker> m_drainable;
    std::list<queued_job> m_queue;
    std::priority_queue<task_end, std::vector<task_end>, std::greater<>> m_task_ends;
    std::size_t m_next_arrival = 0;
    instant m_now{};
    wait_times m_waits;
};

void measure(const char* name, queue_discipline discipline)
{
    wait_times total;
    double mean_end = 0;
    for (const std::uint64_t seed : {1, 2, 3, 4, 5})
    {
        const auto result = simulation(make_arrivals(seed), discipline).run();
        total.m_gang_waits.insert(total.m_gang_waits.end(), result.m_gang_waits.begin(),
                                  result.m_gang_waits.end());
        total.m_task_waits.insert(total.m_task_waits.end(), result.m_task_waits.begin(),
                                  result.m_task_waits.end());
        mean_end += std::chrono::duration<double>(result.m_finished_at - instant{}).count() / 5;
    }
    std::printf("queueing=%s gangs=%zu gang_wait_p50_s=%.0f p99_s=%.0f max_s=%.0f tasks=%zu "
                "task_wait_p50_s=%.0f p99_s=%.0f max_s=%.0f all_done_after_s=%.0f\n",
                name, total.m_gang_waits.size(), quantile(total.m_gang_waits, 0.5),
                quantile(total.m_gang_waits, 0.99), quantile(total.m_gang_waits, 1.0),
                total.m_task_waits.size(), quantile(total.m_task_waits, 0.5),
                quantile(total.m_task_waits, 0.99), quantile(total.m_task_waits, 1.0), mean_end);
}

} // namespace

void measure_gang_wait()
{
    measure("fifo-blocking", queue_discipline::fifo_blocking);
    measure("fifo-backfill", queue_discipline::fifo_backfill);
    measure("reservation", queue_discipline::reservation);
}

} // namespace dragonflygap::bench
