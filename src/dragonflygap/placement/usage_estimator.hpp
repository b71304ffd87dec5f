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
    duration m_half_life = 60s;     ///< Of an estimate's decay to the measured usage.
    double m_tolerance = 0.05;      ///< Overuse below this fraction of the size is ignored.
    duration m_overload_delay = 5s; ///< After this, the worst task of the worker is stopped.
};

/// Estimates resource usage from delayed reports: rises immediately and decays slowly. Performs no
/// I/O.
class usage_estimator
{
public:
    explicit usage_estimator(usage_estimator_options options) : m_options(options) {}

    /// Applies a worker's report; returns the sum of what its tasks use beyond their declared
    /// sizes.
    resources report(const worker_id& worker, std::span<const platform::task_report> tasks,
                     instant now);

    /// Returns the task to stop on a worker that has long been overloaded: the one furthest beyond
    /// its own size. Nothing if the worker isn't overloaded or no task exceeds its size.
    std::optional<task_id> find_overuser(const worker_id& worker, const resources& capacity,
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
    resources overuse(const resources& used, const resources& size) const;

    usage_estimator_options m_options;
    std::map<worker_id, worker_estimates> m_workers;
};

} // namespace dragonflygap::placement
