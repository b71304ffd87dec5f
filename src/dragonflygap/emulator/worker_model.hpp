#pragma once

#include <cstdint>
#include <map>
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
    explicit worker_model(resources capacity) : m_capacity(capacity) {}

    outcome<platform::task_report> start(const platform::start_task& what, instant now);
    outcome<std::vector<platform::task_report>> renew(const platform::renew_leases& what,
                                                      instant now);
    outcome<platform::task_report> stop(std::uint64_t epoch, const task_id& task, instant now);

    /// What the running tasks were declared to need, together.
    resources committed() const;

private:
    struct running_task
    {
        platform::task_report m_report;
        instant m_lease_end;
        instant m_finish;
    };

    outcome<void> check_epoch(std::uint64_t epoch);
    void advance(instant now);

    resources m_capacity;
    std::uint64_t m_epoch = 0;
    std::map<task_id, running_task> m_tasks;
};

} // namespace dragonflygap::emulator
