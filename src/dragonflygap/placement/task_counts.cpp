#include "dragonflygap/placement/task_counts.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

constexpr std::size_t max_spare_nodes = 4096;

} // namespace

void task_counts::add(const std::string& group, worker_slot slot)
{
    auto found = m_groups.find(group);
    if (found == m_groups.end() && !m_spare.empty())
    {
        auto node = std::move(m_spare.back());
        m_spare.pop_back();
        node.key() = group;
        found = m_groups.insert(std::move(node)).position;
    }
    else if (found == m_groups.end())
        found = m_groups.try_emplace(group).first;
    auto& counts = found->second;
    const auto entry = std::ranges::find(counts, slot, &worker_count::m_slot);
    if (entry == counts.end())
        counts.push_back({slot, 1});
    else
        ++entry->m_tasks;
}

bool task_counts::remove(const std::string& group, worker_slot slot)
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end())
        return false;
    auto& counts = found->second;
    const auto entry = std::ranges::find(counts, slot, &worker_count::m_slot);
    if (entry == counts.end())
        return false;
    if (--entry->m_tasks == 0)
    {
        *entry = counts.back();
        counts.pop_back();
    }
    if (counts.empty())
        recycle(found);
    return true;
}

void task_counts::remove_worker(worker_slot slot)
{
    for (auto group = m_groups.begin(); group != m_groups.end();)
    {
        const auto current = group++;
        std::erase_if(current->second,
                      [slot](const worker_count& entry) { return entry.m_slot == slot; });
        if (current->second.empty())
            recycle(current);
    }
}

std::span<const worker_count> task_counts::of(const std::string& group) const
{
    const auto found = m_groups.find(group);
    if (found == m_groups.end())
        return {};
    return found->second;
}

bool task_counts::contains(const std::string& group, worker_slot slot) const
{
    return std::ranges::find(of(group), slot, &worker_count::m_slot) != of(group).end();
}

void task_counts::recycle(groups::iterator group)
{
    auto node = m_groups.extract(group);
    if (m_spare.size() < max_spare_nodes)
        m_spare.push_back(std::move(node));
}

} // namespace dragonflygap::placement
