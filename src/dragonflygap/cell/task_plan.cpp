#include "dragonflygap/cell/task_plan.hpp"

#include <algorithm>
#include <numeric>
#include <tuple>

#include "dragonflygap/cell/task_size.hpp"

namespace dragonflygap::cell
{

std::vector<task_places> plan_tasks(std::span<const candidate> among, const resources& size,
                                    int count, plan_order order)
{
    struct room
    {
        const candidate* m_of = nullptr;
        int m_fits = 0;
    };
    std::vector<room> rooms;
    rooms.reserve(among.size());
    for (const auto& one : among)
        if (const int fits = std::min(times_in(size, one.m_free), one.m_most); fits > 0)
            rooms.push_back({&one, fits});
    const auto before = [order](const room& left, const room& right)
    {
        const auto key = [order](const room& one)
        {
            const std::int64_t millicores = one.m_of->m_free.m_millicores;
            return order == plan_order::fewest
                       ? std::make_tuple(one.m_of->m_far, -std::int64_t{one.m_fits}, millicores)
                       : std::make_tuple(one.m_of->m_far, millicores, std::int64_t{0});
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
        result.push_back({one.m_of->m_worker->m_info.m_id, tasks});
        count -= tasks;
    }
    return result;
}

int tasks_in(std::span<const task_places> places)
{
    return std::accumulate(places.begin(), places.end(), 0,
                           [](int sum, const task_places& place) { return sum + place.m_tasks; });
}

} // namespace dragonflygap::cell
