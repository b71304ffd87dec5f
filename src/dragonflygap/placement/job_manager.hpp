#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <variant>
#include <vector>

#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/placement/engine.hpp"
#include "dragonflygap/placement/job.hpp"
#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::placement
{

/// A worker that this entry VM owns, and under which epoch.
struct owned_worker
{
    platform::worker m_info;
    std::uint64_t m_epoch = 0;
};

struct job_accepted
{
    job m_job;
};
struct workers_owned
{
    std::vector<owned_worker> m_workers;
};
struct start_answered
{
    job_id m_job;
    int m_index = 0;
    int m_attempt = 0;
    outcome<platform::task_report> m_result;
};
struct worker_reported
{
    worker_id m_worker;
    std::vector<platform::task_report> m_tasks;
};
struct job_manager_tick
{
};
using job_event =
    std::variant<job_accepted, workers_owned, start_answered, worker_reported, job_manager_tick>;

/// Ask a worker to start a task, then report start_answered.
struct start_on_worker
{
    owned_worker m_worker;
    platform::start_task m_task;
    job_id m_job;
    int m_index = 0;
    int m_attempt = 0;
};
/// The job's row in the table is out of date.
struct save_job
{
    job_id m_job;
};
/// The worker may forget tasks that have ended.
struct acknowledge_tasks
{
    worker_id m_worker;
    std::vector<task_id> m_tasks;
};
using job_action = std::variant<start_on_worker, save_job, acknowledge_tasks>;

struct job_manager_options
{
    duration m_task_lease = 30s;
};

/// Takes jobs from submission to their end: places, starts, restarts. Pure.
class job_manager
{
public:
    explicit job_manager(job_manager_options options) : m_options(options) {}

    std::vector<job_action> handle(const job_event& event, instant now);

    const std::map<job_id, job>& jobs() const { return m_jobs; }
    const engine& placements() const { return m_engine; }

private:
    using actions = std::vector<job_action>;

    void on(const job_accepted& event, actions& out);
    void on(const workers_owned& event, actions& out);
    void on(const start_answered& event, actions& out);
    void on(const worker_reported& event, actions& out);
    void on(const job_manager_tick& event, actions& out);

    void place_waiting(actions& out);
    void place_job(job& waiting, actions& out);
    void start(job& starting, job_task& task, const worker_id& worker, actions& out);
    void end_task(job& ended, job_task& task, platform::task_state state, actions& out);

    job_manager_options m_options;
    engine m_engine;
    std::map<worker_id, owned_worker> m_workers;
    std::map<job_id, job> m_jobs;
    std::set<job_id> m_waiting;
};

} // namespace dragonflygap::placement
