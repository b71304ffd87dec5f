#include "dragonflygap/placement/team_ledger.hpp"

namespace dragonflygap::placement
{

void team_ledger::set_quota(const team_id& team, std::optional<resources> limit)
{
    m_teams[team].m_quota = limit;
}

bool team_ledger::admits(const team_id& team, const resources& size) const
{
    const auto found = m_teams.find(team);
    if (found == m_teams.end() || !found->second.m_quota)
        return true;
    return (found->second.m_committed + size).fits_in(*found->second.m_quota);
}

void team_ledger::allocate(const team_id& team, worker_slot slot, const resources& size)
{
    auto& state = m_teams[team];
    if (state.m_by_worker.size() <= slot)
        state.m_by_worker.resize(slot + 1);
    state.m_by_worker[slot] += size;
    state.m_committed += size;
}

void team_ledger::release(const team_id& team, worker_slot slot, const resources& size)
{
    auto& state = m_teams[team];
    state.m_by_worker[slot] -= size;
    state.m_committed -= size;
}

void team_ledger::remove_worker(worker_slot slot)
{
    for (auto& [team, state] : m_teams)
    {
        if (state.m_by_worker.size() <= slot)
            continue;
        state.m_committed -= state.m_by_worker[slot];
        state.m_by_worker[slot] = {};
    }
}

resources team_ledger::committed(const team_id& team) const
{
    const auto found = m_teams.find(team);
    return found == m_teams.end() ? resources{} : found->second.m_committed;
}

} // namespace dragonflygap::placement
