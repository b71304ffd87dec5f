#include <algorithm>
#include <cmath>
#include <cstdio>
#include <functional>
#include <string>

#include "placement/benchmarks.hpp"
#include "placement/workload.hpp"

namespace dragonflygap::bench
{

namespace
{

constexpr int worker_count = 980;

struct worker_resources
{
    resources m_capacity;
    resources m_free;
};

/// Score of a worker for a task; the lowest wins.
using score_function =
    std::function<double(std::size_t slot, const worker_resources&, const resources& size)>;

double remaining_share(const worker_resources& worker, const resources& size)
{
    return static_cast<double>(worker.m_free.m_millicores - size.m_millicores) /
               static_cast<double>(worker.m_capacity.m_millicores) +
           static_cast<double>(worker.m_free.m_memory_mb - size.m_memory_mb) /
               static_cast<double>(worker.m_capacity.m_memory_mb);
}

double first_fit(std::size_t slot, const worker_resources& /*worker*/, const resources& /*size*/)
{
    return static_cast<double>(slot);
}

double best_fit(std::size_t /*slot*/, const worker_resources& worker, const resources& size)
{
    return remaining_share(worker, size);
}

double spreading(std::size_t /*slot*/, const worker_resources& worker, const resources& size)
{
    return -remaining_share(worker, size);
}

/// Places one task; returns false if no worker has capacity for it.
using place_task = std::function<bool(const placement::job_spec&)>;

place_task scored_policy(score_function score)
{
    std::vector<worker_resources> worker_list;
    for (const auto& worker : make_workers(worker_count))
        worker_list.push_back({worker.m_capacity, worker.m_capacity});
    return [worker_list, score = std::move(score)](const placement::job_spec& spec) mutable
    {
        worker_resources* best = nullptr;
        double best_score = 0;
        for (std::size_t slot = 0; slot < worker_list.size(); ++slot)
        {
            if (!spec.m_size.fits_in(worker_list[slot].m_free))
                continue;
            const auto current_score = score(slot, worker_list[slot], spec.m_size);
            if (best != nullptr && current_score >= best_score)
                continue;
            best = &worker_list[slot];
            best_score = current_score;
        }
        if (best != nullptr)
            best->m_free -= spec.m_size;
        return best != nullptr;
    };
}

/// Best fit among a random sample of workers, or among all if the task fits on none of these.
place_task sampled_policy(std::uint64_t seed, int samples)
{
    std::vector<worker_resources> worker_list;
    for (const auto& worker : make_workers(worker_count))
        worker_list.push_back({worker.m_capacity, worker.m_capacity});
    return [worker_list, samples,
            random = std::mt19937_64(seed)](const placement::job_spec& spec) mutable
    {
        worker_resources* best = nullptr;
        const auto consider = [&](worker_resources& worker)
        {
            if (spec.m_size.fits_in(worker.m_free) &&
                (best == nullptr ||
                 remaining_share(worker, spec.m_size) < remaining_share(*best, spec.m_size)))
                best = &worker;
        };
        for (int i = 0; i < samples; ++i)
            consider(worker_list[random() % worker_list.size()]);
        if (best == nullptr)
            std::ranges::for_each(worker_list, consider);
        if (best != nullptr)
            best->m_free -= spec.m_size;
        return best != nullptr;
    };
}

place_task engine_policy()
{
    auto engine = std::make_shared<placement::engine>();
    for (const auto& worker : make_workers(worker_count))
        engine->set_worker(worker);
    return [engine](const placement::job_spec& spec) { return engine->place(spec).has_value(); };
}

/// Committed share of the scarcest resource when the first task is refused. An ideal fractional
/// packing of the same arrivals would reach 1.
double share_at_first_refusal(const job_source_options& trace, const place_task& place)
{
    resources total;
    for (const auto& worker : make_workers(worker_count))
        total += worker.m_capacity;
    job_source jobs(trace);
    resources committed;
    const auto share = [&]
    {
        const auto fraction = [](std::int64_t amount, std::int64_t whole)
        { return static_cast<double>(amount) / static_cast<double>(whole); };
        return std::max({fraction(committed.m_millicores, total.m_millicores),
                         fraction(committed.m_memory_mb, total.m_memory_mb),
                         fraction(committed.m_accelerators, total.m_accelerators)});
    };
    while (true)
    {
        const auto spec = jobs.next();
        for (int i = 0; i < spec.m_count; ++i)
        {
            if (!place(spec))
                return share();
            committed += spec.m_size;
        }
    }
}

void measure(const char* name, int accelerator_percent,
             const std::function<place_task(std::uint64_t seed)>& make)
{
    std::vector<double> shares;
    for (const std::uint64_t seed : {101, 102, 103, 104, 105, 106, 107, 108, 109, 110, 111})
        shares.push_back(share_at_first_refusal(
            {.m_seed = seed, .m_accelerator_percent = accelerator_percent}, make(seed)));
    std::printf(
        "accelerator_jobs=%d%% policy=%s share_of_scarcest_median=%.4f least=%.4f most=%.4f\n",
        accelerator_percent, name, quantile(shares, 0.5), quantile(shares, 0.0),
        quantile(shares, 1.0));
}

} // namespace

void measure_packing()
{
    for (const int accelerators : {5, 10})
    {
        measure("first-fit", accelerators, [](auto) { return scored_policy(first_fit); });
        measure("best-fit", accelerators, [](auto) { return scored_policy(best_fit); });
        measure("spreading", accelerators, [](auto) { return scored_policy(spreading); });
        measure("sampled-8", accelerators, [](auto seed) { return sampled_policy(seed, 8); });
        measure("sampled-64", accelerators, [](auto seed) { return sampled_policy(seed, 64); });
        measure("ours", accelerators, [](auto) { return engine_policy(); });
    }
}

} // namespace dragonflygap::bench
