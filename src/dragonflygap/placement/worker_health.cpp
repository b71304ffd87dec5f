#include "dragonflygap/placement/worker_health.hpp"

#include <algorithm>

namespace dragonflygap::placement
{

void worker_health::record_start(const worker_id& worker, instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second.m_ejected)
        return;
    found->second.m_on_probation = true;
    found->second.m_until = now + m_options.m_probation_timeout;
}

void worker_health::record_success(const worker_id& worker)
{
    if (const auto found = m_workers.find(worker); found != m_workers.end())
        found->second = {};
}

void worker_health::record_failure(const worker_id& worker, const job_id& job, instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto& record = found->second;
    if (record.m_ejected)
    {
        if (record.m_on_probation)
            eject(record, now);
        return;
    }
    // A job that fails everywhere doesn't show that the worker is bad.
    if (record.m_failures++ == 0)
        record.m_first_job = job;
    else if (record.m_first_job != job)
        record.m_several_jobs = true;
    const auto in_use = static_cast<double>(m_workers.size() - ejected() - 1);
    const bool enough_in_use =
        in_use >= m_options.m_min_in_use * static_cast<double>(m_workers.size());
    if (record.m_failures >= m_options.m_failures_to_eject && record.m_several_jobs &&
        enough_in_use)
        eject(record, now);
}

bool worker_health::usable(const worker_id& worker, instant now) const
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second.m_ejected)
        return true;
    return now >= found->second.m_until;
}

std::size_t worker_health::ejected() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_workers, [](const auto& entry) { return entry.second.m_ejected; }));
}

void worker_health::eject(record& worker, instant now)
{
    constexpr int max_doublings = 10;
    const auto ejection =
        m_options.m_initial_ejection * (1 << std::min(worker.m_ejections, max_doublings));
    ++worker.m_ejections;
    worker.m_ejected = true;
    worker.m_on_probation = false;
    worker.m_until = now + std::min<duration>(ejection, m_options.m_max_ejection);
}

} // namespace dragonflygap::placement
