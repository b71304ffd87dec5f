#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "dragonflygap/cell/job_request.hpp"
#include "dragonflygap/cell/queue_rules.hpp"
#include "dragonflygap/cell/queue_times.hpp"
#include "dragonflygap/cell/step_times.hpp"
#include "dragonflygap/cell/worker_speeds.hpp"

namespace dragonflygap::cell
{

/// A run that ended as done.
struct finished_run
{
    const queue_rules& m_queue;
    const step_spec& m_spec;
    worker_number m_worker = 0; ///< Of a gang: the slowest member's.
    instant m_began{};
    duration m_time{};
};

/// A run as of its worker's last report.
struct open_run
{
    const queue_rules& m_queue;
    const step_spec& m_spec;
    worker_number m_worker = 0;
    duration m_elapsed{};
    int m_percent = 0;
    // The latest part of the run, whose progress is looked at by itself.
    duration m_part{};           ///< Zero: none.
    duration m_elapsed_before{}; ///< When the part began,
    int m_percent_before = 0;    ///< and how much was done by then.
};

enum class run_pace
{
    unknown, ///< Too little is known of such runs, or of this one.
    usual,
    overdue, ///< It takes far longer, or will at the speed of its latest part.
};

/// The state of the run times of a cell: what a step is expected to take on an average worker, and
/// how workers compare. A run's time is taken as the caller's estimate, times the usual error of its
/// queue's estimates, times that of this step's, times the slowness of the worker; each run corrects
/// these factors in proportion to how uncertain each of them is. Answers the load of a cell whose
/// estimates are wrong and whose workers have unlike speeds that nobody reports. Does no I/O.
///
/// Learned times order and choose; no limit, lease or decision whether a job is accepted depends on
/// them.
class run_times
{
public:
    /// Expected time of a step's tasks on an average worker; the caller's estimate without runs.
    std::int64_t expected_ms(const queue_id& queue, const step_spec& spec) const;

    /// Standard deviation of the log of a step's time, compared with the expected one.
    double step_deviation(const queue_id& queue) const;
    /// The same of one task, compared with its step.
    double task_deviation(const queue_id& queue) const;

    /// last: no other run of the step will end.
    void add(const finished_run& run, bool last, step_times& step, instant now);

    /// How a run gets on, compared with what is usual on its worker.
    run_pace pace_of(const open_run& run, const step_times& step, instant now) const;

    /// From when a step was ready until all of its tasks were started.
    void add_start_delay(const queue_id& queue, duration delay);
    /// The delay that few steps exceed; zero if none was seen.
    duration start_delay(const queue_id& queue) const;

    worker_speeds& speeds() { return m_speeds; }
    const worker_speeds& speeds() const { return m_speeds; }
    void for_each_queue(
        const std::function<void(const queue_id&, const queue_times&)>& visit) const;

private:
    struct queue_state
    {
        queue_times m_times;
        int m_delays = 0; ///< That count.
        duration m_delay_mean{};
        duration m_delay_deviation{};
        std::uint64_t m_last_used = 0;
    };

    /// Log of the usual time of such a run in ms, and its variance.
    struct usual_time
    {
        double m_log_ms = 0;
        double m_variance = 0;
    };

    /// The runs of a step, by worker.
    struct comparison
    {
        struct worker
        {
            worker_number m_worker = 0;
            int m_runs = 0;
            double m_sum = 0;     ///< Of the log ratios,
            double m_squares = 0; ///< and of their squares.
            double m_effect = 0;  ///< Of the step, as this worker shows it.
            double m_variance = 0;
            double m_weight = 0;

            double mean() const { return m_sum / m_runs; }
            /// Variance of the runs around their mean.
            double scatter() const
            {
                return std::max(0.0, (m_squares - m_sum * mean()) / (m_runs - 1));
            }
        };
        std::vector<worker> m_workers;
        double m_effect = 0; ///< Of the step.
        double m_precision = 1;
    };

    comparison compare(const step_times& step, double task_variance, instant now) const;
    void learn(const finished_run& run, const comparison& compared, step_times& step, instant now);
    std::optional<usual_time> usual(const open_run& run, const step_times& step, instant now) const;
    queue_state& open(const queue_id& queue);
    const queue_state& find(const queue_id& queue) const;

    worker_speeds m_speeds;
    std::map<queue_id, queue_state> m_queues;
    std::uint64_t m_uses = 0;
};

} // namespace dragonflygap::cell
