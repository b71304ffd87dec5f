#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "dragonflygap/cell/job_request.hpp"
#include "dragonflygap/cell/queue_rules.hpp"
#include "dragonflygap/core/endpoint.hpp"

namespace dragonflygap::cell
{

/// A worker as listed by the platform.
struct worker_info
{
    worker_id m_id;
    service_id m_service;
    endpoint m_address;
    data_centre_id m_data_centre;
    resources m_capacity;
    std::vector<std::string> m_labels; ///< Its kind and its rack.
    rack_id m_rack;
    bool m_leaving = false;
    std::int64_t m_remaining_ms = 0; ///< Minimum time that a leaving worker still has.
    /// Unix time in ms of its process's start, as in its reports; 0: unknown.
    std::uint64_t m_started_at = 0;

    bool operator==(const worker_info&) const = default;
    bool has_label(const std::string& label) const
    {
        return std::find(m_labels.begin(), m_labels.end(), label) != m_labels.end();
    }
};

/// One task of one occurrence of a job.
struct task_key
{
    job_id m_job;
    int m_occurrence = 0;
    int m_step = 0;
    int m_index = 0;

    auto operator<=>(const task_key&) const = default;
};

/// All tasks of one step of one occurrence.
struct step_key
{
    job_id m_job;
    int m_occurrence = 0;
    int m_step = 0;

    auto operator<=>(const step_key&) const = default;

    MSGPACK_DEFINE(m_job, m_occurrence, m_step)
};

inline step_key step_of(const task_key& task)
{
    return {task.m_job, task.m_occurrence, task.m_step};
}

enum class end_kind
{
    done,
    failed,
    stopped, ///< By a scheduler's order.
    lapsed,  ///< The lease expired.
    broken,  ///< Another member of the gang ended.
    alone,   ///< The other members of the gang didn't start in time.
};

struct running_task
{
    task_key m_task;
    std::uint64_t m_run = 0;
    std::string m_checkpoint;
    int m_progress_percent = 0;
    /// Tail latency in ms of a long-running task, otherwise millicores in use.
    std::int64_t m_usage = 0;
};

struct ended_task
{
    std::uint64_t m_number = 0; ///< Sequence number of the end at the worker.
    task_key m_task;
    std::uint64_t m_run = 0;
    end_kind m_end_kind = end_kind::done;
    std::string m_checkpoint;
};

/// A worker's answer to a lease renewal.
struct worker_report
{
    std::int64_t m_clock_ms = 0;    ///< The worker's own steady clock.
    std::uint64_t m_started_at = 0; ///< Distinguishes restarts of a worker under the same id.
    std::vector<running_task> m_running;
    std::vector<ended_task> m_ended;
};

enum class start_refusal
{
    none,
    fenced,   ///< The worker has seen a higher fencing token.
    outdated, ///< The run isn't higher than one that ended there.
    too_late, ///< The order's deadline had passed.
    no_room,
    no_ticket, ///< The ticket is invalid or has expired.
    invalid,   ///< The order was malformed.
    unhealthy,
    wrong_worker ///< Another worker process answers at this address.
};

} // namespace dragonflygap::cell
