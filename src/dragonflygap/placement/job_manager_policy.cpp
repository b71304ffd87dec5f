#include <algorithm>
#include <utility>

#include "dragonflygap/placement/fit_check.hpp"
#include "dragonflygap/placement/job_manager.hpp"

namespace dragonflygap::placement
{

std::vector<worker_id> job_manager::find_workers(const live_part& part, std::vector<job_task*>& due,
                                                 bool as_gang, instant now, actions& out)
{
    const auto& spec = part.m_part.m_job.m_spec;
    auto& placements = m_workers.placements();
    if (as_gang)
        return find_workers_for_gang(part, static_cast<int>(due.size()), now);
    std::vector<worker_id> placed;
    for (std::size_t i = 0; i < due.size(); ++i)
    {
        const preemptor::task_key key{spec.m_id, due[i]->m_index};
        auto worker = m_preemptor.try_place(key, placements);
        if (!worker)
            worker = placements.place(spec);
        if (worker)
        {
            m_preemptor.cancel(key, placements);
            std::swap(due[placed.size()], due[i]);
            placed.push_back(std::move(*worker));
        }
        else if (!spec.m_urgent)
            break;
        else if (m_preemptor.needs_plan(key, now))
            stop_victims(m_preemptor.make_plan(key, spec, placements, victims(now), now), out);
    }
    return placed;
}

std::vector<worker_id> job_manager::find_workers_for_gang(const live_part& part, int count,
                                                          instant now)
{
    const auto& spec = part.m_part.m_job.m_spec;
    auto& placements = m_workers.placements();
    if (auto placed = placements.place_all(spec, count))
    {
        m_reservation.record_end(spec.m_id, placements);
        return std::move(*placed);
    }
    if (now - part.m_last_requested_at >= m_options.m_capacity_request_interval)
        m_reservation.record_waiting(spec, count, placements, drainable(), now);
    return {};
}

std::vector<victim_candidate> job_manager::victims(instant now)
{
    std::vector<victim_candidate> candidates;
    for (const auto& [id, worker] : m_workers.workers())
        for (const auto& [name, spec] : worker.m_tasks)
        {
            job_task* task = nullptr;
            const auto parsed = parse_task_name(spec.m_id, name);
            const auto* part = parsed ? find_task(spec.m_id, parsed->first, task) : nullptr;
            if (part == nullptr || !ready(*part) || task->m_state != job_task_state::running ||
                task->m_worker != id || task->m_attempt != parsed->second)
                continue;
            candidates.push_back({.m_task = name,
                                  .m_job = spec.m_id,
                                  .m_worker = id,
                                  .m_size = spec.m_size,
                                  .m_kind = spec.m_kind,
                                  .m_urgent = spec.m_urgent,
                                  .m_elapsed = now - task->m_state_since});
        }
    return candidates;
}

void job_manager::stop_victims(const std::vector<victim_candidate>& chosen, actions& out)
{
    // Their capacity becomes free only once the worker reports their end.
    for (const auto& victim : chosen)
        if (const auto* worker = m_workers.find(victim.m_worker))
            out.emplace_back(stop_on_worker{worker->m_worker, victim.m_task});
}

std::vector<drainable_worker> job_manager::drainable() const
{
    std::vector<drainable_worker> result;
    for (const auto& [id, worker] : m_workers.workers())
    {
        drainable_worker entry{.m_worker = id, .m_capacity = worker.m_worker.m_info.m_capacity};
        for (const auto& [name, spec] : worker.m_tasks)
            if (spec.m_kind == job_kind::service || spec.m_urgent)
                entry.m_pinned += spec.m_size;
        result.push_back(std::move(entry));
    }
    return result;
}

bool job_manager::is_waiting(const job_id& job, std::optional<int> index)
{
    auto each = m_part_of_task.lower_bound({job, index.value_or(0)});
    for (; each != m_part_of_task.end() && each->first.first == job; ++each)
    {
        job_task* task = nullptr;
        const auto* part = find_task(job, each->first.second, task);
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
    for (const auto& [key, plan] : m_preemptor.active())
        if (!is_waiting(key.first, key.second))
            stale.push_back(key);
    for (const auto& key : stale)
        m_preemptor.cancel(key, m_workers.placements());
    m_reservation.retain([this](const job_id& gang) { return is_waiting(gang, std::nullopt); },
                         m_workers.placements());
}

void job_manager::apply_usage_reports(const owned_worker& from,
                                      const std::vector<platform::task_report>& reports,
                                      instant now, actions& out)
{
    const auto& id = from.m_info.m_id;
    m_workers.placements().set_overuse(id, m_usage.report(id, reports, now));
    if (const auto worst = m_usage.find_overuser(id, from.m_info.m_capacity, reports, now))
        out.emplace_back(stop_on_worker{from, *worst});
}

void job_manager::on(const teams_changed& event, instant /*now*/, actions& /*out*/)
{
    for (const auto& [team, quota] : m_quotas)
        m_workers.placements().set_quota(team, std::nullopt);
    m_quotas.clear();
    for (const auto& team : event.m_teams)
    {
        m_quotas[team.m_name] = team.m_quota;
        m_workers.placements().set_quota(team.m_name, team.m_quota);
    }
}

std::optional<std::string> job_manager::rejection_reason(const job_spec& spec) const
{
    if (m_cell.empty())
        return std::nullopt; // the worker list isn't known yet
    std::vector<placement_worker> cell;
    for (const auto& worker : m_cell)
        cell.push_back({.m_id = worker.m_id,
                        .m_data_centre = worker.m_data_centre,
                        .m_rack = worker.m_rack,
                        .m_capacity = worker.m_capacity});
    const auto quota = m_quotas.find(spec.m_team);
    return never_fits_reason(spec, cell,
                             quota == m_quotas.end() ? std::nullopt : std::optional(quota->second));
}

} // namespace dragonflygap::placement
