#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/observe/history.hpp"
#include "dragonflygap/placement/job_manager.hpp"
#include "dragonflygap/platform/table.hpp"
#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::daemon
{

struct job_driver_options
{
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    bool m_history = false;
};

/// Runs the job manager against workers and the table: keeps jobs, starts tasks, renews leases.
class job_driver
{
public:
    using submitted_hook = std::function<void(outcome<job_id>)>;

    job_driver(event_loop& loop, platform::table_port table, platform::worker_port workers,
               job_driver_options options);

    /// Keeps a job in the table, then places it; a failure says whether it may have been kept.
    void submit(placement::job_spec spec, submitted_hook done);

    void set_workers(std::vector<placement::owned_worker> workers);

    const placement::job_manager& manager() const { return m_manager; }

private:
    void run(const placement::job_event& event);
    void act(const placement::start_on_worker& action);
    void act(const placement::save_job& action);
    void act(const placement::acknowledge_tasks& action);
    void renew_all();
    void flush();
    job_id next_id(const std::string& name);
    void record(const history::event& what) const;
    void record_start(const placement::start_on_worker& action,
                      const outcome<platform::task_report>& result) const;
    void record_ends(const worker_id& worker, std::span<const platform::task_report> reports) const;

    platform::table_port m_table;
    platform::worker_port m_workers;
    job_driver_options m_options;
    placement::job_manager m_manager;
    std::vector<placement::owned_worker> m_owned;
    std::map<worker_id, std::vector<task_id>> m_acknowledged;
    std::map<job_id, std::uint64_t> m_versions;
    std::set<job_id> m_dirty;
    bool m_flushing = false;
    std::uint64_t m_last_job = 0;
    event_loop::timer_ptr m_renew_timer;
    event_loop::timer_ptr m_flush_timer;
    event_loop::timer_ptr m_tick_timer;
};

} // namespace dragonflygap::daemon
