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

/// Stand-in for the platform's agent on one worker: runs tasks under leases, refuses old epochs.
class worker_model
{
public:
    /// Told of every task that starts or ends, with the instant at which it did.
    using change_hook = std::function<void(const platform::task_report& task, instant at)>;

    explicit worker_model(resources capacity, change_hook on_change = {})
        : m_capacity(capacity), m_on_change(std::move(on_change))
    {
    }

    outcome<platform::task_report> start(const platform::start_task& what, instant now);
    outcome<std::vector<platform::task_report>> renew(const platform::renew_leases& what,
                                                      instant now);
    outcome<platform::task_report> stop(std::uint64_t epoch, const task_id& task, instant now);

    /// Ends the tasks that are finished by now or whose lease has run out.
    void advance(instant now);

    /// Tasks fail as soon as they have started.
    void set_failing(bool failing) { m_failing = failing; }

    /// How long a task goes on after it was told to stop.
    void set_stop_delay(duration delay) { m_stop_delay = delay; }

    /// False: starts tasks beyond the capacity, to show that nobody asks for it.
    void set_enforce_capacity(bool enforce) { m_enforce_capacity = enforce; }

    /// All tasks that it hasn't forgotten.
    std::vector<platform::task_report> reports(instant now);

    /// What the running tasks were declared to need, together.
    resources committed() const;

private:
    struct running_task
    {
        platform::task_report m_report;
        instant m_lease_end;
        instant m_finish;
        instant m_stop = instant::max();
    };

    outcome<void> check_epoch(std::uint64_t epoch);
    void end(running_task& task, platform::task_state state, instant at);
    void tell(const running_task& task, instant at) const;

    resources m_capacity;
    change_hook m_on_change;
    bool m_failing = false;
    bool m_enforce_capacity = true;
    duration m_stop_delay{};
    std::uint64_t m_epoch = 0;
    std::map<task_id, running_task> m_tasks;
};

} // namespace dragonflygap::emulator
