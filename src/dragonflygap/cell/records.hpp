#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dragonflygap/cell/job_request.hpp"
#include "dragonflygap/cell/queue_rules.hpp"

/// Rows that the scheduler keeps in the platform's table service, all in one part.
namespace dragonflygap::cell
{

inline constexpr std::string_view cell_part = "cell";
inline constexpr std::string_view leader_table = "leader"; ///< One row: leader_record.
inline constexpr std::string_view member_table = "member"; ///< A row for each entry VM.
inline constexpr std::string_view job_table = "job";       ///< Accepted jobs that haven't ended.
inline constexpr std::string_view progress_table = "progress"; ///< What became of their tasks.
inline constexpr std::string_view ended_table = "ended";       ///< How jobs ended.
inline constexpr std::string_view leader_key = "leader";

/// Names the VM that schedules; every transaction of a leader rewrites it under a condition.
struct leader_record
{
    std::uint64_t m_epoch = 0; ///< Rises with each leader; the fencing token towards workers.
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_commit = 0; ///< Number of the transaction that wrote this row.

    bool operator==(const leader_record&) const = default;
    MSGPACK_DEFINE(m_epoch, m_vm, m_incarnation, m_commit)
};

struct member_record
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::string m_address; ///< For peer messages.
    std::uint64_t m_incarnation = 0;
    double m_processor_share = 1; ///< Of a core: stronger VMs lead first.

    bool operator==(const member_record&) const = default;
    MSGPACK_DEFINE(m_vm, m_data_centre, m_address, m_incarnation, m_processor_share)
};

/// A job keeps the rules under which it was accepted.
struct job_record
{
    queue_rules m_queue;
    job_request m_request;
    std::int64_t m_accepted_ms = 0; ///< Unix time by the clock of the leader that accepted it.

    MSGPACK_DEFINE(m_queue, m_request, m_accepted_ms)
};

/// What a task carries over from one leader to the next.
struct task_progress
{
    static constexpr int whole_step = -1; ///< An index: every task of the step is done.

    int m_occurrence = 0;
    int m_step = 0;
    int m_index = 0;
    bool m_done = false;
    std::vector<std::uint64_t> m_failed_runs; ///< Kept one by one: an end may be listed again.
    std::string m_checkpoint;

    MSGPACK_DEFINE(m_occurrence, m_step, m_index, m_done, m_failed_runs, m_checkpoint)
};

struct progress_record
{
    std::vector<task_progress> m_tasks; ///< Those that differ from a task that never ran.

    MSGPACK_DEFINE(m_tasks)
};

/// Every worker that may run tasks of this cell: a new leader has to hear from each of them.
struct workers_record
{
    std::vector<std::pair<worker_id, std::string>> m_workers; ///< With their addresses.

    MSGPACK_DEFINE(m_workers)
};
inline constexpr std::string_view workers_table = "workers"; ///< One row: workers_record.
inline constexpr std::string_view workers_key = "workers";

enum class job_outcome
{
    completed,
    failed,
    cancelled,
};

struct ended_record
{
    int m_outcome = 0; ///< A job_outcome.

    MSGPACK_DEFINE(m_outcome)
};

} // namespace dragonflygap::cell
