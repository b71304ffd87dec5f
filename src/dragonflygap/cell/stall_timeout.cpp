#include "dragonflygap/cell/stall_timeout.hpp"

#include <algorithm>

namespace dragonflygap::cell
{

namespace
{

constexpr int all_percent = 100;

} // namespace

void progress_pace::add(duration time, int percent)
{
    if (percent < 0)
        return;
    m_time += time;
    m_percent += percent;
}

duration progress_pace::per_percent() const
{
    return m_percent == 0 ? duration{} : m_time / m_percent;
}

bool progress_pace::covers_a_task() const
{
    return m_percent >= all_percent;
}

// Waiting for as long as a stop would throw away costs at most twice what the better of the two
// choices would have cost, however long the standstill lasts. The doubling bounds the number of
// stops of a task whose pace is unknown by the logarithm of its run time.
duration stall_timeout(const stall_options& options, const run_history& run)
{
    const auto per_percent =
        std::max({run.m_step.covers_a_task() ? duration{} : run.m_estimate / all_percent,
                  run.m_run.per_percent(), run.m_step.per_percent()});
    const auto timeout =
        std::max({options.m_min_timeout, options.m_percents * per_percent, run.m_unsaved});
    return timeout * (1 << std::clamp(run.m_earlier_stops, 0, options.m_max_doublings));
}

} // namespace dragonflygap::cell
