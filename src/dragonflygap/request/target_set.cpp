#include "dragonflygap/request/target_set.hpp"

#include <algorithm>

namespace dragonflygap::request
{

bool is_target_fault(reason why)
{
    return why == reason::target_unreachable || why == reason::target_refused ||
           why == reason::target_silent || why == reason::target_failed || why == reason::internal;
}

void target_set::assign(std::span<const target> targets)
{
    for (auto& item : m_entries)
        item.m_owned = false;
    for (const auto& named : targets)
    {
        auto* known = find(named.m_id);
        if (known == nullptr)
            known = &m_entries.emplace_back();
        known->m_target = named;
        known->m_owned = true;
        m_index[named.m_id] = static_cast<std::size_t>(known - m_entries.data());
    }
    std::erase_if(m_entries,
                  [](const entry& item) { return !item.m_owned && item.m_running == 0; });
    recount();
}

void target_set::recount()
{
    m_index.clear();
    m_owned = 0;
    m_slots = 0;
    for (std::size_t i = 0; i < m_entries.size(); ++i)
    {
        m_index[m_entries[i].m_target.m_id] = i;
        m_owned += m_entries[i].m_owned ? 1 : 0;
        m_slots += usable_slots(m_entries[i]);
    }
}

int target_set::usable_slots(const entry& item)
{
    if (!item.m_owned || item.m_target.m_leaving || item.m_health == health::ejected)
        return 0;
    return item.m_health == health::probation ? std::min(1, item.m_target.m_slots)
                                              : item.m_target.m_slots;
}

int target_set::free_slots(const entry& item)
{
    return std::max(0, usable_slots(item) - item.m_running);
}

int target_set::free_slots() const
{
    int sum = 0;
    for (const auto& item : m_entries)
        sum += free_slots(item);
    return sum;
}

int target_set::ejected() const
{
    return static_cast<int>(
        std::ranges::count_if(m_entries, [](const entry& item)
                              { return item.m_owned && item.m_health != health::good; }));
}

const target* target_set::choose(const target_id& avoid) const
{
    const entry* best = nullptr;
    const entry* avoided = nullptr;
    int most = 0;
    for (const auto& item : m_entries)
    {
        const int free = free_slots(item);
        if (free > 0 && item.m_target.m_id == avoid)
            avoided = &item;
        else if (free > most)
        {
            most = free;
            best = &item;
        }
    }
    if (best == nullptr)
        best = avoided;
    return best == nullptr ? nullptr : &best->m_target;
}

target_set::entry* target_set::find(const target_id& id)
{
    const auto found = m_index.find(id);
    return found == m_index.end() ? nullptr : &m_entries[found->second];
}

void target_set::take(const target_id& id)
{
    if (auto* item = find(id))
        ++item->m_running;
}

void target_set::release(const target_id& id)
{
    if (auto* item = find(id))
        --item->m_running;
}

void target_set::succeeded(const target_id& id)
{
    auto* item = find(id);
    if (item == nullptr)
        return;
    item->m_failures = 0;
    if (item->m_health != health::probation ||
        ++item->m_successes < m_options.m_successes_to_return)
        return;
    item->m_health = health::good;
    item->m_ejections = 0;
    recount();
}

void target_set::failed(const target_id& id, instant now)
{
    auto* item = find(id);
    if (item == nullptr || item->m_health == health::ejected)
        return;
    ++item->m_failures;
    if (item->m_health == health::probation)
        return eject(*item, now);
    const int most = static_cast<int>(m_options.m_max_ejected_share * m_owned);
    if (item->m_failures >= m_options.m_failures_to_eject && ejected() < most)
        eject(*item, now);
}

void target_set::eject(entry& item, instant now)
{
    constexpr int most_doublings = 10;
    const auto doubled =
        m_options.m_first_ejection * (1LL << std::min(item.m_ejections, most_doublings));
    item.m_health = health::ejected;
    item.m_ejected_until = now + std::min<duration>(doubled, m_options.m_longest_ejection);
    item.m_successes = 0;
    ++item.m_ejections;
    recount();
}

void target_set::tick(instant now)
{
    bool changed = false;
    for (auto& item : m_entries)
        if (item.m_health == health::ejected && item.m_ejected_until <= now)
        {
            item.m_health = health::probation;
            changed = true;
        }
    if (changed)
        recount();
}

} // namespace dragonflygap::request
