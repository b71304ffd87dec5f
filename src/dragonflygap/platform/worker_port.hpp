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

/// Starts a task on a worker. Workers reject epochs lower than the highest one they have seen.
struct start_task
{
    std::uint64_t m_epoch = 0;
    task_id m_task;
    job_id m_job;
    resources m_size;
    duration m_lease{};    ///< The worker stops the task if its lease isn't renewed.
    duration m_run_time{}; ///< For the emulator: how long the task runs; 0: until stopped.
};

enum class task_state
{
    running,
    finished,
    failed,
    stopped,
};

/// State and usage of a task, as reported by its worker.
struct task_report
{
    task_id m_task;
    job_id m_job;
    task_state m_state = task_state::running;
    resources m_size;  ///< As requested at its start.
    resources m_usage; ///< As measured by the worker, some seconds ago.

    bool operator==(const task_report&) const = default;
};

/// Renews the leases of all tasks of a worker, which answers with the reports of its tasks, and
/// acknowledges ended tasks so that the worker forgets them.
struct renew_leases
{
    std::uint64_t m_epoch = 0;
    duration m_lease{};
    std::vector<task_id> m_acknowledged;
};

/// A worker's answer to renew_leases on the wire: the reports that changed since the given cursor.
struct renewal
{
    std::string m_cursor;    ///< To be sent with the next renewal.
    bool m_complete = false; ///< m_tasks holds all reports, not only the changed ones.
    std::size_t m_count = 0; ///< All tasks of the worker, including those not in m_tasks.
    std::vector<task_report> m_tasks;
};

using start_done = std::function<void(outcome<task_report>)>;
using renew_done = std::function<void(outcome<std::vector<task_report>>)>;

/// Starts, renews and stops tasks on workers.
struct worker_port
{
    std::function<void(const worker& to, start_task request, start_done done)> m_start;
    std::function<void(const worker& to, renew_leases request, renew_done done)> m_renew;
    std::function<void(const worker& to, std::uint64_t epoch, task_id task, start_done done)>
        m_stop;
};

std::string_view to_string(task_state state);
task_state task_state_from_string(std::string_view name);

} // namespace dragonflygap::platform
