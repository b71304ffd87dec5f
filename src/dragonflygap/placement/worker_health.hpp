#pragma once

#include <cstddef>
#include <map>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::placement
{

struct worker_health_options
{
    int m_failures_to_eject = 5; ///< In a row, of at least two jobs.
    duration m_first_ejection = 30s;
    duration m_longest_ejection = 600s;
    duration m_trial = 60s;      ///< Without a result for longer, another task is tried.
    double m_least_in_use = 0.7; ///< Share of the workers that is never ejected.
};

/// Finds workers that fail whatever they are given, and keeps new tasks away from them for a
/// while. Afterwards one task at a time shows whether the worker is well again. Pure.
class worker_health
{
public:
    explicit worker_health(worker_health_options options) : m_options(options) {}

    void add(const worker_id& worker) { m_workers.try_emplace(worker); }
    void remove(const worker_id& worker) { m_workers.erase(worker); }

    void started(const worker_id& worker, instant now);
    void succeeded(const worker_id& worker);
    void failed(const worker_id& worker, const job_id& job, instant now);

    /// False while the worker is ejected, or on probation with its one task under way.
    bool usable(const worker_id& worker, instant now) const;

    std::size_t ejected() const;

private:
    struct record
    {
        int m_failures = 0;
        job_id m_first_job;
        bool m_many_jobs = false;
        int m_ejections = 0;
        bool m_ejected = false; ///< Until a task on probation succeeds.
        bool m_on_trial = false;
        instant m_until{}; ///< Of the ejection, then of the trial.
    };

    void eject(record& worker, instant now);

    worker_health_options m_options;
    std::map<worker_id, record> m_workers;
};

} // namespace dragonflygap::placement
