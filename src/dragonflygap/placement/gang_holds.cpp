#include "dragonflygap/placement/gang_holds.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflygap::placement
{

bool gang_hold_table::hold(const job_spec& spec, int count, instant expires, engine& placements)
{
    release(spec.m_id, placements);
    // Displace the highest ids first, and restore their holds unchanged if that isn't enough.
    std::vector<job_id> displaced;
    auto workers = placements.place_all(spec, count);
    for (auto each = m_holds.rbegin(); !workers && each != m_holds.rend(); ++each)
    {
        if (each->first < spec.m_id)
            break;
        drop_holds(each->second, placements);
        displaced.push_back(each->first);
        workers = placements.place_all(spec, count);
    }
    if (!workers)
    {
        for (const auto& gang : displaced)
            hold_workers(m_holds.at(gang), placements);
        return false;
    }
    for (const auto& gang : displaced)
        m_holds.erase(gang);
    for (const auto& worker : *workers)
        placements.release(spec, worker);
    const auto& held = m_holds[spec.m_id] = {
        .m_spec = spec, .m_workers = std::move(*workers), .m_expires_at = expires};
    hold_workers(held, placements);
    return true;
}

std::optional<std::vector<worker_id>> gang_hold_table::confirm(const job_id& gang, instant now,
                                                               engine& placements)
{
    expire(now, placements);
    const auto found = m_holds.find(gang);
    if (found == m_holds.end())
        return std::nullopt;
    const auto held = std::move(found->second);
    m_holds.erase(found);
    for (std::size_t i = 0; i < held.m_workers.size(); ++i)
    {
        if (placements.place_on(held.m_spec, held.m_workers[i]))
            continue;
        // The worker is leaving: place none of the gang.
        for (std::size_t placed = 0; placed < i; ++placed)
            placements.release(held.m_spec, held.m_workers[placed]);
        for (auto rest = i; rest < held.m_workers.size(); ++rest)
            placements.drop_hold(gang, held.m_workers[rest]);
        return std::nullopt;
    }
    return held.m_workers;
}

void gang_hold_table::release(const job_id& gang, engine& placements)
{
    const auto found = m_holds.find(gang);
    if (found == m_holds.end())
        return;
    drop_holds(found->second, placements);
    m_holds.erase(found);
}

void gang_hold_table::expire(instant now, engine& placements)
{
    std::erase_if(m_holds,
                  [&](const auto& entry)
                  {
                      if (now < entry.second.m_expires_at)
                          return false;
                      drop_holds(entry.second, placements);
                      return true;
                  });
}

void gang_hold_table::hold_workers(const gang_hold& held, engine& placements)
{
    for (const auto& worker : held.m_workers)
        placements.hold(held.m_spec.m_id, worker, held.m_spec.m_size);
}

void gang_hold_table::drop_holds(const gang_hold& held, engine& placements)
{
    for (const auto& worker : held.m_workers)
        placements.drop_hold(held.m_spec.m_id, worker);
}

std::vector<gang_offer> gang_round::begin(int count, std::span<const gang_offer> offers)
{
    std::vector<gang_offer> sorted(offers.begin(), offers.end());
    std::ranges::stable_sort(sorted, [](const gang_offer& left, const gang_offer& right)
                             { return left.m_count > right.m_count; });
    std::vector<gang_offer> requests;
    for (const auto& offer : sorted)
    {
        const auto part = std::min(count, offer.m_count);
        if (part <= 0)
            break;
        requests.push_back({offer.m_owner, part});
        m_held[offer.m_owner] = false;
        count -= part;
    }
    if (count == 0)
        return requests;
    m_refused = true;
    return {};
}

gang_decision gang_round::record_answer(const vm_id& owner, bool held, instant now)
{
    const auto found = m_held.find(owner);
    if (found != m_held.end())
    {
        found->second = held;
        m_refused = m_refused || !held;
    }
    return check(now);
}

gang_decision gang_round::check(instant now) const
{
    if (m_refused || now + m_options.m_commit_timeout >= expires())
        return gang_decision::release;
    const bool all = std::ranges::all_of(m_held, [](const auto& entry) { return entry.second; });
    return all ? gang_decision::confirm : gang_decision::wait;
}

} // namespace dragonflygap::placement
