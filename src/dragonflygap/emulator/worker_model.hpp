#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::emulator
{

/// Emulates the platform's agent on a worker: runs tasks under leases and rejects stale epochs.
class worker_model
{
public:
    /// Called when a task starts or ends, with the instant of the change.
    using change_hook = std::function<void(const platform::task_report& task, instant at)>;

    explicit worker_model(resources capacity, change_hook on_change = {})
        : m_capacity(capacity), m_on_change(std::move(on_change))
    {
    }

    outcome<platform::task_report> start(const platform::start_task& request, instant now);
    outcome<std::vector<platform::task_report>> renew(const platform::renew_leases& request,
                                                      instant now);
    outcome<platform::task_report> stop(std::uint64_t epoch, const task_id& task, instant now);

    /// Ends the tasks that have finished or stopped by now or whose lease has expired.
    void advance(instant now);

    /// Makes tasks fail as soon as they have started.
    void set_failing(bool failing) { m_failing = failing; }

    /// Time from a stop request to the end of the task.
    void set_stop_delay(duration delay) { m_stop_delay = delay; }

    /// False: starts tasks beyond the capacity, so that a scheduler that overcommits is detected.
    void set_enforce_capacity(bool enforce) { m_enforce_capacity = enforce; }

    /// Reports on the running tasks and those whose end is not yet acknowledged.
    std::vector<platform::task_report> reports(instant now);

    /// Sum of the declared sizes of the running tasks.
    resources committed() const;

private:
    struct running_task
    {
        platform::task_report m_report;
        instant m_lease_expires_at;
        instant m_finish_at;
        instant m_stop_at = instant::max();
    };

    outcome<void> check_epoch(std::uint64_t epoch);
    void end(running_task& task, platform::task_state state, instant at);
    void notify_change(const running_task& task, instant at) const;

    resources m_capacity;
    change_hook m_on_change;
    bool m_failing = false;
    bool m_enforce_capacity = true;
    duration m_stop_delay{};
    std::uint64_t m_epoch = 0;
    std::map<task_id, running_task> m_tasks;
};

} // namespace dragonflygap::emulator
