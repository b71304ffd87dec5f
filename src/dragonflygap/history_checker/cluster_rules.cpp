#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/history_checker/rules.hpp"

/// Rules on tasks, owners and configuration.
namespace dragonflygap::history_checker
{

namespace
{

resources amount(const entry& item, const std::string& prefix)
{
    return {.m_millicores = item.number(prefix + "millicores"),
            .m_memory_mb = item.number(prefix + "memory_mb"),
            .m_accelerators = item.number(prefix + "accelerators")};
}

/// Name of a task without its attempt: JOB/INDEX of JOB/INDEX.ATTEMPT.
std::string without_attempt(const std::string& task)
{
    return task.substr(0, task.rfind('.'));
}

/// One stretch of a node's life without a fault.
struct sound_time
{
    std::string m_vm;
    instant m_begin{};
    instant m_end = instant::max();
};

std::vector<sound_time> sound_times(entries history)
{
    std::map<std::string, sound_time> open;
    std::map<std::string, std::set<std::string>> faults;
    std::set<std::string> up;
    std::vector<sound_time> result;
    const auto update = [&](const std::string& vm, instant at)
    {
        const bool sound = up.contains(vm) && faults[vm].empty();
        if (sound && !open.contains(vm))
            open[vm] = {.m_vm = vm, .m_begin = at};
        if (sound || !open.contains(vm))
            return;
        open[vm].m_end = at;
        result.push_back(open.extract(vm).mapped());
    };
    for (const auto& item : history)
    {
        auto vm = item.m_vm;
        if (item.m_event == "node_started")
            up.insert(vm);
        else if (item.m_event == "node_stopped" || item.m_event == "node_draining")
            up.erase(vm);
        else if (item.m_event == "fault_injected" || item.m_event == "fault_healed")
        {
            vm = item.text("target_vm");
            if (item.text("kind") == "kill")
                up.erase(vm);
            else if (item.m_event == "fault_injected")
                faults[vm].insert(item.text("kind"));
            else
                faults[vm].erase(item.text("kind"));
        }
        else
            continue;
        update(vm, item.m_at);
    }
    for (const auto& [vm, time] : open)
        result.push_back(time);
    return result;
}

bool in_force(entries history, const std::string& vm, std::int64_t version, instant by)
{
    return std::ranges::any_of(history,
                               [&](const entry& item)
                               {
                                   return item.m_event == "config_in_force" && item.m_vm == vm &&
                                          item.number("version") >= version && item.m_at <= by;
                               });
}

} // namespace

violations check_worker_capacity(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::map<std::string, resources>> running; // by worker and task
    for (const auto& item : history)
    {
        auto& tasks = running[item.text("worker")];
        if (item.m_event == "worker_task_ended")
            tasks.erase(item.text("task"));
        if (item.m_event != "worker_task_started")
            continue;
        tasks[item.text("task")] = amount(item, "");
        resources sum;
        for (const auto& [task, size] : tasks)
            sum += size;
        if (!sum.fits_in(amount(item, "capacity_")))
            result.push_back(broken(item, item.text("worker") + " is beyond its capacity with " +
                                              item.text("task")));
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
            result.push_back(broken(item, place + " started while " + found->second + " runs"));
        running[task] = place;
    }
    return result;
}

violations check_config_never_reverts(entries history, const checker_options& /*options*/)
{
    violations result;
    std::map<std::string, std::int64_t> newest;
    for (const auto& item : history)
    {
        // Version 0 is the document built in, in force until a node has heard of another.
        const auto version = item.number("version");
        if (item.m_event != "config_in_force" || version == 0)
            continue;
        auto& before = newest[item.m_vm];
        if (version < before)
            result.push_back(broken(item, item.m_vm + " went back from version " +
                                              std::to_string(before) + " to " +
                                              std::to_string(version)));
        before = std::max(before, version);
    }
    return result;
}

violations check_config_in_force(entries history, const checker_options& options)
{
    violations result;
    const auto nodes = sound_times(history);
    const auto last = history.empty() ? instant{} : history.back().m_at;
    for (const auto& item : history)
    {
        const auto by = item.m_at + options.m_config_spread;
        if (item.m_event != "config_committed" || by > last)
            continue;
        for (const auto& node : nodes)
            if (node.m_begin <= item.m_at && node.m_end >= by &&
                !in_force(history, node.m_vm, item.number("version"), by))
                result.push_back(broken(item, "version " + item.text("version") +
                                                  " came too late into force on " + node.m_vm));
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
            result.push_back(
                broken(item, "group " + group + " of " + found->second + " and of " + item.m_vm));
    }
    return result;
}

} // namespace dragonflygap::history_checker
