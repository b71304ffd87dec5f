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

constexpr int workers = 980;

struct room
{
    resources m_capacity;
    resources m_free;
};

/// Least is best.
using score = std::function<double(std::size_t slot, const room&, const resources& size)>;

double left(const room& on, const resources& size)
{
    return static_cast<double>(on.m_free.m_millicores - size.m_millicores) /
               static_cast<double>(on.m_capacity.m_millicores) +
           static_cast<double>(on.m_free.m_memory_mb - size.m_memory_mb) /
               static_cast<double>(on.m_capacity.m_memory_mb);
}

double first_fit(std::size_t slot, const room& /*on*/, const resources& /*size*/)
{
    return static_cast<double>(slot);
}

double best_fit(std::size_t /*slot*/, const room& on, const resources& size)
{
    return left(on, size);
}

double spreading(std::size_t /*slot*/, const room& on, const resources& size)
{
    return -left(on, size);
}

/// Places one task; false if it was refused.
using place_task = std::function<bool(const placement::job_spec&)>;

place_task baseline(score weigh)
{
    std::vector<room> rooms;
    for (const auto& worker : make_workers(workers))
        rooms.push_back({worker.m_capacity, worker.m_capacity});
    return [rooms, weigh = std::move(weigh)](const placement::job_spec& spec) mutable
    {
        room* best = nullptr;
        double least = 0;
        for (std::size_t slot = 0; slot < rooms.size(); ++slot)
        {
            if (!spec.m_size.fits_in(rooms[slot].m_free))
                continue;
            const auto weighed = weigh(slot, rooms[slot], spec.m_size);
            if (best != nullptr && weighed >= least)
                continue;
            best = &rooms[slot];
            least = weighed;
        }
        if (best != nullptr)
            best->m_free -= spec.m_size;
        return best != nullptr;
    };
}

/// Best fit among a few workers drawn at random, and among all if none of these has room.
place_task sampled(std::uint64_t seed, int samples)
{
    std::vector<room> rooms;
    for (const auto& worker : make_workers(workers))
        rooms.push_back({worker.m_capacity, worker.m_capacity});
    return [rooms, samples, random = std::mt19937_64(seed)](const placement::job_spec& spec) mutable
    {
        room* best = nullptr;
        const auto consider = [&](room& on)
        {
            if (spec.m_size.fits_in(on.m_free) &&
                (best == nullptr || left(on, spec.m_size) < left(*best, spec.m_size)))
                best = &on;
        };
        for (int i = 0; i < samples; ++i)
            consider(rooms[random() % rooms.size()]);
        if (best == nullptr)
            std::ranges::for_each(rooms, consider);
        if (best != nullptr)
            best->m_free -= spec.m_size;
        return best != nullptr;
    };
}

place_task ours()
{
    auto engine = std::make_shared<placement::engine>();
    for (const auto& worker : make_workers(workers))
        engine->set_worker(worker);
    return [engine](const placement::job_spec& spec) { return engine->place(spec).has_value(); };
}

/// Committed share of the scarcest resource when the first task is refused. A fractional packing
/// of the same arrivals would bring the share to 1.
double share_at_first_refusal(const job_source_options& trace, const place_task& place)
{
    resources total;
    for (const auto& worker : make_workers(workers))
        total += worker.m_capacity;
    job_source jobs(trace);
    resources committed;
    const auto share = [&]
    {
        const auto part = [](std::int64_t of, std::int64_t all)
        { return static_cast<double>(of) / static_cast<double>(all); };
        return std::max({part(committed.m_millicores, total.m_millicores),
                         part(committed.m_memory_mb, total.m_memory_mb),
                         part(committed.m_accelerators, total.m_accelerators)});
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
        measure("first-fit", accelerators, [](auto) { return baseline(first_fit); });
        measure("best-fit", accelerators, [](auto) { return baseline(best_fit); });
        measure("spreading", accelerators, [](auto) { return baseline(spreading); });
        measure("sampled-8", accelerators, [](auto seed) { return sampled(seed, 8); });
        measure("sampled-64", accelerators, [](auto seed) { return sampled(seed, 64); });
        measure("ours", accelerators, [](auto) { return ours(); });
    }
}

} // namespace dragonflygap::bench
