#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflygap/placement/worker_index.hpp"

namespace dragonflygap::placement
{

/// How many tasks of a group a worker holds.
struct worker_count
{
    worker_slot m_slot = 0;
    std::int32_t m_tasks = 0;
};

/// Says for groups of tasks, by name, which workers hold them.
class task_counts
{
public:
    void add(const std::string& group, worker_slot slot);

    /// False if the group has no task on the worker.
    bool remove(const std::string& group, worker_slot slot);

    /// Forgets all tasks of a worker.
    void remove_worker(worker_slot slot);

    std::span<const worker_count> of(const std::string& group) const;

    bool contains(const std::string& group, worker_slot slot) const;

private:
    using groups = std::unordered_map<std::string, std::vector<worker_count>>;

    void recycle(groups::iterator group);

    groups m_groups;
    // Nodes of ended groups, used again so that the steady state needs no heap.
    std::vector<groups::node_type> m_spare;
};

} // namespace dragonflygap::placement
