#include "dragonflygap/placement/task_counts.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

constexpr std::size_t max_spare_nodes = 4096;

} // namespace

void task_counts::add(const std::string& key, worker_slot slot)
{
    auto found = m_counts.find(key);
    if (found == m_counts.end() && !m_spare_nodes.empty())
    {
        auto node = std::move(m_spare_nodes.back());
        m_spare_nodes.pop_back();
        node.key() = key;
        found = m_counts.insert(std::move(node)).position;
    }
    else if (found == m_counts.end())
        found = m_counts.try_emplace(key).first;
    auto& counts = found->second;
    const auto entry = std::ranges::find(counts, slot, &worker_task_count::m_slot);
    if (entry == counts.end())
        counts.push_back({slot, 1});
    else
        ++entry->m_tasks;
}

bool task_counts::remove(const std::string& key, worker_slot slot)
{
    const auto found = m_counts.find(key);
    if (found == m_counts.end())
        return false;
    auto& counts = found->second;
    const auto entry = std::ranges::find(counts, slot, &worker_task_count::m_slot);
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
    for (auto next = m_counts.begin(); next != m_counts.end();)
    {
        const auto current = next++;
        std::erase_if(current->second,
                      [slot](const worker_task_count& entry) { return entry.m_slot == slot; });
        if (current->second.empty())
            recycle(current);
    }
}

std::span<const worker_task_count> task_counts::of(const std::string& key) const
{
    const auto found = m_counts.find(key);
    if (found == m_counts.end())
        return {};
    return found->second;
}

bool task_counts::contains(const std::string& key, worker_slot slot) const
{
    return std::ranges::find(of(key), slot, &worker_task_count::m_slot) != of(key).end();
}

void task_counts::recycle(count_map::iterator entry)
{
    auto node = m_counts.extract(entry);
    if (m_spare_nodes.size() < max_spare_nodes)
        m_spare_nodes.push_back(std::move(node));
}

} // namespace dragonflygap::placement
