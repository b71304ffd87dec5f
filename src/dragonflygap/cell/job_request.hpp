#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dragonflygap/cell/packing.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"

namespace dragonflygap::cell
{

/// Tasks of one kind within a job.
struct step_spec
{
    int m_count = 1;
    resources m_size;
    std::int64_t m_expected_ms = 0;    ///< Rough estimate of one task's run time.
    std::vector<int> m_depends_on;     ///< Indices of earlier steps that must be done first.
    bool m_checkpoints = false;        ///< Tasks save checkpoints, from which a later run resumes.
    bool m_gang = false;               ///< Tasks make progress only while all of them run.
    bool m_same_rack = false;          ///< Preferred: a gang runs slower across racks.
    std::string m_label;               ///< Label that a worker must have; empty: none.
    rack_id m_data_rack;               ///< Rack that holds the data; tasks run slower elsewhere.
    int m_max_per_worker = 0;          ///< Limit for tasks of the step on one worker; 0: none.
    bool m_duplicates_allowed = false; ///< Several copies of a task may run at the same time.
    bool m_long_running = false;       ///< Tasks run until the job is cancelled.
    std::string m_image;               ///< Tasks of one image behave alike.
    /// Bound on the tail latency of a long-running task; 0: none.
    std::int64_t m_tail_latency_limit_ms = 0;
    /// Uses processor time that other tasks leave idle; not counted as used.
    bool m_best_effort = false;
    /// Maximum number of long-running tasks that the scheduler may stop at the same time.
    int m_max_unavailable = 0;

    bool operator==(const step_spec&) const = default;

    MSGPACK_DEFINE(m_count, m_size, m_expected_ms, m_depends_on, m_checkpoints, m_gang, m_same_rack,
                   m_label, m_data_rack, m_max_per_worker, m_duplicates_allowed, m_long_running,
                   m_image, m_tail_latency_limit_ms, m_best_effort, m_max_unavailable)
};

/// A caller's submission: steps of tasks, run once or on a schedule.
struct job_request
{
    std::string m_payload; ///< Passed to every task unchanged.
    std::vector<step_spec> m_steps;
    int m_occurrences = 0;           ///< How often the scheduled steps run; 0: once, immediately.
    std::int64_t m_first_due_ms = 0; ///< Unix time of the first occurrence.
    std::int64_t m_interval_ms = 0;

    bool operator==(const job_request&) const = default;

    MSGPACK_DEFINE(m_payload, m_steps, m_occurrences, m_first_due_ms, m_interval_ms)
};

} // namespace dragonflygap::cell
