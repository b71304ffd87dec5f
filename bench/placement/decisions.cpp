#include <chrono>
#include <cstdio>
#include <utility>

#include "placement/allocations.hpp"
#include "placement/benchmarks.hpp"
#include "placement/workload.hpp"

namespace dragonflygap::bench
{

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr double tasks_per_worker = 15000.0 / 980.0;
constexpr std::int64_t max_millicores = 2750;
constexpr int decision_count = 200000;

struct running_task
{
    std::size_t m_spec_index = 0;
    worker_id m_worker;
};

/// A cell that stays full: one task ends for each that starts.
class full_cell
{
public:
    explicit full_cell(int workers) : m_jobs({.m_seed = seed, .m_max_millicores = max_millicores})
    {
        for (const auto& worker : make_workers(workers))
            m_engine.set_worker(worker);
        const auto tasks = static_cast<std::size_t>(workers * tasks_per_worker);
        while (m_tasks.size() < tasks && place_job())
        {
        }
    }

    std::size_t running() const { return m_tasks.size(); }

    /// Ends a random task and places one of a random job. Returns the time of each in microseconds.
    std::pair<double, double> replace_task()
    {
        const auto ended_index = m_jobs.random()() % m_tasks.size();
        const auto job = m_jobs.random()() % m_specs.size();
        auto& task = m_tasks[ended_index];
        const auto begin = std::chrono::steady_clock::now();
        m_engine.release(m_specs[task.m_spec_index], task.m_worker);
        const auto released = std::chrono::steady_clock::now();
        const auto worker = m_engine.place(m_specs[job]);
        const auto end = std::chrono::steady_clock::now();
        if (worker)
            task = {job, *worker};
        else
        {
            m_refused_count += 1;
            m_engine.adopt(m_specs[task.m_spec_index], task.m_worker);
        }
        const auto us = [](auto from, auto to)
        { return std::chrono::duration<double, std::micro>(to - from).count(); };
        return {us(begin, released), us(released, end)};
    }

    int refused() const { return m_refused_count; }

private:
    bool place_job()
    {
        m_specs.push_back(m_jobs.next());
        const auto& spec = m_specs.back();
        for (int i = 0; i < spec.m_count; ++i)
        {
            const auto worker = m_engine.place(spec);
            if (!worker)
                return spec.m_size.m_accelerators > 0;
            m_tasks.push_back({m_specs.size() - 1, *worker});
        }
        return true;
    }

    job_source m_jobs;
    placement::engine m_engine;
    std::vector<placement::job_spec> m_specs;
    std::vector<running_task> m_tasks;
    int m_refused_count = 0;
};

void measure(int workers)
{
    full_cell cell(workers);
    // Warm-up: lets every group of tasks reach its steady-state size.
    for (int i = 0; i < decision_count; ++i)
        cell.replace_task();
    std::vector<double> times;
    times.reserve(decision_count);
    double total_us = 0;
    const auto allocated = heap_allocations();
    for (int i = 0; i < decision_count; ++i)
    {
        const auto [release, place] = cell.replace_task();
        times.push_back(place);
        total_us += release + place;
    }
    const auto heap = static_cast<double>(heap_allocations() - allocated) / decision_count;
    std::printf("workers=%d tasks=%zu p50_us=%.2f p99_us=%.2f max_us=%.1f "
                "place_and_release_per_s=%.0f heap_allocations_per_decision=%.4f refused=%d\n",
                workers, cell.running(), quantile(times, 0.5), quantile(times, 0.99),
                quantile(times, 1.0), decision_count / total_us * 1e6, heap, cell.refused());
}

} // namespace

void measure_decisions()
{
    for (const int workers : {100, 245, 490, 980, 2000, 5000})
        measure(workers);
}

} // namespace dragonflygap::bench
