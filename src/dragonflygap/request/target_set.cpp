#include "dragonflygap/request/target_set.hpp"

#include <algorithm>

namespace dragonflygap::request
{

bool is_target_fault(reason cause)
{
    return cause == reason::target_unreachable || cause == reason::target_refused ||
           cause == reason::target_silent || cause == reason::target_failed ||
           cause == reason::internal;
}

void target_set::assign(std::span<const target> targets)
{
    for (auto& item : m_entries)
        item.m_owned = false;
    for (const auto& listed : targets)
    {
        auto* known = find(listed.m_id);
        if (known == nullptr)
            known = &m_entries.emplace_back();
        known->m_target = listed;
        known->m_owned = true;
        m_index[listed.m_id] = static_cast<std::size_t>(known - m_entries.data());
    }
    std::erase_if(m_entries,
                  [](const entry& item) { return !item.m_owned && item.m_running == 0; });
    update_counts();
}

void target_set::update_counts()
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
                              { return item.m_owned && item.m_health != health::healthy; }));
}

const target* target_set::choose(const target_id& avoid) const
{
    const entry* best = nullptr;
    const entry* avoided = nullptr;
    int max_free = 0;
    for (const auto& item : m_entries)
    {
        const int free = free_slots(item);
        if (free > 0 && item.m_target.m_id == avoid)
            avoided = &item;
        else if (free > max_free)
        {
            max_free = free;
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

void target_set::acquire(const target_id& id)
{
    if (auto* item = find(id))
        ++item->m_running;
}

void target_set::release(const target_id& id)
{
    if (auto* item = find(id))
        --item->m_running;
}

void target_set::record_success(const target_id& id)
{
    auto* item = find(id);
    if (item == nullptr)
        return;
    item->m_failures = 0;
    if (item->m_health != health::probation ||
        ++item->m_successes < m_options.m_successes_to_recover)
        return;
    item->m_health = health::healthy;
    item->m_ejections = 0;
    update_counts();
}

void target_set::record_failure(const target_id& id, instant now)
{
    auto* item = find(id);
    if (item == nullptr || item->m_health == health::ejected)
        return;
    ++item->m_failures;
    if (item->m_health == health::probation)
        return eject(*item, now);
    const int max_ejected = static_cast<int>(m_options.m_max_ejected_share * m_owned);
    if (item->m_failures >= m_options.m_failures_to_eject && ejected() < max_ejected)
        eject(*item, now);
}

void target_set::eject(entry& item, instant now)
{
    constexpr int max_doublings = 10;
    const auto exponential =
        m_options.m_base_ejection_time * (1LL << std::min(item.m_ejections, max_doublings));
    item.m_health = health::ejected;
    item.m_ejected_until = now + std::min<duration>(exponential, m_options.m_max_ejection_time);
    item.m_successes = 0;
    ++item.m_ejections;
    update_counts();
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
        update_counts();
}

} // namespace dragonflygap::request
