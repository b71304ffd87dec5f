#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "dragonflygap/cell/job_request.hpp"
#include "dragonflygap/cell/queue_rules.hpp"

/// Rows that the scheduler stores in the platform's table service, all in one part.
namespace dragonflygap::cell
{

inline constexpr std::string_view cell_part = "cell";
inline constexpr std::string_view leader_table = "leader"; ///< One row: leader_record.
inline constexpr std::string_view member_table = "member"; ///< One row per entry VM.
inline constexpr std::string_view job_table = "job";       ///< Accepted jobs that haven't ended.
inline constexpr std::string_view progress_table = "progress"; ///< Progress of their tasks.
inline constexpr std::string_view ended_table = "ended";       ///< Outcomes of ended jobs.
inline constexpr std::string_view leader_key = "leader";

/// Identifies the leader; each of its transactions rewrites this row conditionally.
struct leader_record
{
    std::uint64_t m_epoch = 0; ///< Increases with each leader; the fencing token for workers.
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_commit = 0; ///< Number of the transaction that wrote this row.
    /// All leaders from this epoch on store that they use a worker before they do; 0: unknown.
    std::uint64_t m_uses_stored_since = 0;

    bool operator==(const leader_record&) const = default;
    MSGPACK_DEFINE(m_epoch, m_vm, m_incarnation, m_commit, m_uses_stored_since)
};

struct member_record
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::string m_address; ///< For peer messages.
    std::uint64_t m_incarnation = 0;
    double m_processor_share = 1; ///< In cores; VMs with a larger share are preferred as leader.
    std::int64_t m_memory_mb = 0; ///< That its process may use; 0: unknown, from an earlier build.

    bool operator==(const member_record&) const = default;
    MSGPACK_DEFINE(m_vm, m_data_centre, m_address, m_incarnation, m_processor_share, m_memory_mb)
};

/// A job and the rules under which it was accepted.
struct job_record
{
    queue_rules m_queue;
    job_request m_request;
    std::int64_t m_accepted_ms = 0; ///< Unix time by the clock of the leader that accepted it.
    customer_id m_customer;         ///< Empty: the job was submitted without a key.
    /// At acceptance; applies once the configuration no longer lists the customer.
    resources m_customer_limit;

    MSGPACK_DEFINE(m_queue, m_request, m_accepted_ms, m_customer, m_customer_limit)
};

/// Progress of a task, preserved across leaders.
struct task_progress
{
    static constexpr int whole_step = -1; ///< Index: every task of the step is done.

    int m_occurrence = 0;
    int m_step = 0;
    int m_index = 0;
    bool m_done = false;
    /// Run numbers rather than a count, as an end may be reported again.
    std::vector<std::uint64_t> m_failed_runs;
    std::string m_checkpoint;

    MSGPACK_DEFINE(m_occurrence, m_step, m_index, m_done, m_failed_runs, m_checkpoint)
};

/// Tasks of a step that are done: all, in successive occurrences, or some, in one occurrence.
struct done_range
{
    int m_step = 0;
    int m_first_occurrence = 0;
    int m_last_occurrence = 0;
    int m_first_index = task_progress::whole_step;
    int m_last_index = task_progress::whole_step;

    MSGPACK_DEFINE(m_step, m_first_occurrence, m_last_occurrence, m_first_index, m_last_index)
};

/// Tasks of a step of one occurrence that are done.
struct done_bits
{
    int m_step = 0;
    int m_occurrence = 0;
    std::string m_bits; ///< Bit i % 8 of byte i / 8: task i is done.

    MSGPACK_DEFINE(m_step, m_occurrence, m_bits)
};

/// How often runs of a task were stopped because they stood still.
struct step_stalls
{
    int m_occurrence = 0;
    int m_step = 0;
    int m_stalls = 0; ///< The most of any task of the step.

    MSGPACK_DEFINE(m_occurrence, m_step, m_stalls)
};

/// Progress of a job, in one row or several. Each entry holds by itself, so an entry that was
/// stored earlier, or twice, does no harm.
struct progress_record
{
    std::vector<task_progress> m_tasks; ///< Only tasks with progress.
    /// Done tasks that aren't in m_tasks; used only for long schedules and wide steps, as earlier
    /// versions don't read it.
    std::vector<done_range> m_done;
    /// Done tasks that would take many ranges.
    std::vector<done_bits> m_done_bits;
    std::vector<step_stalls> m_stalls; ///< Of steps with any; none in rows of earlier builds.

    MSGPACK_DEFINE(m_tasks, m_done, m_done_bits, m_stalls)
};

inline constexpr std::size_t max_row_bytes = 65536; ///< The store refuses a larger row.

/// Workers that haven't reported to the leader that wrote the row.
struct unheard_workers
{
    std::int64_t m_leases_until_ms = 0; ///< Of earlier leaders, by the store's clock.
    bool m_used = true; ///< False: the leader starts nothing there and renews no lease.
    std::vector<std::uint32_t> m_positions; ///< In workers_record::m_workers.

    MSGPACK_DEFINE(m_leases_until_ms, m_used, m_positions)
};

/// The life of a worker that the leader knew when it wrote the row.
struct life_record
{
    std::uint64_t m_started_at = 0; ///< 0: unknown.
    /// A lease by the clock of a former life may last until then, by the store's clock; 0: none.
    std::int64_t m_lease_until_ms = 0;

    bool operator==(const life_record&) const = default;
    MSGPACK_DEFINE(m_started_at, m_lease_until_ms)
};

/// Workers that may run tasks of this cell, in one row or several: a new leader needs a report from
/// each, or waits until the leases there have run out.
struct workers_record
{
    std::vector<std::pair<worker_id, std::string>> m_workers; ///< With their addresses.
    std::uint64_t m_epoch = 0;                                ///< Of the leader that wrote the row.
    std::vector<unheard_workers> m_unheard; ///< The others reported to that leader and are used.
    std::vector<life_record> m_lives;       ///< Of each worker; none in rows of earlier builds.

    MSGPACK_DEFINE(m_workers, m_epoch, m_unheard, m_lives)
};
inline constexpr std::string_view workers_table = "workers"; ///< Each row: workers_record.
inline constexpr std::string_view workers_key = "workers";

enum class job_outcome
{
    completed,
    failed,
    cancelled,
};

struct ended_record
{
    int m_outcome = 0;      ///< A job_outcome.
    customer_id m_customer; ///< Of the job; empty: none, or the row of an earlier build.

    MSGPACK_DEFINE(m_outcome, m_customer)
};

} // namespace dragonflygap::cell
