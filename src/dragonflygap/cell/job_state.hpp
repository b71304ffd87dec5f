#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "dragonflygap/cell/approvals.hpp"
#include "dragonflygap/cell/customer_usage.hpp"
#include "dragonflygap/cell/memory_budget.hpp"
#include "dragonflygap/cell/number_ranges.hpp"
#include "dragonflygap/cell/records.hpp"
#include "dragonflygap/cell/stall_timeout.hpp"
#include "dragonflygap/cell/worker.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

enum class task_status
{
    waiting,
    placed, ///< Assigned to a worker: starting, running or being stopped.
    done,
};

struct task_state
{
    task_status m_status = task_status::waiting;
    std::uint64_t m_run = 0; ///< Of the current or last placement.
    worker_id m_worker;
    /// Run numbers rather than a count, as an end may be reported again.
    std::vector<std::uint64_t> m_failed_runs;
    std::string m_checkpoint;
    bool m_stopping = false;
    int m_stalls = 0; ///< Runs that this leader stopped because they stood still.
};

/// How a job stands against the objective of its queue: a multiple of its longest chain of work,
/// and a slack.
enum class lateness
{
    on_time, ///< It can still meet its objective.
    late,
    very_late, ///< Beyond three times its objective: hardly of use to its caller.
};

/// Why a waiting step requested no approval when it was last looked at.
enum class approval_pause
{
    none,           ///< It requested one, or needs none.
    vms_busy,       ///< No VM can make its call soon, or enough calls are in flight.
    drains_workers, ///< Workers for all tasks of the gang are closed to other steps.
    no_candidates,  ///< No other worker has room for one of its tasks.
};

/// One step of one occurrence.
struct step_state
{
    std::vector<task_state> m_tasks;
    int m_done = 0;
    int m_waiting = 0;
    instant m_ready_since{};              ///< When this leader first found it due; zero: not yet.
    instant m_not_before{};               ///< Backoff after a failed start.
    instant m_next_attempt_at{};          ///< When to search for free capacity again.
    step_approval m_approval;             ///< Unused if the queue needs no approval.
    std::vector<worker_number> m_drained; ///< Workers closed to other steps until the gang fits.
    approval_pause m_approval_pause = approval_pause::none;
    progress_pace m_pace;      ///< Seen of all runs.
    int m_restored_stalls = 0; ///< The most of any task under earlier leaders.

    /// Number of runs of a task that were stopped because they stood still, under all leaders; may
    /// be too high, not too low.
    int stalls(int index) const { return m_restored_stalls + m_tasks[index].m_stalls; }
};

/// The steps of one occurrence.
using occurrence_state = std::vector<step_state>;

/// A job and the state of its tasks. Holds a state only of the occurrences that are due or have
/// progress, as a schedule may have any number of them. Does no I/O; the coordinator makes the
/// decisions.
class job_state
{
public:
    job_state(job_id id, job_record record, std::shared_ptr<memory_budget> budget = nullptr);

    /// Estimate of the memory that a job takes at least: for itself and one occurrence, in bytes.
    static std::size_t min_memory(const job_record& record);
    /// The same for one occurrence that is due, in bytes.
    std::size_t occurrence_memory() const { return m_occurrence_memory; }
    /// Estimate of the memory that the job takes, in bytes.
    std::size_t memory() const { return m_memory.bytes(); }

    const job_id& id() const { return m_id; }
    const job_record& record() const { return m_record; }
    const step_spec& spec(int step) const { return m_record.m_request.m_steps[step]; }

    /// Applies stored progress; ignores entries that don't fit the job.
    void restore(const progress_record& progress);
    progress_record progress() const;

    int occurrences() const { return std::max(1, m_record.m_request.m_occurrences); }
    /// Occurrences with a state, by number; the others aren't due yet or are done.
    const std::map<int, occurrence_state>& open_occurrences() const { return m_open; }
    std::map<int, occurrence_state>& open_occurrences() { return m_open; }
    /// Gives an occurrence a state unless it has one.
    occurrence_state& open(int occurrence);
    /// Drops the state of a scheduled occurrence whose steps are all done.
    void close_if_done(int occurrence);
    /// The first occurrence from this one on that isn't done.
    int next_undone(int occurrence) const { return m_done.next_absent(occurrence); }

    step_state& step(int occurrence, int step) { return open(occurrence)[step]; }
    /// The occurrence has to be open.
    const step_state& step(int occurrence, int step) const { return m_open.at(occurrence)[step]; }
    int steps() const { return static_cast<int>(m_record.m_request.m_steps.size()); }

    bool has_task(const task_key& task) const;
    /// nullptr if the job has no such task, or its occurrence was closed.
    task_state* find(const task_key& task);

    /// Marks an occurrence and all before it as due, even if the clock is set back afterwards.
    void mark_due(int occurrence) { m_due_count = std::max(m_due_count, occurrence + 1); }

    /// True if the occurrence is due and the steps that the step depends on are done.
    bool is_due(int occurrence, int step, std::int64_t unix_ms) const;

    /// True if every task of every occurrence is done; never for jobs with long-running tasks.
    bool all_done() const { return m_remaining_tasks == 0; }

    /// True once a worker is known to have started one of its tasks.
    bool started() const { return m_started; }
    void mark_started() { m_started = true; }

    void set_done(const task_key& task);
    void set_step_done(int occurrence, int step);
    void set_placed(const task_key& task, const worker_id& worker, std::uint64_t run);
    void set_waiting(const task_key& task);

    // The outcome once it is decided; callers see it after it is stored.
    std::optional<job_outcome> m_outcome;
    bool m_stored = false;                    ///< The job's row is durable, so the job is accepted.
    bool m_dirty = true;                      ///< Some changes aren't durable yet.
    std::size_t m_progress_rows = 0;          ///< That the store may have.
    instant m_checkpoints_stored_at{};        ///< When all of those rows were written last.
    bool m_store_without_checkpoints = false; ///< The store refused them.
    int m_store_refusals = 0; ///< In a row, of transactions with nothing else in them.
    instant m_store_refused_at{};
    instant m_store_not_before{}; ///< Backoff after such a refusal.
    /// From an earlier leader: its tasks may run on workers that haven't reported.
    bool m_restored = false;
    std::uint64_t m_next_run = 1;
    customer_index m_customer = no_customer;
    instant m_since{};                       ///< When the job was accepted, by this leader's clock.
    instant m_rank_time{};                   ///< Its order among jobs of the same priority.
    lateness m_lateness = lateness::on_time; ///< As last looked at.
    instant m_later_at{};                    ///< The lateness doesn't grow before.
    instant m_ended_at{};

private:
    void restore_bits(const done_bits& bits);
    void restore_tasks(const done_range& range);
    void restore_steps(const std::vector<number_ranges>& done_steps);
    std::int64_t tasks_per_occurrence() const;
    void update_memory();
    void add_progress(progress_record& result, int occurrence, int step) const;

    job_id m_id;
    job_record m_record;
    std::map<int, occurrence_state> m_open;
    number_ranges m_done;               ///< Occurrences that were closed.
    std::int64_t m_remaining_tasks = 0; ///< Tasks that aren't done yet.
    bool m_started = false;
    int m_due_count = 0;                 ///< Occurrences marked as due.
    std::size_t m_own_memory = 0;        ///< Without occurrences.
    std::size_t m_occurrence_memory = 0; ///< Of each open occurrence.
    memory_share m_memory;
};

} // namespace dragonflygap::cell
