#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflygap/placement/worker_index.hpp"

namespace dragonflygap::placement
{

/// Number of tasks on a worker.
struct worker_task_count
{
    worker_slot m_slot = 0;
    std::int32_t m_tasks = 0;
};

/// Counts tasks by key and worker.
class task_counts
{
public:
    void add(const std::string& key, worker_slot slot);

    /// Returns false if the worker has no task of the key.
    bool remove(const std::string& key, worker_slot slot);

    /// Removes all tasks of a worker.
    void remove_worker(worker_slot slot);

    std::span<const worker_task_count> of(const std::string& key) const;

    bool contains(const std::string& key, worker_slot slot) const;

private:
    using count_map = std::unordered_map<std::string, std::vector<worker_task_count>>;

    void recycle(count_map::iterator entry);

    count_map m_counts;
    // Nodes of removed keys, reused so that the steady state needs no allocation.
    std::vector<count_map::node_type> m_spare_nodes;
};

} // namespace dragonflygap::placement
