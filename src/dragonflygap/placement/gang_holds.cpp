#include "dragonflygap/placement/gang_holds.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflygap::placement
{

bool hold_book::hold(const job_spec& spec, int count, instant expires, engine& room)
{
    release(spec.m_id, room);
    // The greatest ids give way first, and get their very room back if it doesn't help.
    std::vector<job_id> gave_way;
    auto workers = room.place_all(spec, count);
    for (auto each = m_holds.rbegin(); !workers && each != m_holds.rend(); ++each)
    {
        if (each->first < spec.m_id)
            break;
        give_up(each->second, room);
        gave_way.push_back(each->first);
        workers = room.place_all(spec, count);
    }
    if (!workers)
    {
        for (const auto& gang : gave_way)
            keep(m_holds.at(gang), room);
        return false;
    }
    for (const auto& gang : gave_way)
        m_holds.erase(gang);
    for (const auto& worker : *workers)
        room.release(spec, worker);
    const auto& held = m_holds[spec.m_id] = {
        .m_spec = spec, .m_workers = std::move(*workers), .m_expires = expires};
    keep(held, room);
    return true;
}

std::optional<std::vector<worker_id>> hold_book::confirm(const job_id& gang, instant now,
                                                         engine& room)
{
    expire(now, room);
    const auto found = m_holds.find(gang);
    if (found == m_holds.end())
        return std::nullopt;
    const auto held = std::move(found->second);
    m_holds.erase(found);
    for (std::size_t i = 0; i < held.m_workers.size(); ++i)
    {
        if (room.place_on(held.m_spec, held.m_workers[i]))
            continue;
        // A worker began to leave: none of the gang is placed.
        for (std::size_t taken = 0; taken < i; ++taken)
            room.release(held.m_spec, held.m_workers[taken]);
        for (auto rest = i; rest < held.m_workers.size(); ++rest)
            room.drop_hold(gang, held.m_workers[rest]);
        return std::nullopt;
    }
    return held.m_workers;
}

void hold_book::release(const job_id& gang, engine& room)
{
    const auto found = m_holds.find(gang);
    if (found == m_holds.end())
        return;
    give_up(found->second, room);
    m_holds.erase(found);
}

void hold_book::expire(instant now, engine& room)
{
    std::erase_if(m_holds,
                  [&](const auto& entry)
                  {
                      if (now < entry.second.m_expires)
                          return false;
                      give_up(entry.second, room);
                      return true;
                  });
}

void hold_book::keep(const gang_hold& kept, engine& room)
{
    for (const auto& worker : kept.m_workers)
        room.hold(kept.m_spec.m_id, worker, kept.m_spec.m_size);
}

void hold_book::give_up(const gang_hold& given, engine& room)
{
    for (const auto& worker : given.m_workers)
        room.drop_hold(given.m_spec.m_id, worker);
}

std::vector<gang_offer> gang_round::begin(int count, std::span<const gang_offer> offers)
{
    std::vector<gang_offer> sorted(offers.begin(), offers.end());
    std::ranges::stable_sort(sorted, [](const gang_offer& left, const gang_offer& right)
                             { return left.m_count > right.m_count; });
    std::vector<gang_offer> asked;
    for (const auto& offer : sorted)
    {
        const auto part = std::min(count, offer.m_count);
        if (part <= 0)
            break;
        asked.push_back({offer.m_owner, part});
        m_held[offer.m_owner] = false;
        count -= part;
    }
    if (count == 0)
        return asked;
    m_refused = true;
    return {};
}

gang_decision gang_round::answered(const vm_id& owner, bool held, instant now)
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
    if (m_refused || now + m_options.m_settle_within >= expires())
        return gang_decision::release;
    const bool all = std::ranges::all_of(m_held, [](const auto& entry) { return entry.second; });
    return all ? gang_decision::confirm : gang_decision::wait;
}

} // namespace dragonflygap::placement
