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

constexpr int workers = 100;
constexpr duration arrivals_last = 14400s;
constexpr duration tick = 1s;
constexpr double load = 0.9; ///< Of all processors, on average.

enum class queueing
{
    fifo_blocking, ///< A job that finds no room stops all behind it.
    fifo_backfill, ///< All others go ahead of a job that finds no room.
    reservation,   ///< Ours.
};

struct arrival
{
    instant m_when;
    placement::job_spec m_spec;
    duration m_runs{};
};

/// Small batch tasks and a few gangs; one in fifty runs ten times longer than the rest.
std::vector<arrival> make_arrivals(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    const auto between = [&](int low, int high)
    { return std::uniform_int_distribution<int>(low, high)(random); };
    std::vector<arrival> arrivals;
    instant now{};
    while (now < instant{} + arrivals_last)
    {
        arrival made{.m_when = now};
        auto& spec = made.m_spec;
        spec.m_name = "job" + std::to_string(arrivals.size());
        spec.m_id = job_id(spec.m_name);
        const bool gang = between(0, 99) < 3;
        spec.m_kind = gang ? placement::job_kind::gang : placement::job_kind::batch;
        spec.m_count = gang ? between(8, 40) : between(1, 4);
        spec.m_size.m_millicores = gang ? 8000 : 1000 * between(1, 4);
        spec.m_size.m_memory_mb = spec.m_size.m_millicores * 2;
        made.m_runs = between(20, 180) * 1s * (!gang && between(0, 49) == 0 ? 10 : 1);
        const auto work = std::chrono::duration<double>(made.m_runs).count() * spec.m_count *
                          static_cast<double>(spec.m_size.m_millicores);
        now += std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(work / (workers * 16000.0 * load)));
        arrivals.push_back(std::move(made));
    }
    return arrivals;
}

struct ending
{
    instant m_when;
    std::size_t m_job = 0;
    worker_id m_worker;

    bool operator>(const ending& other) const { return m_when > other.m_when; }
};

struct waits
{
    std::vector<double> m_gangs; ///< Seconds.
    std::vector<double> m_tasks;
    instant m_end{};
};

class simulation
{
public:
    simulation(std::vector<arrival> arrivals, queueing how)
        : m_arrivals(std::move(arrivals)), m_how(how)
    {
        for (const auto& worker : make_workers(workers))
        {
            m_engine.set_worker(worker);
            m_drainable.push_back({worker.m_id, worker.m_capacity, {}});
        }
    }

    waits run()
    {
        while (m_next < m_arrivals.size() || !m_queue.empty() || !m_ends.empty())
        {
            m_now += tick;
            end_tasks();
            for (; m_next < m_arrivals.size() && m_arrivals[m_next].m_when <= m_now; ++m_next)
                m_queue.push_back({m_next, m_arrivals[m_next].m_spec.m_count});
            place_queue();
        }
        m_waits.m_end = m_now;
        return m_waits;
    }

private:
    struct queued
    {
        std::size_t m_job = 0;
        int m_left = 0;
    };

    void end_tasks()
    {
        for (; !m_ends.empty() && m_ends.top().m_when <= m_now; m_ends.pop())
            m_engine.release(m_arrivals[m_ends.top().m_job].m_spec, m_ends.top().m_worker);
    }

    void place_queue()
    {
        for (auto each = m_queue.begin(); each != m_queue.end();)
        {
            place(*each);
            if (each->m_left == 0)
                each = m_queue.erase(each);
            else if (m_how == queueing::fifo_blocking)
                return;
            else
                ++each;
        }
    }

    void place(queued& job)
    {
        const auto& spec = m_arrivals[job.m_job].m_spec;
        if (spec.m_kind == placement::job_kind::gang)
            return place_gang(job, spec);
        for (; job.m_left > 0; --job.m_left)
        {
            const auto worker = m_engine.place(spec);
            if (!worker)
                return;
            start(job.m_job, *worker, m_waits.m_tasks);
        }
    }

    void place_gang(queued& job, const placement::job_spec& spec)
    {
        const auto placed = m_engine.place_all(spec, job.m_left);
        if (!placed)
        {
            if (m_how == queueing::reservation)
                m_reservation.waits(spec, job.m_left, m_engine, m_drainable, m_now);
            return;
        }
        m_reservation.ends(spec.m_id, m_engine);
        job.m_left = 0;
        std::vector<double> ignored;
        for (const auto& worker : *placed)
            start(job.m_job, worker, ignored);
        m_waits.m_gangs.push_back(ignored.front());
    }

    void start(std::size_t job, const worker_id& worker, std::vector<double>& waited)
    {
        const auto& from = m_arrivals[job];
        waited.push_back(std::chrono::duration<double>(m_now - from.m_when).count());
        m_ends.push({m_now + from.m_runs, job, worker});
    }

    std::vector<arrival> m_arrivals;
    queueing m_how;
    placement::engine m_engine;
    placement::gang_reservation m_reservation{{}};
    std::vector<placement::drainable_worker> m_drainable;
    std::list<queued> m_queue;
    std::priority_queue<ending, std::vector<ending>, std::greater<>> m_ends;
    std::size_t m_next = 0;
    instant m_now{};
    waits m_waits;
};

void measure(const char* name, queueing how)
{
    waits all;
    double ends = 0;
    for (const std::uint64_t seed : {1, 2, 3, 4, 5})
    {
        const auto one = simulation(make_arrivals(seed), how).run();
        all.m_gangs.insert(all.m_gangs.end(), one.m_gangs.begin(), one.m_gangs.end());
        all.m_tasks.insert(all.m_tasks.end(), one.m_tasks.begin(), one.m_tasks.end());
        ends += std::chrono::duration<double>(one.m_end - instant{}).count() / 5;
    }
    std::printf("queueing=%s gangs=%zu gang_wait_p50_s=%.0f p99_s=%.0f max_s=%.0f tasks=%zu "
                "task_wait_p50_s=%.0f p99_s=%.0f max_s=%.0f all_done_after_s=%.0f\n",
                name, all.m_gangs.size(), quantile(all.m_gangs, 0.5), quantile(all.m_gangs, 0.99),
                quantile(all.m_gangs, 1.0), all.m_tasks.size(), quantile(all.m_tasks, 0.5),
                quantile(all.m_tasks, 0.99), quantile(all.m_tasks, 1.0), ends);
}

} // namespace

void measure_gang_wait()
{
    measure("fifo-blocking", queueing::fifo_blocking);
    measure("fifo-backfill", queueing::fifo_backfill);
    measure("reservation", queueing::reservation);
}

} // namespace dragonflygap::bench
