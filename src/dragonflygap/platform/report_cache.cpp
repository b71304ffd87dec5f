#include "dragonflygap/platform/report_cache.hpp"

namespace dragonflygap::platform
{

std::string report_cache::cursor(const worker_id& worker, std::uint64_t epoch) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || found->second.m_epoch != epoch)
        return {};
    return found->second.m_cursor;
}

std::optional<std::vector<task_report>>
report_cache::apply(const worker_id& worker, const renew_leases& renewed, const renewal& answer)
{
    auto& known = m_workers[worker];
    if (answer.m_complete || known.m_epoch != renewed.m_epoch)
        known.m_tasks.clear();
    known.m_epoch = renewed.m_epoch;
    known.m_cursor = answer.m_cursor;
    // What was acknowledged is gone at the worker, and is told again only if it is not.
    for (const auto& task : renewed.m_acknowledged)
        known.m_tasks.erase(task);
    for (const auto& task : answer.m_tasks)
        known.m_tasks[task.m_task] = task;
    if (known.m_tasks.size() != answer.m_count)
    {
        forget(worker);
        return std::nullopt;
    }
    std::vector<task_report> all;
    all.reserve(known.m_tasks.size());
    for (const auto& [id, task] : known.m_tasks)
        all.push_back(task);
    return all;
}

} // namespace dragonflygap::platform
