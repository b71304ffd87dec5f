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

/// A running task that may have to give way to urgent work.
struct victim_candidate
{
    task_id m_task;
    job_id m_job;
    worker_id m_worker;
    resources m_size;
    job_kind m_kind = job_kind::batch;
    bool m_urgent = false;
    bool m_checkpoints = false; ///< Its work isn't lost when it is stopped.
    duration m_elapsed{};
};

/// What stopping some tasks costs; the least is the best.
struct preemption_cost
{
    int m_services = 0;
    int m_gang_tasks = 0;
    double m_lost_work = 0; ///< Processor seconds.

    auto operator<=>(const preemption_cost&) const = default;
};

/// The tasks of one worker whose end makes room for an urgent task.
struct preemption_plan
{
    worker_id m_worker;
    std::vector<victim_candidate> m_victims;
    preemption_cost m_cost;
};

/// The cheapest way to make room for one task; nothing if urgent work and rules leave none.
std::optional<preemption_plan> plan_preemption(const job_spec& urgent, const engine& room,
                                               std::span<const victim_candidate> candidates);

struct preemptor_options
{
    duration m_confirm_within = 2500ms; ///< Then room is made on another worker as well.
    int m_most_plans = 3;               ///< For one task.
};

/// Room that is being made for one urgent task, on one worker or, after silence, on more.
struct preemption
{
    job_spec m_spec;
    std::vector<preemption_plan> m_plans;
    instant m_last_plan{};
};

/// Makes room for urgent tasks and keeps it for them until they start. Pure.
class preemptor
{
public:
    using task_key = std::pair<job_id, int>; ///< Job and index of the task.

    explicit preemptor(preemptor_options options) : m_options(options) {}

    /// Plans for a task that found no room; the tasks to be stopped now, none if it has to wait.
    std::vector<victim_candidate> make_room(const task_key& task, const job_spec& spec,
                                            engine& room,
                                            std::span<const victim_candidate> candidates,
                                            instant now);

    /// The worker that the task may start on: all that was in its way has ended there.
    std::optional<worker_id> try_place(const task_key& task, engine& room);

    /// The task needs no room any more.
    void cancel(const task_key& task, engine& room);

    bool needs_plan(const task_key& task, instant now) const;

    const std::map<task_key, preemption>& open() const { return m_open; }

private:
    bool is_victim(const task_id& task) const;

    preemptor_options m_options;
    std::map<task_key, preemption> m_open;
};

} // namespace dragonflygap::placement
