#pragma once

#include <span>
#include <vector>

#include "dragonflygap/cell/room_claims.hpp"

namespace dragonflygap::cell
{

/// A worker that may take tasks of a step.
struct candidate
{
    const worker_state* m_worker = nullptr;
    resources m_free;
    int m_most = 0;     ///< Tasks that it may take, whatever its room.
    bool m_far = false; ///< The data of the step lie in another rack.
};

enum class plan_order
{
    tightest, ///< Leaves the least room on each worker.
    fewest,   ///< Uses the fewest workers.
};

/// Places for up to this many tasks of a size, near ones first.
std::vector<task_places> plan_tasks(std::span<const candidate> among, const resources& size,
                                    int count, plan_order order = plan_order::tightest);

int tasks_in(std::span<const task_places> places);

} // namespace dragonflygap::cell
