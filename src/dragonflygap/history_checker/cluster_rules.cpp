#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/history_checker/rules.hpp"

/// Rules for tasks, ownership and configuration.
namespace dragonflygap::history_checker
{

namespace
{

resources resources_of(const entry& item, const std::string& prefix)
{
    return {.m_millicores = item.number(prefix + "millicores"),
            .m_memory_mb = item.number(prefix + "memory_mb"),
            .m_accelerators = item.number(prefix + "accelerators")};
}

/// Removes the attempt from the name of a task: JOB/INDEX.ATTEMPT becomes JOB/INDEX.
std::string without_attempt(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

/// A period in which a node runs without an injected fault.
struct healthy_period
{
    std::string m_vm;
    instant m_begin{};
    instant m_end = instant::max();
};

std::vector<healthy_period> healthy_periods(entries history)
{
    std::map<std::string, healthy_period> open;
    std::map<std::string, std::set<std::string>> faults;
    std::set<std::string> running_vms;
    std::vector<healthy_period> result;
    const auto update = [&](const std::string& vm, instant at)
    {
        const bool healthy = running_vms.contains(vm) && faults[vm].empty();
        if (healthy && !open.contains(vm))
            open[vm] = {.m_vm = vm, .m_begin = at};
        if (healthy || !open.contains(vm))
            return;
        open[vm].m_end = at;
        result.push_back(open.extract(vm).mapped());
    };
    for (const auto& item : history)
    {
        auto vm = item.m_vm;
        if (item.m_event == "node_started")
            running_vms.insert(vm);
        else if (item.m_event == "node_stopped" || item.m_event == "node_draining")
            running_vms.erase(vm);
        else if (item.m_event == "fault_injected" || item.m_event == "fault_healed")
        {
            vm = item.text("target_vm");
            if (item.text("kind") == "kill")
                running_vms.erase(vm);
            else if (item.m_event == "fault_injected")
                faults[vm].insert(item.text("kind"));
            else
                faults[vm].erase(item.text("kind"));
        }
        else
            continue;
        update(vm, item.m_at);
    }
    for (const auto& [vm, period] : open)
        result.push_back(period);
    return result;
}

bool in_force(entries history, const std::string& vm, std::int64_t version, instant deadline)
{
    return std::ranges::any_of(history,
                               [&](const entry& item)
                               {
                                   return item.m_event == "config_in_force" && item.m_vm == vm &&
                                          item.number("version") >= version &&
                                          item.m_at <= deadline;
                               });
}

} // namespace

violations check_worker_capacity(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::map<std::string, resources>> running; // per worker and task
    for (const auto& item : history)
    {
        auto& tasks = running[item.text("worker")];
        if (item.m_event == "worker_task_ended")
            tasks.erase(item.text("task"));
        if (item.m_event != "worker_task_started")
            continue;
        tasks[item.text("task")] = resources_of(item, "");
        resources sum;
        for (const auto& [task, size] : tasks)
            sum += size;
        if (!sum.fits_in(resources_of(item, "capacity_")))
            result.push_back(make_violation(
                item, item.text("worker") + " exceeds its capacity with " + item.text("task")));
    }
    return result;
}

violations check_single_running_task(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::string> running; // task without attempt -> worker and attempt
    for (const auto& item : history)
    {
        const auto task = without_attempt(item.text("task"));
        const auto place = item.text("task") + " on " + item.text("worker");
        const auto found = running.find(task);
        if (item.m_event == "worker_task_ended" && found != running.end() && found->second == place)
            running.erase(found);
        if (item.m_event != "worker_task_started")
            continue;
        if (found != running.end())
            result.push_back(
                make_violation(item, place + " started while " + found->second + " runs"));
        running[task] = place;
    }
    return result;
}

violations check_config_never_reverts(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::int64_t> highest_versions;
    for (const auto& item : history)
    {
        // Version 0 is the built-in document, in force until a node has received another.
        const auto version = item.number("version");
        if (item.m_event != "config_in_force" || version == 0)
            continue;
        auto& highest = highest_versions[item.m_vm];
        if (version < highest)
            result.push_back(make_violation(item, item.m_vm + " reverted from version " +
                                                      std::to_string(highest) + " to " +
                                                      std::to_string(version)));
        highest = std::max(highest, version);
    }
    return result;
}

violations check_config_in_force(entries history, const checker_options& options)
{
    violations result;
    const auto periods = healthy_periods(history);
    const auto history_end = history.empty() ? instant{} : history.back().m_at;
    for (const auto& item : history)
    {
        const auto deadline = item.m_at + options.m_config_propagation_timeout;
        if (item.m_event != "config_committed" || deadline > history_end)
            continue;
        for (const auto& period : periods)
            if (period.m_begin <= item.m_at && period.m_end >= deadline &&
                !in_force(history, period.m_vm, item.number("version"), deadline))
                result.push_back(make_violation(item, "version " + item.text("version") +
                                                          " came into force too late on " +
                                                          period.m_vm));
    }
    return result;
}

violations check_one_owner(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::string> owners;
    for (const auto& item : history)
    {
        if (item.m_event != "lease_changed" || item.text("held") != "true")
            continue;
        const auto group =
            item.text("data_centre") + "/" + item.text("group") + " in epoch " + item.text("epoch");
        const auto [found, first] = owners.try_emplace(group, item.m_vm);
        if (!first && found->second != item.m_vm)
            result.push_back(make_violation(item, "group " + group + " is owned by " +
                                                      found->second + " and by " + item.m_vm));
    }
    return result;
}

} // namespace dragonflygap::history_checker
