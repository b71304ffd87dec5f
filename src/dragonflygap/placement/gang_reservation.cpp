#include "dragonflygap/placement/gang_reservation.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

int tasks_that_fit(const resources& size, resources room, int most)
{
    int count = 0;
    while (count < most && size.fits_in(room))
    {
        room -= size;
        ++count;
    }
    return count;
}

} // namespace

std::vector<worker_id> plan_reservation(const job_spec& gang, int count, const engine& room,
                                        std::span<const drainable_worker> workers, int widenings)
{
    struct choice
    {
        const drainable_worker* m_worker = nullptr;
        int m_now = 0;
        int m_drained = 0;
    };
    std::vector<choice> choices;
    for (const auto& worker : workers)
    {
        const auto drained =
            tasks_that_fit(gang.m_size, worker.m_capacity - worker.m_pinned, count);
        if (drained > 0 && room.admits(gang, worker.m_worker))
            choices.push_back(
                {&worker, tasks_that_fit(gang.m_size, room.free(worker.m_worker), count), drained});
    }
    std::ranges::stable_sort(choices,
                             [](const choice& left, const choice& right) {
                                 return std::pair(left.m_now, left.m_drained) >
                                        std::pair(right.m_now, right.m_drained);
                             });
    int capacity_for = 0;
    for (const auto& each : choices)
        capacity_for += each.m_drained;
    if (capacity_for < count)
        return {};
    auto wanted = count;
    for (int i = 0; i < widenings && wanted < count * static_cast<int>(choices.size()); ++i)
        wanted += std::max(1, wanted / 2);
    std::vector<worker_id> chosen;
    for (const auto& each : choices)
    {
        if (wanted <= 0)
            break;
        chosen.push_back(each.m_worker->m_worker);
        wanted -= each.m_drained;
    }
    return chosen;
}

void gang_reservation::waits(const job_spec& gang, int count, engine& room,
                             std::span<const drainable_worker> workers, instant now)
{
    auto found = std::ranges::find(m_waiting, gang.m_id, &waiting_gang::m_gang);
    if (found == m_waiting.end())
    {
        m_waiting.push_back({gang.m_id, now});
        found = std::prev(m_waiting.end());
    }
    const bool holds = m_holder == gang.m_id;
    const bool first =
        !m_holder && found == m_waiting.begin() && now - found->m_since >= m_options.m_patience;
    const bool widens = holds && now - m_last_plan >= m_options.m_widen_after;
    if (!first && !widens)
        return;
    const auto widenings = widens ? m_widenings + 1 : 0;
    const auto planned = plan_reservation(gang, count, room, workers, widenings);
    // A gang that can't fit here doesn't stand in the way of the others.
    if (planned.empty())
        return ends(gang.m_id, room);
    m_widenings = widenings;
    m_holder = gang.m_id;
    m_last_plan = now;
    room.reserve(gang.m_id, planned);
}

void gang_reservation::keep_only(const std::function<bool(const job_id&)>& wanted, engine& room)
{
    std::vector<job_id> unwanted;
    for (const auto& each : m_waiting)
        if (!wanted(each.m_gang))
            unwanted.push_back(each.m_gang);
    for (const auto& gang : unwanted)
        ends(gang, room);
}

void gang_reservation::ends(const job_id& gang, engine& room)
{
    std::erase_if(m_waiting, [&](const waiting_gang& each) { return each.m_gang == gang; });
    if (m_holder != gang)
        return;
    m_holder.reset();
    room.cancel_reservation();
}

} // namespace dragonflygap::placement
