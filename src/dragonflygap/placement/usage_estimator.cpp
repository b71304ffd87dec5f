#include "dragonflygap/placement/usage_estimator.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace dragonflygap::placement
{

namespace
{

std::int64_t decay(std::int64_t known, std::int64_t measured, double decay_factor)
{
    if (measured >= known)
        return measured;
    return measured +
           static_cast<std::int64_t>(static_cast<double>(known - measured) * decay_factor);
}

std::int64_t excess(std::int64_t used, std::int64_t size, double tolerance)
{
    const auto ignored = static_cast<std::int64_t>(static_cast<double>(size) * tolerance);
    return used > size + ignored ? used - size : 0;
}

double relative_overuse(const resources& overuse, const resources& size)
{
    const auto ratio = [](std::int64_t amount, std::int64_t total)
    { return total > 0 ? static_cast<double>(amount) / static_cast<double>(total) : 0.0; };
    return std::max(ratio(overuse.m_millicores, size.m_millicores),
                    ratio(overuse.m_memory_mb, size.m_memory_mb));
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
        auto& current = next[task.m_task];
        current = found == known.end() ? estimate{task.m_usage, now} : found->second;
        update(current, task.m_usage, now);
        sum += overuse(current.m_used, task.m_size);
    }
    known = std::move(next);
    return sum;
}

std::optional<task_id> usage_estimator::find_overuser(const worker_id& worker,
                                                      const resources& capacity,
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
        const auto over = relative_overuse(overuse(task.m_usage, task.m_size), task.m_size);
        if (over > 0 &&
            (worst == nullptr ||
             over > relative_overuse(overuse(worst->m_usage, worst->m_size), worst->m_size)))
            worst = &task;
    }
    if (used.fits_in(capacity) || worst == nullptr)
    {
        state.m_overloaded_since.reset();
        return std::nullopt;
    }
    if (!state.m_overloaded_since)
        state.m_overloaded_since = now;
    if (now - *state.m_overloaded_since < m_options.m_overload_delay)
        return std::nullopt;
    // The next task is stopped only if the worker stays overloaded for as long again.
    state.m_overloaded_since = now;
    return worst->m_task;
}

void usage_estimator::update(estimate& known, const resources& measured, instant now) const
{
    const std::chrono::duration<double> passed = now - known.m_updated;
    const std::chrono::duration<double> half_life = m_options.m_half_life;
    const auto decay_factor = std::exp2(-passed / half_life);
    known.m_used = {
        .m_millicores = decay(known.m_used.m_millicores, measured.m_millicores, decay_factor),
        .m_memory_mb = decay(known.m_used.m_memory_mb, measured.m_memory_mb, decay_factor)};
    known.m_updated = now;
}

resources usage_estimator::overuse(const resources& used, const resources& size) const
{
    return {.m_millicores = excess(used.m_millicores, size.m_millicores, m_options.m_tolerance),
            .m_memory_mb = excess(used.m_memory_mb, size.m_memory_mb, m_options.m_tolerance)};
}

} // namespace dragonflygap::placement
