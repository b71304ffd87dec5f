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
    struct room
    {
        const candidate* m_candidate = nullptr;
        int m_fits = 0;
    };
    std::vector<room> rooms;
    rooms.reserve(candidates.size());
    for (const auto& one : candidates)
        if (const int fits = std::min(fit_count(size, one.m_free), one.m_max_tasks); fits > 0)
            rooms.push_back({&one, fits});
    const auto before = [order](const room& left, const room& right)
    {
        const auto key = [order](const room& one)
        {
            const std::int64_t millicores = one.m_candidate->m_free.m_millicores;
            return order == plan_order::fewest_workers
                       ? std::make_tuple(one.m_candidate->m_data_remote, -std::int64_t{one.m_fits},
                                         millicores)
                       : std::make_tuple(one.m_candidate->m_data_remote, millicores,
                                         std::int64_t{0});
        };
        return key(left) < key(right);
    };
    std::stable_sort(rooms.begin(), rooms.end(), before);
    std::vector<task_places> result;
    for (const auto& one : rooms)
    {
        if (count <= 0)
            break;
        const int tasks = std::min(one.m_fits, count);
        result.push_back({one.m_candidate->m_worker->m_info.m_id, tasks});
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
