#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/cell/approvals.hpp"
#include "dragonflygap/cell/records.hpp"
#include "dragonflygap/cell/worker.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

enum class task_status
{
    waiting,
    placed, ///< Ordered to a worker: starting, running or being stopped.
    done,
};

struct task_state
{
    task_status m_status = task_status::waiting;
    std::uint64_t m_run = 0; ///< Of the present or last placement.
    worker_id m_worker;
    std::vector<std::uint64_t>
        m_failed_runs; ///< Each counts once, in whatever order they are listed.
    std::string m_checkpoint;
    bool m_stopping = false;
};

/// One step of one occurrence.
struct step_state
{
    std::vector<task_state> m_tasks;
    int m_done = 0;
    int m_waiting = 0;
    instant m_ready_since{};          ///< When this leader first found it due; zero: it hasn't.
    instant m_not_before{};           ///< After a setback.
    instant m_next_look{};            ///< Room is looked for again, where there was none.
    step_approval m_approval;         ///< Only where the queue needs it.
    std::vector<worker_id> m_drained; ///< Workers that get nothing else until a gang fits.
};

/// A job and what became of its tasks. Pure; the coordinator decides.
class job_state
{
public:
    job_state(job_id id, job_record record);

    const job_id& id() const { return m_id; }
    const job_record& record() const { return m_record; }
    const step_spec& spec(int step) const { return m_record.m_request.m_steps[step]; }

    /// Applies what an earlier leader stored; what doesn't fit the job is left out.
    void restore(const progress_record& progress);
    progress_record progress() const;

    int occurrences() const { return static_cast<int>(m_occurrences.size()); }
    step_state& step(int occurrence, int step) { return m_occurrences[occurrence][step]; }
    const step_state& step(int occurrence, int step) const
    {
        return m_occurrences[occurrence][step];
    }
    int steps() const { return static_cast<int>(m_record.m_request.m_steps.size()); }

    /// nullptr if the job has no such task.
    task_state* find(const task_key& task);

    /// The time of an occurrence has come, whatever a clock that is set back tells afterwards.
    void mark_due(int occurrence) { m_due.insert(occurrence); }

    /// True if the steps before it are done and its time has come.
    bool is_due(int occurrence, int step, std::int64_t unix_ms) const;

    /// True if every task of every occurrence is done; never for jobs with lasting tasks.
    bool all_done() const { return m_tasks_left == 0; }

    /// True once a worker is known to have begun one of its tasks.
    bool started() const { return m_started; }
    void mark_started() { m_started = true; }

    void set_done(const task_key& task);
    void set_step_done(int occurrence, int step);
    void set_placed(const task_key& task, const worker_id& worker, std::uint64_t run);
    void set_waiting(const task_key& task);

    // How the job ends, once that is decided; shown to callers when stored.
    std::optional<job_outcome> m_outcome;
    bool m_stored = false;   ///< The job's row is durable: it is accepted.
    bool m_dirty = true;     ///< Something isn't durable yet.
    bool m_restored = false; ///< From an earlier leader: its tasks may run unseen.
    std::uint64_t m_next_run = 1;
    instant m_since{}; ///< When this leader got it.
    instant m_turn{};  ///< Its place in the order of its queue's priority.
    instant m_ended_at{};

private:
    void add_progress(progress_record& result, int occurrence, int step) const;

    job_id m_id;
    job_record m_record;
    std::vector<std::vector<step_state>> m_occurrences;
    std::size_t m_tasks_left = 0; ///< Not yet done.
    bool m_started = false;
    std::set<int> m_due; ///< Occurrences whose time has come.
};

} // namespace dragonflygap::cell
