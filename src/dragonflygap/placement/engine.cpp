#include "dragonflygap/placement/engine.hpp"

#include <limits>

namespace dragonflygap::placement
{

namespace
{

bool allowed(const job_spec& spec, const placement_worker& worker)
{
    return spec.m_rules.m_data_centre.empty() || spec.m_rules.m_data_centre == worker.m_data_centre;
}

} // namespace

void engine::set_worker(const placement_worker& worker)
{
    m_workers[worker.m_id].m_worker = worker;
}

void engine::remove_worker(const worker_id& worker)
{
    m_workers.erase(worker);
}

std::optional<worker_id> engine::place(const job_spec& spec)
{
    worker_state* best = nullptr;
    auto least_left = std::numeric_limits<std::int64_t>::max();
    for (auto& [id, state] : m_workers)
    {
        const auto room = state.m_worker.m_capacity - state.m_committed;
        if (state.m_worker.m_leaving || !allowed(spec, state.m_worker) ||
            !spec.m_size.fits_in(room))
            continue;
        // Services go where few of their kind are, all else where least room is left.
        const auto tasks = state.m_tasks.find(spec.m_id);
        const auto left = spec.m_kind == job_kind::service
                              ? (tasks == state.m_tasks.end() ? 0 : tasks->second)
                              : room.m_millicores;
        if (left >= least_left)
            continue;
        least_left = left;
        best = &state;
    }
    if (best == nullptr)
        return std::nullopt;
    adopt(spec, best->m_worker.m_id);
    return best->m_worker.m_id;
}

std::optional<std::vector<worker_id>> engine::place_all(const job_spec& spec, int count)
{
    std::vector<worker_id> placed;
    for (int i = 0; i < count; ++i)
    {
        const auto worker = place(spec);
        if (!worker)
        {
            for (const auto& taken : placed)
                release(spec, taken);
            return std::nullopt;
        }
        placed.push_back(*worker);
    }
    return placed;
}

void engine::adopt(const job_spec& spec, const worker_id& worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.m_committed += spec.m_size;
    ++found->second.m_tasks[spec.m_id];
}

void engine::release(const job_spec& spec, const worker_id& worker)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    found->second.m_committed -= spec.m_size;
    if (--found->second.m_tasks[spec.m_id] <= 0)
        found->second.m_tasks.erase(spec.m_id);
}

bool engine::could_ever_fit(const job_spec& spec) const
{
    for (const auto& [id, state] : m_workers)
        if (allowed(spec, state.m_worker) && spec.m_size.fits_in(state.m_worker.m_capacity))
            return true;
    return false;
}

resources engine::committed(const worker_id& worker) const
{
    const auto found = m_workers.find(worker);
    return found == m_workers.end() ? resources{} : found->second.m_committed;
}

} // namespace dragonflygap::placement
