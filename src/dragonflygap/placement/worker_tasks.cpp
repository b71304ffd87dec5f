#include "dragonflygap/placement/worker_tasks.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::placement
{

void worker_tasks::set_workers(std::span<const owned_worker> workers,
                               const std::map<ownership::group_index, std::uint64_t>& epochs,
                               instant now)
{
    std::erase_if(m_workers,
                  [&](const auto& entry)
                  {
                      const auto epoch = epochs.find(ownership::group_of(entry.first));
                      const auto& worker = entry.second;
                      const bool obsolete =
                          !worker.m_listed && worker.m_lost && worker.m_tasks.empty();
                      const bool kept = epoch != epochs.end() && !obsolete &&
                                        epoch->second == worker.m_worker.m_epoch;
                      if (!kept && m_in_engine.erase(entry.first) != 0)
                          m_engine.remove_worker(entry.first);
                      if (!kept)
                          m_health.remove(entry.first);
                      return !kept;
                  });
    for (auto& [id, worker] : m_workers)
        worker.m_listed = false;
    for (const auto& worker : workers)
    {
        m_health.add(worker.m_info.m_id);
        const auto [found, added] = m_workers.try_emplace(worker.m_info.m_id);
        if (added)
            found->second.m_owned_since = found->second.m_last_report_at = now;
        found->second.m_worker = worker;
        found->second.m_listed = true;
        found->second.m_reachable = true;
    }
    update_engine(now);
}

void worker_tasks::add_unlisted(const worker_id& worker, std::uint64_t epoch, instant now)
{
    const auto [found, added] = m_workers.try_emplace(worker);
    if (!added)
        return;
    found->second.m_worker.m_info.m_id = worker;
    found->second.m_worker.m_epoch = epoch;
    found->second.m_listed = false;
    found->second.m_owned_since = found->second.m_last_report_at = now;
}

std::vector<renew_worker> worker_tasks::renewals(instant now)
{
    std::vector<renew_worker> due;
    for (auto& [id, worker] : m_workers)
    {
        const bool silent = now - worker.m_last_report_at >= m_options.m_silence_timeout;
        if (worker.m_call != 0 || !worker.m_reachable || (silent && !worker.m_lost) ||
            now - worker.m_renewal_sent_at < m_options.m_renew_interval)
            continue;
        worker.m_call = ++m_last_call;
        worker.m_renewal_sent_at = now;
        worker.m_last_lease_sent_at = now;
        due.push_back({worker.m_call, worker.m_worker, std::exchange(worker.m_acknowledged, {})});
    }
    return due;
}

instant worker_tasks::lease_end(const state& worker) const
{
    const auto last = std::max(
        worker.m_last_lease_sent_at,
        worker.m_reported ? instant{} : worker.m_owned_since + m_options.m_predecessor_grace);
    return last + m_options.m_task_lease + m_options.m_lease_margin;
}

std::vector<worker_id> worker_tasks::detect_lost(instant now)
{
    std::vector<worker_id> lost;
    for (auto& [id, worker] : m_workers)
    {
        const bool silent = now - worker.m_last_report_at >= m_options.m_silence_timeout;
        if (!silent || worker.m_lost || now < lease_end(worker))
            continue;
        worker.m_lost = true;
        worker.m_reported = false;
        lost.push_back(id);
    }
    return lost;
}

std::optional<instant> worker_tasks::record_report(const worker_id& id, std::uint64_t call,
                                                   bool answered, instant now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end() || found->second.m_call != call)
        return std::nullopt;
    auto& worker = found->second;
    worker.m_call = 0;
    if (!answered)
        return std::nullopt;
    worker.m_reported = true;
    worker.m_lost = false;
    worker.m_last_report_at = now;
    return worker.m_renewal_sent_at;
}

void worker_tasks::record_start(const worker_id& id, instant now)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    m_health.record_start(id, now);
    found->second.m_last_lease_sent_at = now;
    found->second.m_lost = false; // a new lease may have started, which must expire first
}

void worker_tasks::record_result(const worker_id& id, const job_id& job, bool success, instant now)
{
    if (success)
        m_health.record_success(id);
    else
        m_health.record_failure(id, job, now);
}

void worker_tasks::acknowledge(const worker_id& id, const task_id& task)
{
    if (const auto found = m_workers.find(id); found != m_workers.end())
        found->second.m_acknowledged.push_back(task);
}

void worker_tasks::expect_reports(ownership::group_index group)
{
    for (auto& [id, worker] : m_workers)
        if (ownership::group_of(id) == group)
            worker.m_reported = false;
}

void worker_tasks::allocate(const worker_id& id, const task_id& task, const job_spec& spec,
                            bool already_allocated)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    if (!found->second.m_tasks.emplace(task, spec).second)
        return;
    if (!already_allocated && m_in_engine.contains(id))
        m_engine.adopt(spec, id);
}

void worker_tasks::release(const worker_id& id, const task_id& task)
{
    const auto found = m_workers.find(id);
    if (found == m_workers.end())
        return;
    const auto held = found->second.m_tasks.find(task);
    if (held == found->second.m_tasks.end())
        return;
    if (m_in_engine.contains(id))
        m_engine.release(held->second, id);
    found->second.m_tasks.erase(held);
}

bool worker_tasks::is_reconciled(ownership::group_index group) const
{
    return std::ranges::all_of(m_workers,
                               [group](const auto& entry)
                               {
                                   return ownership::group_of(entry.first) != group ||
                                          entry.second.m_reported || entry.second.m_lost;
                               });
}

bool worker_tasks::usable(const state& worker, instant now) const
{
    return worker.m_reported && worker.m_listed && !worker.m_worker.m_info.m_leaving &&
           m_health.usable(worker.m_worker.m_info.m_id, now) &&
           now - worker.m_last_report_at < m_options.m_silence_timeout / 2;
}

void worker_tasks::update_engine(instant now)
{
    for (const auto& [id, worker] : m_workers)
    {
        const bool known = m_in_engine.contains(id);
        if (!known && !worker.m_reported)
            continue;
        const auto& info = worker.m_worker.m_info;
        m_engine.set_worker({.m_id = id,
                             .m_data_centre = info.m_data_centre,
                             .m_rack = info.m_rack,
                             .m_capacity = info.m_capacity,
                             .m_leaving = !usable(worker, now)});
        if (known)
            continue;
        m_in_engine.insert(id);
        for (const auto& [task, spec] : worker.m_tasks)
            m_engine.adopt(spec, id);
    }
}

const worker_tasks::state* worker_tasks::find(const worker_id& id) const
{
    const auto found = m_workers.find(id);
    return found == m_workers.end() ? nullptr : &found->second;
}

} // namespace dragonflygap::placement
