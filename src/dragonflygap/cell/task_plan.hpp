#pragma once

#include <span>
#include <vector>

#include "dragonflygap/cell/room_claims.hpp"

namespace dragonflygap::cell
{

/// A worker that may run tasks of a step.
struct candidate
{
    const worker_state* m_worker = nullptr;
    resources m_free;
    int m_max_tasks = 0;        ///< Limit regardless of its free capacity.
    bool m_data_remote = false; ///< The step's data is in another rack.
    int m_suspicions = 0;       ///< If it is suspected: the last choice, most of them last.
};

enum class plan_order
{
    best_fit,       ///< Fills the workers with the least free capacity first.
    fewest_workers, ///< Uses the fewest workers.
};

/// Places for up to count tasks of a size. Workers near the data come first, suspected ones last.
std::vector<task_places> plan_tasks(std::span<const candidate> candidates, const resources& size,
                                    int count, plan_order order = plan_order::best_fit);

int task_count(std::span<const task_places> places);

} // namespace dragonflygap::cell
