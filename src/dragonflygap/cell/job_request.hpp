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
    std::vector<int> m_depends_on;     ///< Earlier steps whose tasks must all be done first.
    bool m_checkpoints = false;        ///< Progress is saved and a later run resumes from it.
    bool m_gang = false;               ///< Tasks work only while all of them run.
    bool m_same_rack = false;          ///< A gang across racks runs slower.
    std::string m_label;               ///< Label that a worker must have; empty: none.
    rack_id m_data_rack;               ///< Rack where the data lies; elsewhere a task runs slower.
    int m_max_per_worker = 0;          ///< Most tasks of the step on one worker; 0: no limit.
    bool m_duplicates_allowed = false; ///< Copies of a task may run at the same time.
    bool m_long_running = false;       ///< Runs until the job is cancelled.
    std::string m_image;               ///< Tasks of one image behave alike.
    std::int64_t m_tail_latency_limit_ms =
        0; ///< Bound on the response times of a lasting task; 0: none.
    bool m_best_effort =
        false;                 ///< Takes the processor time that others leave; not counted as used.
    int m_max_unavailable = 0; ///< Lasting tasks that the scheduler may take away at the same time.

    bool operator==(const step_spec&) const = default;

    MSGPACK_DEFINE(m_count, m_size, m_expected_ms, m_depends_on, m_checkpoints, m_gang, m_same_rack,
                   m_label, m_data_rack, m_max_per_worker, m_duplicates_allowed, m_long_running,
                   m_image, m_tail_latency_limit_ms, m_best_effort, m_max_unavailable)
};

/// What a caller hands in: steps of tasks, once or at set times.
struct job_request
{
    std::string m_payload; ///< Passed to every task as it is.
    std::vector<step_spec> m_steps;
    int m_occurrences = 0;           ///< How often the steps run at set times; 0: once, now.
    std::int64_t m_first_due_ms = 0; ///< Unix time of the first occurrence.
    std::int64_t m_interval_ms = 0;

    bool operator==(const job_request&) const = default;

    MSGPACK_DEFINE(m_payload, m_steps, m_occurrences, m_first_due_ms, m_interval_ms)
};

} // namespace dragonflygap::cell
