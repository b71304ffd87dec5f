#include "dragonflygap/placement/usage_estimator.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

std::int64_t sink(std::int64_t known, std::int64_t measured, double kept)
{
    if (measured >= known)
        return measured;
    return measured + static_cast<std::int64_t>(static_cast<double>(known - measured) * kept);
}

std::int64_t excess(std::int64_t used, std::int64_t size, double tolerance)
{
    const auto ignored = static_cast<std::int64_t>(static_cast<double>(size) * tolerance);
    return used > size + ignored ? used - size : 0;
}

double share(const resources& beyond, const resources& size)
{
    const auto part = [](std::int64_t of, std::int64_t all)
    { return all > 0 ? static_cast<double>(of) / static_cast<double>(all) : 0.0; };
    return std::max(part(beyond.m_millicores, size.m_millicores),
                    part(beyond.m_memory_mb, size.m_memory_mb));
}

} // namespace

resources usage_estimator::report(const worker_id& worker,
                                  std::span<const platform::task_report> tasks, instant now)
{
    auto& known = m_workers[worker].m_tasks;
    std::map<task_id, estimate> next;
    resources sum;
    for (const auto& task : tasks)
    {
        if (task.m_state != platform::task_state::running)
            continue;
        const auto found = known.find(task.m_task);
        auto& now_known = next[task.m_task];
        now_known = found == known.end() ? estimate{task.m_usage, now} : found->second;
        update(now_known, task.m_usage, now);
        sum += beyond(now_known.m_used, task.m_size);
    }
    known = std::move(next);
    return sum;
}

std::optional<task_id> usage_estimator::overuser(const worker_id& worker, const resources& capacity,
                                                 std::span<const platform::task_report> tasks,
                                                 instant now)
{
    auto& state = m_workers[worker];
    resources used;
    const platform::task_report* worst = nullptr;
    for (const auto& task : tasks)
    {
        if (task.m_state != platform::task_state::running)
            continue;
        used += task.m_usage;
        const auto over = share(beyond(task.m_usage, task.m_size), task.m_size);
        if (over > 0 && (worst == nullptr ||
                         over > share(beyond(worst->m_usage, worst->m_size), worst->m_size)))
            worst = &task;
    }
    if (used.fits_in(capacity) || worst == nullptr)
    {
        state.m_overloaded_since.reset();
        return std::nullopt;
    }
    if (!state.m_overloaded_since)
        state.m_overloaded_since = now;
    if (now - *state.m_overloaded_since < m_options.m_overload_for)
        return std::nullopt;
    // The next one goes only if the worker stays overloaded for as long again.
    state.m_overloaded_since = now;
    return worst->m_task;
}

void usage_estimator::update(estimate& known, const resources& measured, instant now) const
{
    const std::chrono::duration<double> passed = now - known.m_updated;
    const std::chrono::duration<double> half_life = m_options.m_half_life;
    const auto kept = std::exp2(-passed / half_life);
    known.m_used = {.m_millicores = sink(known.m_used.m_millicores, measured.m_millicores, kept),
                    .m_memory_mb = sink(known.m_used.m_memory_mb, measured.m_memory_mb, kept)};
    known.m_updated = now;
}

resources usage_estimator::beyond(const resources& used, const resources& size) const
{
    return {.m_millicores = excess(used.m_millicores, size.m_millicores, m_options.m_tolerance),
            .m_memory_mb = excess(used.m_memory_mb, size.m_memory_mb, m_options.m_tolerance)};
}

} // namespace dragonflygap::placement
