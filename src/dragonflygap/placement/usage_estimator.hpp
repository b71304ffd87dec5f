#pragma once

#include <map>
#include <span>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/placement/engine.hpp"
#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::placement
{

struct usage_estimator_options
{
    duration m_half_life = 60s;   ///< In which an estimate sinks half way to what is measured.
    double m_tolerance = 0.05;    ///< Overuse below this share of the size is ignored.
    duration m_overload_for = 5s; ///< Longer overload of a worker has its worst task stopped.
};

/// Estimates what tasks use from late reports: rises at once, sinks slowly. Pure.
class usage_estimator
{
public:
    explicit usage_estimator(usage_estimator_options options) : m_options(options) {}

    /// Takes a worker's report; what its tasks use beyond their declared sizes, together.
    resources report(const worker_id& worker, std::span<const platform::task_report> tasks,
                     instant now);

    /// The task to stop on a worker that has been used beyond its capacity for long: the one
    /// furthest beyond its own size. Nothing if the worker isn't, or no task is.
    std::optional<task_id> overuser(const worker_id& worker, const resources& capacity,
                                    std::span<const platform::task_report> tasks, instant now);

    void remove_worker(const worker_id& worker) { m_workers.erase(worker); }

private:
    struct estimate
    {
        resources m_used;
        instant m_updated{};
    };
    struct worker_estimates
    {
        std::map<task_id, estimate> m_tasks;
        std::optional<instant> m_overloaded_since;
    };

    void update(estimate& known, const resources& measured, instant now) const;
    resources beyond(const resources& used, const resources& size) const;

    usage_estimator_options m_options;
    std::map<worker_id, worker_estimates> m_workers;
};

} // namespace dragonflygap::placement
