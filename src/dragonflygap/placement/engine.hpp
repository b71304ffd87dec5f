#pragma once

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/placement/job.hpp"

namespace dragonflygap::placement
{

/// A worker that this entry VM may place on.
struct placement_worker
{
    worker_id m_id;
    data_centre_id m_data_centre;
    rack_id m_rack;
    resources m_capacity;
    bool m_leaving = false;
};

/// Chooses workers for tasks and keeps account of their room. Pure: no I/O, no clock.
class engine
{
public:
    /// Adds a worker or changes what is known of it; its tasks stay.
    void set_worker(const placement_worker& worker);
    void remove_worker(const worker_id& worker);

    /// Takes room for one task of a job; nothing if no worker has it.
    std::optional<worker_id> place(const job_spec& spec);

    /// Takes room for several tasks, for all or for none.
    std::optional<std::vector<worker_id>> place_all(const job_spec& spec, int count);

    /// Takes room for a task that runs already.
    void adopt(const job_spec& spec, const worker_id& worker);

    /// Gives back the room of one task.
    void release(const job_spec& spec, const worker_id& worker);

    /// True if an empty worker could hold the task.
    bool could_ever_fit(const job_spec& spec) const;

    resources committed(const worker_id& worker) const;

private:
    struct worker_state
    {
        placement_worker m_worker;
        resources m_committed;
        std::map<job_id, int> m_tasks;
    };

    std::map<worker_id, worker_state> m_workers;
};

} // namespace dragonflygap::placement
