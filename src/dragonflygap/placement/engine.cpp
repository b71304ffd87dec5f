#include "dragonflygap/placement/engine.hpp"

#include <algorithm>

namespace dragonflygap::placement
{

namespace
{

// Added for workers that a job prefers not to use; larger than any spread penalty.
constexpr std::int64_t missed_preference_penalty = std::int64_t{1} << 60;

} // namespace

/// Search for one job: marks the relevant workers in the engine's scratch data and clears the marks
/// on destruction.
class engine::search
{
public:
    search(engine& from, const job_spec& spec)
        : m_engine(from),
          m_spec(spec),
          m_spread(effective_spread(spec)),
          m_wants_near(!spec.m_rules.m_near.empty())
    {
        mark(+1);
    }
    ~search() { mark(-1); }
    search(const search&) = delete;
    search& operator=(const search&) = delete;

    std::optional<worker_slot> best() const
    {
        std::optional<worker_slot> found;
        placement_cost lowest;
        m_engine.m_index.for_each_fitting(
            m_spec.m_size,
            [&](worker_slot slot, const resources& free)
            {
                const auto& state = m_engine.m_workers[slot];
                if (m_engine.m_excluded[slot] != 0 || !m_engine.allowed(m_spec, state))
                    return;
                const placement_cost cost{spread_penalty_of(slot, state),
                                          packing_waste(m_spec.m_size, free, state.m_inverse)};
                if (found && !(cost < lowest))
                    return;
                found = slot;
                lowest = cost;
            });
        return found;
    }

private:
    void mark(int sign)
    {
        const auto& rules = m_spec.m_rules;
        if (m_spread != spread_rule::none)
            for (const auto& [slot, tasks] : m_engine.m_by_job.of(m_spec.m_id.m_value))
                mark_domains(slot, sign * tasks);
        if (m_wants_near)
            for (const auto& entry : m_engine.m_by_name.of(rules.m_near))
                m_engine.m_near[entry.m_slot] += sign;
        if (!rules.m_apart_from.empty())
            for (const auto& entry : m_engine.m_by_name.of(rules.m_apart_from))
                m_engine.m_excluded[entry.m_slot] += sign;
        // The rule holds in both directions, whichever job is placed first.
        for (const auto& entry : m_engine.m_anti_affinity.of(m_spec.m_name))
            m_engine.m_excluded[entry.m_slot] += sign;
    }

    void mark_domains(worker_slot slot, std::int32_t tasks)
    {
        const auto& state = m_engine.m_workers[slot];
        m_engine.m_in_worker[slot] += tasks;
        m_engine.m_in_rack[static_cast<std::size_t>(state.m_rack)] += tasks;
        m_engine.m_in_data_centre[static_cast<std::size_t>(state.m_data_centre)] += tasks;
    }

    std::int64_t spread_penalty_of(worker_slot slot, const worker_state& state) const
    {
        const auto affinity_penalty =
            m_wants_near && m_engine.m_near[slot] == 0 ? missed_preference_penalty : 0;
        if (m_spread == spread_rule::none)
            return affinity_penalty;
        return affinity_penalty +
               spread_penalty(
                   m_spread,
                   {.m_in_worker = m_engine.m_in_worker[slot],
                    .m_in_rack = m_engine.m_in_rack[static_cast<std::size_t>(state.m_rack)],
                    .m_in_data_centre =
                        m_engine.m_in_data_centre[static_cast<std::size_t>(state.m_data_centre)]});
    }

    engine& m_engine;
    const job_spec& m_spec;
    spread_rule m_spread;
    bool m_wants_near;
};

void engine::set_worker(const placement_worker& worker)
{
    auto slot = slot_of(worker.m_id);
    if (!slot)
    {
        slot = m_index.add();
        m_slots[worker.m_id] = *slot;
        m_workers.resize(m_index.size());
        m_in_worker.resize(m_index.size());
        m_excluded.resize(m_index.size());
        m_near.resize(m_index.size());
        m_workers[*slot] = {.m_in_use = true};
    }
    auto& state = m_workers[*slot];
    if (state.m_worker == worker)
        return;
    state.m_worker = worker;
    state.m_inverse = invert(worker.m_capacity);
    state.m_rack = intern(m_rack_indexes, m_in_rack, worker.m_rack.m_value);
    state.m_data_centre =
        intern(m_data_centre_indexes, m_in_data_centre, worker.m_data_centre.m_value);
    update_free(*slot);
}

void engine::remove_worker(const worker_id& worker)
{
    const auto slot = slot_of(worker);
    if (!slot)
        return;
    for (auto* counts : {&m_by_job, &m_by_name, &m_anti_affinity})
        counts->remove_worker(*slot);
    m_teams.remove_worker(*slot);
    std::erase_if(m_holds, [&](const capacity_hold& each) { return each.m_slot == *slot; });
    m_workers[*slot] = {};
    m_slots.erase(worker);
    m_index.remove(*slot);
}

void engine::set_suspended(const worker_id& worker, bool suspended)
{
    const auto slot = slot_of(worker);
    if (!slot)
        return;
    m_workers[*slot].m_suspended = suspended;
    update_free(*slot);
}

void engine::set_overuse(const worker_id& worker, const resources& overuse)
{
    const auto slot = slot_of(worker);
    if (!slot)
        return;
    m_workers[*slot].m_overuse = overuse;
    update_free(*slot);
}

void engine::set_quota(const team_id& team, std::optional<resources> limit)
{
    m_teams.set_quota(team, limit);
}

void engine::reserve(const job_id& job, std::span<const worker_id> workers)
{
    cancel_reservation();
    m_reserved_for = job;
    for (const auto& worker : workers)
        if (const auto slot = slot_of(worker))
            m_workers[*slot].m_reserved = true;
}

void engine::cancel_reservation()
{
    m_reserved_for = {};
    for (auto& state : m_workers)
        state.m_reserved = false;
}

void engine::hold(const job_id& job, const worker_id& worker, const resources& size)
{
    const auto slot = slot_of(worker);
    if (!slot)
        return;
    m_holds.push_back({job, *slot, size});
    m_workers[*slot].m_held += size;
    update_free(*slot);
}

void engine::drop_hold(const job_id& job, const worker_id& worker)
{
    const auto slot = slot_of(worker);
    const auto found = std::ranges::find_if(m_holds, [&](const capacity_hold& each)
                                            { return each.m_job == job && each.m_slot == slot; });
    if (!slot || found == m_holds.end())
        return;
    m_workers[*slot].m_held -= found->m_size;
    m_holds.erase(found);
    update_free(*slot);
}

bool engine::place_on(const job_spec& spec, const worker_id& worker)
{
    const auto slot = slot_of(worker);
    if (!slot || !admits(spec, worker) || !within_quota(spec))
        return false;
    const auto own =
        std::ranges::find_if(m_holds, [&](const capacity_hold& each)
                             { return each.m_job == spec.m_id && each.m_slot == slot; });
    const auto held = own == m_holds.end() ? resources{} : own->m_size;
    if (!spec.m_size.fits_in(m_index.free(*slot) + held))
        return false;
    drop_hold(spec.m_id, worker);
    allocate(spec, *slot);
    return true;
}

std::optional<worker_id> engine::place(const job_spec& spec)
{
    const auto slot = choose(spec);
    if (!slot)
        return std::nullopt;
    allocate(spec, *slot);
    return m_workers[*slot].m_worker.m_id;
}

std::optional<std::vector<worker_id>> engine::place_all(const job_spec& spec, int count)
{
    std::vector<worker_id> placed;
    for (int i = 0; i < count; ++i)
    {
        const auto worker = place(spec);
        if (!worker)
        {
            for (const auto& placed_worker : placed)
                release(spec, placed_worker);
            return std::nullopt;
        }
        placed.push_back(*worker);
    }
    return placed;
}

void engine::adopt(const job_spec& spec, const worker_id& worker)
{
    if (const auto slot = slot_of(worker))
        allocate(spec, *slot);
}

void engine::release(const job_spec& spec, const worker_id& worker)
{
    if (const auto slot = slot_of(worker))
        deallocate(spec, *slot);
}

bool engine::could_fit(const job_spec& spec) const
{
    for (const auto& state : m_workers)
        if (state.m_in_use && spec.m_size.fits_in(state.m_worker.m_capacity) &&
            (spec.m_rules.m_data_centre.empty() ||
             spec.m_rules.m_data_centre == state.m_worker.m_data_centre))
            return true;
    return false;
}

bool engine::admits(const job_spec& spec, const worker_id& worker) const
{
    const auto slot = slot_of(worker);
    if (!slot)
        return false;
    const auto& state = m_workers[*slot];
    return !state.m_worker.m_leaving && !state.m_suspended && allowed(spec, state) &&
           (spec.m_rules.m_apart_from.empty() ||
            !m_by_name.contains(spec.m_rules.m_apart_from, *slot)) &&
           !m_anti_affinity.contains(spec.m_name, *slot);
}

bool engine::within_quota(const job_spec& spec) const
{
    return m_teams.admits(spec.m_team, spec.m_size);
}

resources engine::committed(const worker_id& worker) const
{
    const auto slot = slot_of(worker);
    return slot ? m_workers[*slot].m_committed : resources{};
}

resources engine::free(const worker_id& worker) const
{
    const auto slot = slot_of(worker);
    return slot ? m_index.free(*slot) : no_capacity;
}

std::optional<worker_slot> engine::choose(const job_spec& spec)
{
    if (!within_quota(spec))
        return std::nullopt;
    return search(*this, spec).best();
}

bool engine::allowed(const job_spec& spec, const worker_state& state) const
{
    if (state.m_reserved && spec.m_id != m_reserved_for && !spec.m_urgent)
        return false;
    return spec.m_rules.m_data_centre.empty() ||
           spec.m_rules.m_data_centre == state.m_worker.m_data_centre;
}

void engine::allocate(const job_spec& spec, worker_slot slot)
{
    m_workers[slot].m_committed += spec.m_size;
    m_by_job.add(spec.m_id.m_value, slot);
    m_by_name.add(spec.m_name, slot);
    if (!spec.m_rules.m_apart_from.empty())
        m_anti_affinity.add(spec.m_rules.m_apart_from, slot);
    m_teams.allocate(spec.m_team, slot, spec.m_size);
    update_free(slot);
}

void engine::deallocate(const job_spec& spec, worker_slot slot)
{
    if (!m_by_job.remove(spec.m_id.m_value, slot))
        return;
    m_workers[slot].m_committed -= spec.m_size;
    m_by_name.remove(spec.m_name, slot);
    if (!spec.m_rules.m_apart_from.empty())
        m_anti_affinity.remove(spec.m_rules.m_apart_from, slot);
    m_teams.release(spec.m_team, slot, spec.m_size);
    update_free(slot);
}

void engine::update_free(worker_slot slot)
{
    const auto& state = m_workers[slot];
    const bool closed = state.m_worker.m_leaving || state.m_suspended;
    m_index.set_free(slot, closed ? no_capacity
                                  : state.m_worker.m_capacity - state.m_committed -
                                        state.m_overuse - state.m_held);
}

std::optional<worker_slot> engine::slot_of(const worker_id& worker) const
{
    const auto found = m_slots.find(worker);
    if (found == m_slots.end())
        return std::nullopt;
    return found->second;
}

std::int32_t engine::intern(std::unordered_map<std::string, std::int32_t>& indexes,
                            std::vector<std::int32_t>& counts, const std::string& name)
{
    const auto [entry, is_new] =
        indexes.try_emplace(name, static_cast<std::int32_t>(indexes.size()));
    if (is_new)
        counts.push_back(0);
    return entry->second;
}

} // namespace dragonflygap::placement
