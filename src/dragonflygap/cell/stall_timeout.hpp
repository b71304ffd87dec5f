#pragma once

#include <cstdint>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// Work that was seen: how long it took, and how many percent of a task it was.
class progress_pace
{
public:
    /// A percent of 0 adds to the time of the next one. Has no effect if percent is negative.
    void add(duration time, int percent);

    /// Time of one percent; zero: nothing was seen.
    duration per_percent() const;

    /// True if the work seen is as much as one whole task.
    bool covers_a_task() const;

private:
    duration m_time{};
    std::int64_t m_percent = 0;
};

struct stall_options
{
    /// At least; reports arrive at least every 2 s.
    duration m_min_timeout = 2500ms;
    /// At least the time in which a task advances by so many percent.
    int m_percents = 5;
    /// For a task that stands still beside others that advance, times as long.
    int m_timeout_factor_beside_others = 4;
    /// The timeout doubles with each earlier stop, up to this number.
    int m_max_doublings = 16;
};

/// What is known about the pace of a run, and what a stop of it would cost.
struct run_history
{
    duration m_estimate{};   ///< Of the task's whole run time; rough.
    progress_pace m_run;     ///< Seen of this run.
    progress_pace m_step;    ///< Seen of all runs of its step.
    duration m_unsaved{};    ///< Work that a stop would lose.
    int m_earlier_stops = 0; ///< Of runs of the task, because they stood still.
};

/// How long a run may stand still before it is stopped.
duration stall_timeout(const stall_options& options, const run_history& run);

} // namespace dragonflygap::cell
