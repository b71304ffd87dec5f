#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/platform/vm_list.hpp"

namespace dragonflygap::platform
{

/// A task to be started by a worker. A worker refuses epochs older than one it has seen.
struct start_task
{
    std::uint64_t m_epoch = 0;
    task_id m_task;
    job_id m_job;
    resources m_size;
    duration m_lease{};    ///< The worker stops the task if its lease isn't renewed.
    duration m_run_time{}; ///< For stand-ins: how long the task runs; 0 is until stopped.
};

enum class task_state
{
    running,
    finished,
    failed,
    stopped,
};

/// One task as its worker reports it.
struct task_report
{
    task_id m_task;
    job_id m_job;
    task_state m_state = task_state::running;
    resources m_size;  ///< As declared at its start.
    resources m_usage; ///< As measured by the worker, some seconds ago.

    bool operator==(const task_report&) const = default;
};

/// Renews the leases of all tasks of a worker, to be answered with all its reports, and forgets
/// ended ones that were dealt with.
struct renew_leases
{
    std::uint64_t m_epoch = 0;
    duration m_lease{};
    std::vector<task_id> m_acknowledged;
};

/// A worker's answer on the wire: what changed since the cursor that the owner named.
struct renewal
{
    std::string m_cursor;    ///< To be named in the next renewal.
    bool m_complete = false; ///< Everything is told, not only what changed.
    std::size_t m_count = 0; ///< Tasks that the worker has now, told or not.
    std::vector<task_report> m_tasks;
};

using start_done = std::function<void(outcome<task_report>)>;
using renew_done = std::function<void(outcome<std::vector<task_report>>)>;

/// What a worker offers: tasks under leases.
struct worker_port
{
    std::function<void(const worker& to, start_task what, start_done done)> m_start;
    std::function<void(const worker& to, renew_leases what, renew_done done)> m_renew;
    std::function<void(const worker& to, std::uint64_t epoch, task_id task, start_done done)>
        m_stop;
};

std::string_view to_string(task_state state);
task_state task_state_from_string(std::string_view name);

} // namespace dragonflygap::platform
