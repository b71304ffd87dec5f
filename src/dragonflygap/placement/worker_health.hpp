#pragma once

#include <cstddef>
#include <map>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::placement
{

struct worker_health_options
{
    int m_failures_to_eject = 5; ///< Consecutive, of at least two jobs.
    duration m_initial_ejection = 30s;
    duration m_max_ejection = 600s;
    duration m_probation_timeout = 60s; ///< Without a result, another task is tried.
    double m_min_in_use = 0.7;          ///< Fraction of the workers that is never ejected.
};

/// Detects workers on which tasks of all jobs fail, and ejects them for a while. An ejected worker
/// then gets one task at a time on probation, until one succeeds. Performs no I/O.
class worker_health
{
public:
    explicit worker_health(worker_health_options options) : m_options(options) {}

    void add(const worker_id& worker) { m_workers.try_emplace(worker); }
    void remove(const worker_id& worker) { m_workers.erase(worker); }

    void record_start(const worker_id& worker, instant now);
    void record_success(const worker_id& worker);
    void record_failure(const worker_id& worker, const job_id& job, instant now);

    /// False while the worker is ejected, or on probation with its one task in flight.
    bool usable(const worker_id& worker, instant now) const;

    std::size_t ejected() const;

private:
    struct record
    {
        int m_failures = 0; ///< Since the last success.
        job_id m_first_job; ///< Of the first of these failures.
        bool m_several_jobs = false;
        int m_ejections = 0;
        bool m_ejected = false; ///< Until a task on probation succeeds.
        bool m_on_probation = false;
        instant m_until{}; ///< End of the ejection, then of the probation.
    };

    void eject(record& worker, instant now);

    worker_health_options m_options;
    std::map<worker_id, record> m_workers;
};

} // namespace dragonflygap::placement
