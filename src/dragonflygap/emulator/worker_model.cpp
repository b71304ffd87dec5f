#include "dragonflygap/emulator/worker_model.hpp"

#include <algorithm>

namespace dragonflygap::emulator
{

outcome<void> worker_model::check_epoch(std::uint64_t epoch)
{
    if (epoch < m_epoch)
        return fail(verdict::not_run, reason::stale_epoch,
                    "epoch " + std::to_string(epoch) + " is older than " + std::to_string(m_epoch));
    m_epoch = epoch;
    return {};
}

void worker_model::advance(instant now)
{
    for (auto& [id, task] : m_tasks)
    {
        if (task.m_report.m_state != platform::task_state::running)
            continue;
        const auto end_at = std::min({task.m_finish_at, task.m_lease_expires_at, task.m_stop_at});
        if (end_at > now)
            continue;
        end(task,
            end_at == task.m_finish_at ? platform::task_state::finished
                                       : platform::task_state::stopped,
            end_at);
    }
}

void worker_model::end(running_task& task, platform::task_state state, instant at)
{
    task.m_report.m_state = state;
    notify_change(task, at);
}

void worker_model::notify_change(const running_task& task, instant at) const
{
    if (m_on_change)
        m_on_change(task.m_report, at);
}

resources worker_model::committed() const
{
    resources sum;
    for (const auto& [id, task] : m_tasks)
        if (task.m_report.m_state == platform::task_state::running)
            sum += task.m_report.m_size;
    return sum;
}

outcome<platform::task_report> worker_model::start(const platform::start_task& request, instant now)
{
    advance(now);
    if (const auto checked = check_epoch(request.m_epoch); !checked)
        return tl::make_unexpected(checked.error());
    if (const auto found = m_tasks.find(request.m_task); found != m_tasks.end())
        return found->second.m_report; // already started: a retry after a lost reply
    if (m_enforce_capacity && !(committed() + request.m_size).fits_in(m_capacity))
        return fail(verdict::not_run, reason::no_room,
                    "not enough room for the task on this worker");
    auto& task = m_tasks[request.m_task];
    task.m_report = {.m_task = request.m_task,
                     .m_job = request.m_job,
                     .m_state = platform::task_state::running,
                     .m_size = request.m_size,
                     .m_usage = request.m_size};
    task.m_lease_expires_at = now + request.m_lease;
    task.m_finish_at = request.m_run_time == duration{} ? instant::max() : now + request.m_run_time;
    notify_change(task, now);
    if (m_failing)
        end(task, platform::task_state::failed, now);
    return task.m_report;
}

outcome<std::vector<platform::task_report>>
worker_model::renew(const platform::renew_leases& request, instant now)
{
    advance(now);
    if (const auto checked = check_epoch(request.m_epoch); !checked)
        return tl::make_unexpected(checked.error());
    for (const auto& id : request.m_acknowledged)
        std::erase_if(m_tasks,
                      [&id](const auto& entry) {
                          return entry.first == id &&
                                 entry.second.m_report.m_state != platform::task_state::running;
                      });
    std::vector<platform::task_report> reports;
    for (auto& [id, task] : m_tasks)
    {
        if (task.m_report.m_state == platform::task_state::running)
            task.m_lease_expires_at = now + request.m_lease;
        reports.push_back(task.m_report);
    }
    return reports;
}

std::vector<platform::task_report> worker_model::reports(instant now)
{
    advance(now);
    std::vector<platform::task_report> result;
    for (const auto& [id, task] : m_tasks)
        result.push_back(task.m_report);
    return result;
}

outcome<platform::task_report> worker_model::stop(std::uint64_t epoch, const task_id& task,
                                                  instant now)
{
    advance(now);
    if (const auto checked = check_epoch(epoch); !checked)
        return tl::make_unexpected(checked.error());
    const auto found = m_tasks.find(task);
    if (found == m_tasks.end())
        return fail(verdict::not_run, reason::not_found, "no such task on this worker");
    found->second.m_stop_at = std::min(found->second.m_stop_at, now + m_stop_delay);
    advance(now);
    return found->second.m_report;
}

} // namespace dragonflygap::emulator
