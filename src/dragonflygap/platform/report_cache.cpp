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
report_cache::apply(const worker_id& worker, const renew_leases& request, const renewal& answer)
{
    auto& cached = m_workers[worker];
    if (answer.m_complete || cached.m_epoch != request.m_epoch)
        cached.m_tasks.clear();
    cached.m_epoch = request.m_epoch;
    cached.m_cursor = answer.m_cursor;
    // The worker forgets acknowledged tasks; it reports again those that it hasn't forgotten.
    for (const auto& task : request.m_acknowledged)
        cached.m_tasks.erase(task);
    for (const auto& task : answer.m_tasks)
        cached.m_tasks[task.m_task] = task;
    if (cached.m_tasks.size() != answer.m_count)
    {
        forget(worker);
        return std::nullopt;
    }
    std::vector<task_report> all;
    all.reserve(cached.m_tasks.size());
    for (const auto& [id, task] : cached.m_tasks)
        all.push_back(task);
    return all;
}

} // namespace dragonflygap::platform
