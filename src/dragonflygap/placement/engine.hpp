#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/placement/job.hpp"
#include "dragonflygap/placement/scoring.hpp"
#include "dragonflygap/placement/task_counts.hpp"
#include "dragonflygap/placement/team_ledger.hpp"
#include "dragonflygap/placement/worker_index.hpp"

namespace dragonflygap::placement
{

/// A worker that this entry VM may place tasks on.
struct placement_worker
{
    worker_id m_id;
    data_centre_id m_data_centre;
    rack_id m_rack;
    resources m_capacity;
    bool m_leaving = false;

    bool operator==(const placement_worker&) const = default;
};

/// Chooses workers for tasks and tracks their free capacity. Performs no I/O and reads no clock.
class engine
{
public:
    /// Adds a worker or updates its properties; its tasks stay.
    void set_worker(const placement_worker& worker);
    void remove_worker(const worker_id& worker);

    /// A suspended worker keeps its tasks and gets no new ones.
    void set_suspended(const worker_id& worker, bool suspended);

    /// Sets how much the tasks of a worker use beyond their declared sizes; new tasks don't get
    /// this capacity.
    void set_overuse(const worker_id& worker, const resources& overuse);

    /// Limits the total size of a team's tasks on the workers of this engine; nothing: no limit.
    void set_quota(const team_id& team, std::optional<resources> limit);

    /// Reserves the workers: other jobs, unless urgent, get no new tasks there until it is
    /// cancelled.
    void reserve(const job_id& job, std::span<const worker_id> workers);
    void cancel_reservation();

    /// Holds capacity of a worker for a job, including capacity that isn't free yet. Other jobs get
    /// only the rest.
    void hold(const job_id& job, const worker_id& worker, const resources& size);
    void drop_hold(const job_id& job, const worker_id& worker);

    /// Allocates capacity for one task on this worker, using what is held for its job first.
    bool place_on(const job_spec& spec, const worker_id& worker);

    /// Allocates capacity for one task on the best worker; nothing if no worker has enough.
    std::optional<worker_id> place(const job_spec& spec);

    /// Allocates capacity for several tasks, for all or for none.
    std::optional<std::vector<worker_id>> place_all(const job_spec& spec, int count);

    /// Allocates capacity for a task that already runs, even if there isn't enough.
    void adopt(const job_spec& spec, const worker_id& worker);

    /// Releases the capacity of one task; does nothing if the job has no task there.
    void release(const job_spec& spec, const worker_id& worker);

    /// True if an empty worker could hold the task.
    bool could_fit(const job_spec& spec) const;

    /// True if the job's rules allow its tasks on the worker as it is now, capacity aside.
    bool admits(const job_spec& spec, const worker_id& worker) const;

    /// True if one more task of this size is within the team's quota.
    bool within_quota(const job_spec& spec) const;

    /// Sum of the declared sizes of the tasks on a worker.
    resources committed(const worker_id& worker) const;

    /// Capacity for new tasks on a worker; negative after overuse or a reduced capacity.
    resources free(const worker_id& worker) const;

    /// Sum of the declared sizes of a team's tasks on the workers of this engine.
    resources committed(const team_id& team) const { return m_teams.committed(team); }

private:
    struct worker_state
    {
        placement_worker m_worker;
        inverse_capacity m_inverse;
        resources m_committed;
        resources m_overuse;
        resources m_held;
        std::int32_t m_rack = 0;
        std::int32_t m_data_centre = 0;
        bool m_in_use = false;
        bool m_suspended = false;
        bool m_reserved = false;
    };
    struct capacity_hold
    {
        job_id m_job;
        worker_slot m_slot = 0;
        resources m_size;
    };
    class search;

    std::optional<worker_slot> choose(const job_spec& spec);
    bool allowed(const job_spec& spec, const worker_state& state) const;
    void allocate(const job_spec& spec, worker_slot slot);
    void deallocate(const job_spec& spec, worker_slot slot);
    void update_free(worker_slot slot);
    std::optional<worker_slot> slot_of(const worker_id& worker) const;
    std::int32_t intern(std::unordered_map<std::string, std::int32_t>& indexes,
                        std::vector<std::int32_t>& counts, const std::string& name);

    worker_index m_index;
    std::vector<worker_state> m_workers;
    std::unordered_map<worker_id, worker_slot> m_slots;
    task_counts m_by_job;
    task_counts m_by_name;
    task_counts m_anti_affinity; ///< By the name of the job to stay apart from.
    team_ledger m_teams;
    std::vector<capacity_hold> m_holds;
    job_id m_reserved_for;
    std::unordered_map<std::string, std::int32_t> m_rack_indexes;
    std::unordered_map<std::string, std::int32_t> m_data_centre_indexes;
    // Scratch data of a search; all zero between searches.
    std::vector<std::int32_t> m_in_worker;
    std::vector<std::int32_t> m_in_rack;
    std::vector<std::int32_t> m_in_data_centre;
    std::vector<std::int32_t> m_excluded;
    std::vector<std::int32_t> m_near;
};

} // namespace dragonflygap::placement
