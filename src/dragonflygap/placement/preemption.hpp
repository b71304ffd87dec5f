#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/placement/engine.hpp"

namespace dragonflygap::placement
{

/// A running task that may be stopped for urgent work.
struct victim_candidate
{
    task_id m_task;
    job_id m_job;
    worker_id m_worker;
    resources m_size;
    job_kind m_kind = job_kind::batch;
    bool m_urgent = false;
    bool m_checkpoints = false; ///< Its work survives a stop.
    duration m_elapsed{};
};

/// The cost of stopping some tasks; lower is better.
struct preemption_cost
{
    int m_services = 0;
    int m_gang_tasks = 0;
    double m_lost_work = 0; ///< Processor seconds.

    auto operator<=>(const preemption_cost&) const = default;
};

/// The tasks to stop on one worker to free capacity for an urgent task.
struct preemption_plan
{
    worker_id m_worker;
    std::vector<victim_candidate> m_victims;
    preemption_cost m_cost;
};

/// Returns the cheapest plan for one task; nothing if none is possible without stopping
/// urgent tasks or breaking the job's rules.
std::optional<preemption_plan> plan_preemption(const job_spec& urgent, const engine& placements,
                                               std::span<const victim_candidate> candidates);

struct preemptor_options
{
    duration m_confirm_timeout = 2500ms; ///< Then another worker is tried as well.
    int m_max_plans = 3;                 ///< Per task.
};

/// The preemption for one urgent task, on one worker or, if that one stays silent, on more.
struct preemption
{
    job_spec m_spec;
    std::vector<preemption_plan> m_plans;
    instant m_last_plan_at{};
};

/// Frees capacity for urgent tasks and holds it until they start. Performs no I/O.
class preemptor
{
public:
    using task_key = std::pair<job_id, int>; ///< Job and index of the task.

    explicit preemptor(preemptor_options options) : m_options(options) {}

    /// Plans for a task that doesn't fit; returns the tasks to stop now, none if it has to wait.
    std::vector<victim_candidate> make_plan(const task_key& task, const job_spec& spec,
                                            engine& placements,
                                            std::span<const victim_candidate> candidates,
                                            instant now);

    /// Allocates capacity on a planned worker whose victims have ended; returns that worker.
    std::optional<worker_id> try_place(const task_key& task, engine& placements);

    /// Drops the plans and holds of a task.
    void cancel(const task_key& task, engine& placements);

    /// True if a plan may be made for the task now.
    bool needs_plan(const task_key& task, instant now) const;

    const std::map<task_key, preemption>& active() const { return m_active; }

private:
    bool is_victim(const task_id& task) const;

    preemptor_options m_options;
    std::map<task_key, preemption> m_active;
};

} // namespace dragonflygap::placement
