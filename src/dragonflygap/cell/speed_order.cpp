#include "dragonflygap/cell/speed_order.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include <cstdlib>
namespace dragonflygap::cell
{
static double tune(const char* n, double d){ const char* v=getenv(n); return v?atof(v):d; }

namespace
{

// Urgent steps come many times a second while there is a load of them. Without any for this long,
// the others may use the fast workers.
constexpr duration needed_time = 3s;

// What becomes of the steps that need speed is counted over this time.
constexpr double usage_time_s = 2;

// Standard deviations by which each of so many tasks has to end in time, so that in 99 of 100 cases
// all do. Approximates the quantiles of a bell curve within 0.04 from 1 to 100 tasks.
double certainty_for(int tasks)
{
    constexpr double for_one = 2.33;
    constexpr double per_log = 0.33;
    return for_one + per_log * std::log(static_cast<double>(std::max(1, tasks)));
}

double ms_of(duration value)
{
    return std::chrono::duration<double, std::milli>(value).count();
}

// Of the time that is left, as a multiple of the step's expected time, the first part grows with the
// step's true length and the second doesn't. length: the true length as a multiple of the expected.
double log_factor(const step_need& need, duration used, double length)
{
    const double expected = std::max(1.0, ms_of(need.m_expected));
    const double with_length =
        (need.m_stretch * ms_of(need.m_chain) - ms_of(need.m_others)) / expected;
    const double fixed = ms_of(need.m_slack - used) / expected;
    const double factor = with_length + fixed / length;
    return factor > 0 ? std::log(factor) : -std::numeric_limits<double>::infinity();
}

constexpr std::array<speed_class, speed_class_count> all_classes{
    speed_class::fast, speed_class::usual, speed_class::slow, speed_class::lagging};

std::size_t index_of(speed_class speed)
{
    return static_cast<std::size_t>(speed);
}

bool is_used(const class_speeds& speeds, speed_class speed)
{
    return speed != speed_class::lagging && speeds.of(speed).m_workers > 0;
}

} // namespace

double certain_log_factor(const step_need& need)
{
    const auto used = need.m_age + need.m_start_delay;
    const double longer = std::exp(tune("SD",2) * need.m_step_deviation);
    return std::min(log_factor(need, used, longer), log_factor(need, used, 1 / longer)) -
           certainty_for(need.m_tasks) * need.m_task_deviation;
}

double possible_log_factor(const step_need& need)
{
    return log_factor(need, need.m_age, 1);
}

speed_order::speed_order(const std::array<int, speed_class_count>& ranks,
                         const std::array<bool, speed_class_count>& wanted)
    : m_wanted(wanted),
      m_matters(true),
      m_needs_speed(std::find(wanted.begin(), wanted.end(), false) != wanted.end())
{
    std::stable_sort(m_classes.begin(), m_classes.end(), [&ranks](auto left, auto right)
                     { return ranks[index_of(left)] < ranks[index_of(right)]; });
    for (std::size_t i = 0; i < m_classes.size(); ++i)
        m_positions[index_of(m_classes[i])] = static_cast<int>(i);
}

speed_demand::fitness speed_demand::measure(const class_speeds& speeds, const step_need& need)
{
    fitness result;
    const double certain = certain_log_factor(need);
    const double possible = possible_log_factor(need);
    result.m_all_certain = true;
    for (const auto speed : all_classes)
    {
        const double factor = speeds.of(speed).m_log_factor;
        result.m_certain[index_of(speed)] = speed != speed_class::lagging && factor <= certain;
        if (!is_used(speeds, speed))
            continue;
        result.m_some_possible = result.m_some_possible || factor <= possible;
        result.m_all_certain = result.m_all_certain && factor <= certain;
    }
    return result;
}

// Those on which the step is in time; if it may be late on all of them, the fastest.
std::array<bool, speed_class_count> speed_demand::wanted_classes(const class_speeds& speeds,
                                                                 const fitness& found)
{
    std::array<bool, speed_class_count> wanted{};
    bool any = false;
    for (const auto speed : all_classes)
        if (is_used(speeds, speed) && found.m_certain[index_of(speed)])
            any = wanted[index_of(speed)] = true;
    for (const auto speed : all_classes)
        if (!any && is_used(speeds, speed))
            any = wanted[index_of(speed)] = true;
    return wanted;
}

void speed_demand::decay(usage& used, instant now)
{
    const double kept =
        std::exp(-std::chrono::duration<double>(now - used.m_at).count() / usage_time_s);
    used.m_tasks *= kept;
    used.m_missed *= kept;
    used.m_at = now;
}

void speed_demand::started(int priority, int tasks, int missed, instant now)
{
    auto& used = m_usage[priority];
    decay(used, now);
    used.m_tasks += tasks;
    used.m_missed += missed;
}

void speed_demand::begin_pass(instant now)
{
    constexpr double least_usage = 0.1; // of a task; less than that is forgotten
    m_first_short = std::numeric_limits<int>::max();
    for (auto used = m_usage.begin(); used != m_usage.end();)
    {
        decay(used->second, now);
        if (used->second.m_missed > tune("MISS",.05) * used->second.m_tasks)
            m_first_short = std::min(m_first_short, used->first);
        used = used->second.m_tasks < least_usage ? m_usage.erase(used) : std::next(used);
    }
}

// Ranks: classes on which the step is in time, then those on which it may be late, then those that
// more urgent steps need and don't find room on, then workers that lag. A step that can't be in time
// anywhere is looked at again by the later limit, and beyond that takes what others leave.
speed_order speed_demand::choose(const class_speeds& speeds, const step_need* objective,
                                 const step_need* last_use, instant now)
{
    if (!speeds.differ())
        return {};
    fitness found{.m_all_certain = true};
    found.m_certain.fill(true);
    std::array<bool, speed_class_count> wanted{true, true, true, true};
    for (const auto* need : {objective, last_use})
    {
        if (need == nullptr)
            continue;
        const auto by_limit = measure(speeds, *need);
        if (!by_limit.m_some_possible)
            continue;
        found = by_limit;
        // A job that is late already is worth less than those that it would keep from being so.
        if (need == objective && !found.m_all_certain)
        {
            wanted = wanted_classes(speeds, found);
            for (std::size_t i = 0; i < wanted.size(); ++i)
                m_needed_until[i] = wanted[i] ? now + needed_time : m_needed_until[i];
        }
        break;
    }
    const bool needs_speed = std::find(wanted.begin(), wanted.end(), false) != wanted.end();
    const bool leaves_needed = tune("PRIO",1) > 0 ? objective && objective->m_priority > m_first_short : needs_speed ? objective->m_priority > m_first_short
                                           : m_first_short != std::numeric_limits<int>::max();
    std::array<int, speed_class_count> ranks{};
    for (const auto speed : all_classes)
    {
        auto& rank = ranks[index_of(speed)];
        if (speed == speed_class::lagging)
            rank = 3;
        else if (leaves_needed && now < m_needed_until[index_of(speed)])
            rank = 2;
        else
            rank = found.m_certain[index_of(speed)] ? 0 : 1;
    }
    return {ranks, wanted};
}

} // namespace dragonflygap::cell
