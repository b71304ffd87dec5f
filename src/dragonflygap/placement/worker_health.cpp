#include "dragonflygap/placement/worker_health.hpp"

#include <algorithm>

namespace dragonflygap::placement
{

void worker_health::started(const worker_id& worker, instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end() || !found->second.m_ejected)
        return;
    found->second.m_on_trial = true;
    found->second.m_until = now + m_options.m_trial;
}

void worker_health::succeeded(const worker_id& worker)
{
    if (const auto found = m_workers.find(worker); found != m_workers.end())
        found->second = {};
}

void worker_health::failed(const worker_id& worker, const job_id& job, instant now)
{
    const auto found = m_workers.find(worker);
    if (found == m_workers.end())
        return;
    auto& record = found->second;
    if (record.m_ejected)
    {
        if (record.m_on_trial)
            eject(record, now);
        return;
    }
    // A job that fails wherever it runs says nothing about the worker.
    if (record.m_failures++ == 0)
        record.m_first_job = job;
    else if (record.m_first_job != job)
        record.m_many_jobs = true;
    const auto in_use = static_cast<double>(m_workers.size() - ejected() - 1);
    const bool floor_kept =
        in_use >= m_options.m_least_in_use * static_cast<double>(m_workers.size());
    if (record.m_failures >= m_options.m_failures_to_eject && record.m_many_jobs && floor_kept)
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
    constexpr int most_doublings = 10;
    const auto length =
        m_options.m_first_ejection * (1 << std::min(worker.m_ejections, most_doublings));
    ++worker.m_ejections;
    worker.m_ejected = true;
    worker.m_on_trial = false;
    worker.m_until = now + std::min<duration>(length, m_options.m_longest_ejection);
}

} // namespace dragonflygap::placement
