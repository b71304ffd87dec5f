#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "dragonflygap/cell/ports.hpp"

namespace simulated
{

using namespace dragonflygap;
using namespace dragonflygap::cell;

/// The ends that a worker lists in one report.
inline std::vector<ended_task> first_ends(std::vector<ended_task> ends,
                                          std::size_t ends_per_report = 500)
{
    if (ends.size() > ends_per_report)
        ends.resize(ends_per_report);
    return ends;
}

/// A worker that accepts every order and answers renewals.
struct simulated_worker
{
    struct run_state
    {
        std::uint64_t m_run = 0;
        resources m_size;
        duration m_work_time{};    ///< At speed 1; for a gang, counted from when it is complete.
        instant m_working_since{}; ///< Zero: waits for the rest of its gang.
        duration m_done_before{};  ///< Of m_work_time, before m_working_since.
        double m_speed = 1;        ///< Since then.
        int m_changes = 0;         ///< Of the speed.

        duration done(instant now) const
        {
            if (m_working_since == instant{})
                return {};
            const auto since = static_cast<double>((now - m_working_since).count());
            return m_done_before + duration(static_cast<std::int64_t>(since * m_speed));
        }
        duration time_left(instant now) const
        {
            const auto left = static_cast<double>((m_work_time - done(now)).count());
            return duration(static_cast<std::int64_t>(left / m_speed));
        }
        int percent(instant now) const
        {
            constexpr int all = 100;
            return static_cast<int>(std::min<std::int64_t>(
                all, all * done(now) / std::max(m_work_time, duration(1))));
        }
        void set_speed(double speed, instant now)
        {
            m_done_before = done(now);
            m_working_since = now;
            m_speed = speed;
            ++m_changes;
        }
    };
    /// A renewal that waits for a task to end.
    struct pending_renewal
    {
        instant m_sent{};
        instant m_until{};
    };

    std::map<task_key, run_state> m_running;
    std::vector<ended_task> m_ended;
    std::uint64_t m_last_end = 0;
    std::optional<pending_renewal> m_pending_renewal;
    double m_speed = 1;
    std::uint64_t m_started_at = 1;

    resources used() const
    {
        resources sum;
        for (const auto& [task, run] : m_running)
            sum += run.m_size;
        return sum;
    }

    void acknowledge(std::uint64_t up_to)
    {
        std::erase_if(m_ended, [up_to](const ended_task& end) { return end.m_number <= up_to; });
    }

    /// True if the run existed.
    bool end(const task_key& task, std::uint64_t run, end_kind kind)
    {
        const auto found = m_running.find(task);
        if (found == m_running.end() || found->second.m_run != run)
            return false;
        m_running.erase(found);
        m_ended.push_back(
            {.m_number = ++m_last_end, .m_task = task, .m_run = run, .m_end_kind = kind});
        return true;
    }

    worker_report report(instant now) const
    {
        worker_report result{.m_clock_ms = to_ms(now.time_since_epoch()),
                             .m_started_at = m_started_at};
        for (const auto& [task, run] : m_running)
            result.m_running.push_back(
                {.m_task = task, .m_run = run.m_run, .m_progress_percent = run.percent(now)});
        result.m_ended = first_ends(m_ended);
        return result;
    }
};

} // namespace simulated
