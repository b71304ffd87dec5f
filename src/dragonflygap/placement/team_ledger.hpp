#pragma once

#include <optional>
#include <unordered_map>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/placement/worker_index.hpp"

namespace dragonflygap::placement
{

/// Tracks the capacity allocated to each team on the workers of one owner, and its quota there.
class team_ledger
{
public:
    void set_quota(const team_id& team, std::optional<resources> limit);

    /// True if allocating this much more stays within the team's quota.
    bool admits(const team_id& team, const resources& size) const;

    void allocate(const team_id& team, worker_slot slot, const resources& size);
    void release(const team_id& team, worker_slot slot, const resources& size);

    /// Removes the allocations of all teams on a worker.
    void remove_worker(worker_slot slot);

    resources committed(const team_id& team) const;

private:
    struct team_state
    {
        std::optional<resources> m_quota;
        resources m_committed;
        std::vector<resources> m_by_worker;
    };

    std::unordered_map<team_id, team_state> m_teams;
};

} // namespace dragonflygap::placement
