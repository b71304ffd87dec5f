#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/placement/job_manager.hpp"
#include "dragonflygap/platform/table.hpp"
#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::daemon
{

struct job_driver_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    bool m_history = false;
    std::function<void(const vm_id& peer, cluster::body)> m_to_peer;
    std::function<void(const cluster::body&)> m_to_all_peers;
};

/// Executes the actions of the job manager on workers, the table and peers.
class job_driver
{
public:
    using submitted_hook = std::function<void(outcome<job_id>)>;
    using found_hook = std::function<void(outcome<std::vector<placement::job_part>>)>;

    job_driver(event_loop& loop, platform::table_port table, platform::worker_port workers,
               job_driver_options options);

    /// Stores a job in the table, then places it; the verdict of a failure says whether it may have
    /// been stored.
    void submit(placement::job_spec spec, submitted_hook done);

    /// Cancels a job: stops all its tasks, on any worker; idempotent.
    void cancel(const job_id& id, submitted_hook done);

    /// Loads all parts of a job from the table; empty if the job is unknown.
    void find(const job_id& id, found_hook done);

    void set_workers(placement::workers_owned workers);
    void set_teams(std::vector<config::team> teams);

    void on_message(const vm_id& from, const cluster::capacity_request& message);
    void on_message(const vm_id& from, const cluster::capacity_reply& message);
    void on_message(const vm_id& from, const cluster::jobs_updated& message);

    const placement::job_manager& manager() const { return m_manager; }

private:
    /// Handles an event and executes the resulting actions.
    void run(const placement::job_event& event);
    void act(const placement::scan_parts& action);
    void act(const placement::commit_parts& action);
    void act(const placement::submission_answered& action);
    void act(const placement::announce_parts& action);
    void act(const placement::start_on_worker& action);
    void act(const placement::stop_on_worker& action);
    void act(const placement::renew_worker& action);
    void act(const placement::request_capacity& action);
    void cancel_parts(const job_id& id, std::vector<placement::job_part> parts,
                      std::vector<platform::row> rows, int attempts_left, submitted_hook done);
    void cancel(const job_id& id, int attempts_left, submitted_hook done);
    job_id next_id(const std::string& name);
    void log_task_step(std::string_view step, const task_id& task, const worker_id& worker) const;

    platform::table_port m_table;
    platform::worker_port m_workers;
    job_driver_options m_options;
    placement::job_manager m_manager;
    std::map<std::uint64_t, submitted_hook> m_submissions;
    std::uint64_t m_last_job = 0;
    event_loop::timer_ptr m_tick_timer;
};

} // namespace dragonflygap::daemon
