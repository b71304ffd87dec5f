#include "dragonflygap/placement/gang_reservation.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

int count_fitting(const resources& size, resources free, int max_count)
{
    int count = 0;
    while (count < max_count && size.fits_in(free))
    {
        free -= size;
        ++count;
    }
    return count;
}

} // namespace

std::vector<worker_id> plan_reservation(const job_spec& gang, int count, const engine& placements,
                                        std::span<const drainable_worker> workers, int widenings)
{
    struct choice
    {
        const drainable_worker* m_worker = nullptr;
        int m_fit_now = 0;
        int m_fit_drained = 0;
    };
    std::vector<choice> choices;
    for (const auto& worker : workers)
    {
        const auto drained = count_fitting(gang.m_size, worker.m_capacity - worker.m_pinned, count);
        if (drained > 0 && placements.admits(gang, worker.m_worker))
            choices.push_back({&worker,
                               count_fitting(gang.m_size, placements.free(worker.m_worker), count),
                               drained});
    }
    std::ranges::stable_sort(choices,
                             [](const choice& left, const choice& right)
                             {
                                 return std::pair(left.m_fit_now, left.m_fit_drained) >
                                        std::pair(right.m_fit_now, right.m_fit_drained);
                             });
    int total = 0;
    for (const auto& each : choices)
        total += each.m_fit_drained;
    if (total < count)
        return {};
    auto needed = count;
    for (int i = 0; i < widenings && needed < count * static_cast<int>(choices.size()); ++i)
        needed += std::max(1, needed / 2);
    std::vector<worker_id> chosen;
    for (const auto& each : choices)
    {
        if (needed <= 0)
            break;
        chosen.push_back(each.m_worker->m_worker);
        needed -= each.m_fit_drained;
    }
    return chosen;
}

void gang_reservation::record_waiting(const job_spec& gang, int count, engine& placements,
                                      std::span<const drainable_worker> workers, instant now)
{
    auto found = std::ranges::find(m_waiting, gang.m_id, &waiting_gang::m_gang);
    if (found == m_waiting.end())
    {
        m_waiting.push_back({gang.m_id, now});
        found = std::prev(m_waiting.end());
    }
    const bool is_holder = m_holder == gang.m_id;
    const bool may_reserve = !m_holder && found == m_waiting.begin() &&
                             now - found->m_waiting_since >= m_options.m_reservation_delay;
    const bool may_widen = is_holder && now - m_last_plan_at >= m_options.m_widen_interval;
    if (!may_reserve && !may_widen)
        return;
    const auto widenings = may_widen ? m_widenings + 1 : 0;
    const auto planned = plan_reservation(gang, count, placements, workers, widenings);
    // A gang that can't fit here must not block the others.
    if (planned.empty())
        return record_end(gang.m_id, placements);
    m_widenings = widenings;
    m_holder = gang.m_id;
    m_last_plan_at = now;
    placements.reserve(gang.m_id, planned);
}

void gang_reservation::retain(const std::function<bool(const job_id&)>& wanted, engine& placements)
{
    std::vector<job_id> unwanted;
    for (const auto& each : m_waiting)
        if (!wanted(each.m_gang))
            unwanted.push_back(each.m_gang);
    for (const auto& gang : unwanted)
        record_end(gang, placements);
}

void gang_reservation::record_end(const job_id& gang, engine& placements)
{
    std::erase_if(m_waiting, [&](const waiting_gang& each) { return each.m_gang == gang; });
    if (m_holder != gang)
        return;
    m_holder.reset();
    placements.cancel_reservation();
}

} // namespace dragonflygap::placement
