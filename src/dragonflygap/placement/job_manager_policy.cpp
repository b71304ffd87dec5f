#include <algorithm>
#include <utility>

#include "dragonflygap/placement/fit_check.hpp"
#include "dragonflygap/placement/job_manager.hpp"

namespace dragonflygap::placement
{

std::vector<worker_id> job_manager::find_workers(const live_part& part, std::vector<job_task*>& due,
                                                 bool together, instant now, actions& out)
{
    const auto& spec = part.m_part.m_job.m_spec;
    auto& room = m_workers.room();
    if (together)
        return find_workers_for_gang(part, static_cast<int>(due.size()), now);
    std::vector<worker_id> placed;
    for (std::size_t i = 0; i < due.size(); ++i)
    {
        const preemptor::task_key key{spec.m_id, due[i]->m_index};
        auto worker = m_preemptor.try_place(key, room);
        if (!worker)
            worker = room.place(spec);
        if (worker)
        {
            m_preemptor.cancel(key, room);
            std::swap(due[placed.size()], due[i]);
            placed.push_back(std::move(*worker));
        }
        else if (!spec.m_urgent)
            break;
        else if (m_preemptor.needs_plan(key, now))
            stop_victims(m_preemptor.make_room(key, spec, room, victims(now), now), out);
    }
    return placed;
}

std::vector<worker_id> job_manager::find_workers_for_gang(const live_part& part, int count,
                                                          instant now)
{
    const auto& spec = part.m_part.m_job.m_spec;
    auto& room = m_workers.room();
    if (auto placed = room.place_all(spec, count))
    {
        m_reservation.ends(spec.m_id, room);
        return std::move(*placed);
    }
    if (now - part.m_last_asked >= m_options.m_ask_every)
        m_reservation.waits(spec, count, room, drainable(), now);
    return {};
}

std::vector<victim_candidate> job_manager::victims(instant now)
{
    std::vector<victim_candidate> candidates;
    for (const auto& [id, worker] : m_workers.workers())
        for (const auto& [name, spec] : worker.m_tasks)
        {
            job_task* task = nullptr;
            const auto read = read_task_name(spec.m_id, name);
            const auto* part = read ? part_of(spec.m_id, read->first, task) : nullptr;
            if (part == nullptr || !ready(*part) || task->m_state != job_task_state::running ||
                task->m_worker != id || task->m_attempt != read->second)
                continue;
            candidates.push_back({.m_task = name,
                                  .m_job = spec.m_id,
                                  .m_worker = id,
                                  .m_size = spec.m_size,
                                  .m_kind = spec.m_kind,
                                  .m_urgent = spec.m_urgent,
                                  .m_elapsed = now - task->m_since});
        }
    return candidates;
}

void job_manager::stop_victims(const std::vector<victim_candidate>& chosen, actions& out)
{
    // Their room is free only once the worker reports their end.
    for (const auto& victim : chosen)
        if (const auto* worker = m_workers.find(victim.m_worker))
            out.emplace_back(stop_on_worker{worker->m_worker, victim.m_task});
}

std::vector<drainable_worker> job_manager::drainable() const
{
    std::vector<drainable_worker> result;
    for (const auto& [id, worker] : m_workers.workers())
    {
        drainable_worker made{.m_worker = id, .m_capacity = worker.m_worker.m_info.m_capacity};
        for (const auto& [name, spec] : worker.m_tasks)
            if (spec.m_kind == job_kind::service || spec.m_urgent)
                made.m_pinned += spec.m_size;
        result.push_back(std::move(made));
    }
    return result;
}

bool job_manager::waits_here(const job_id& job, std::optional<int> index)
{
    auto each = m_part_of_task.lower_bound({job, index.value_or(0)});
    for (; each != m_part_of_task.end() && each->first.first == job; ++each)
    {
        job_task* task = nullptr;
        const auto* part = part_of(job, each->first.second, task);
        if (part != nullptr && !part->m_part.m_cancelled &&
            task->m_state == job_task_state::waiting)
            return true;
        if (index)
            break;
    }
    return false;
}

void job_manager::drop_stale_plans()
{
    std::vector<preemptor::task_key> stale;
    for (const auto& [key, plan] : m_preemptor.open())
        if (!waits_here(key.first, key.second))
            stale.push_back(key);
    for (const auto& key : stale)
        m_preemptor.cancel(key, m_workers.room());
    m_reservation.keep_only([this](const job_id& gang) { return waits_here(gang, std::nullopt); },
                            m_workers.room());
}

void job_manager::correct_usage(const owned_worker& from,
                                const std::vector<platform::task_report>& reports, instant now,
                                actions& out)
{
    const auto& id = from.m_info.m_id;
    m_workers.room().set_overuse(id, m_usage.report(id, reports, now));
    if (const auto worst = m_usage.overuser(id, from.m_info.m_capacity, reports, now))
        out.emplace_back(stop_on_worker{from, *worst});
}

void job_manager::on(const teams_changed& event, instant /*now*/, actions& /*out*/)
{
    for (const auto& [team, quota] : m_quotas)
        m_workers.room().set_quota(team, std::nullopt);
    m_quotas.clear();
    for (const auto& team : event.m_teams)
    {
        m_quotas[team.m_name] = team.m_quota;
        m_workers.room().set_quota(team.m_name, team.m_quota);
    }
}

std::optional<std::string> job_manager::why_never(const job_spec& spec) const
{
    if (m_cell.empty())
        return std::nullopt; // not listed yet
    std::vector<placement_worker> cell;
    for (const auto& worker : m_cell)
        cell.push_back({.m_id = worker.m_id,
                        .m_data_centre = worker.m_data_centre,
                        .m_rack = worker.m_rack,
                        .m_capacity = worker.m_capacity});
    const auto quota = m_quotas.find(spec.m_team);
    return why_never_fits(spec, cell,
                          quota == m_quotas.end() ? std::nullopt : std::optional(quota->second));
}

} // namespace dragonflygap::placement
