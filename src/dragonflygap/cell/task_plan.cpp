#include "dragonflygap/cell/task_plan.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

std::vector<task_places> plan_tasks(std::span<const candidate> candidates, const resources& size,
                                    int count, plan_order order)
{
    struct option
    {
        const candidate* m_candidate = nullptr;
        int m_fits = 0;
    };
    std::vector<option> options;
    options.reserve(candidates.size());
    for (const auto& worker : candidates)
        if (const int fits = std::min(fit_count(size, worker.m_free), worker.m_max_tasks); fits > 0)
            options.push_back({&worker, fits});
    const auto before = [order](const option& left, const option& right)
    {
        const auto key = [order](const option& entry)
        {
            const std::int64_t millicores = entry.m_candidate->m_free.m_millicores;
            return order == plan_order::fewest_workers
                       ? std::make_tuple(entry.m_candidate->m_suspicions,
                                         entry.m_candidate->m_data_remote,
                                         -std::int64_t{entry.m_fits}, millicores)
                       : std::make_tuple(entry.m_candidate->m_suspicions,
                                         entry.m_candidate->m_data_remote, millicores,
                                         std::int64_t{0});
        };
        return key(left) < key(right);
    };
    std::stable_sort(options.begin(), options.end(), before);
    std::vector<task_places> result;
    for (const auto& entry : options)
    {
        if (count <= 0)
            break;
        const int tasks = std::min(entry.m_fits, count);
        result.push_back({entry.m_candidate->m_worker->m_number, tasks});
        count -= tasks;
    }
    return result;
}

int task_count(std::span<const task_places> places)
{
    return std::accumulate(places.begin(), places.end(), 0,
                           [](int sum, const task_places& place) { return sum + place.m_tasks; });
}

} // namespace dragonflygap::cell
