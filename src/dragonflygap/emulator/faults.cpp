#include "dragonflygap/emulator/faults.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace dragonflygap::emulator
{

namespace
{

using nlohmann::json;

void read(const json& from, const char* key, duration& to)
{
    if (from.contains(key))
        to = std::chrono::milliseconds(from.at(key).get<std::int64_t>());
}

template <class T>
void read(const json& from, const char* key, T& to)
{
    if (from.contains(key))
        from.at(key).get_to(to);
}

void read(const json& from, const char* key, std::set<worker_id>& to)
{
    if (!from.contains(key))
        return;
    to.clear();
    for (const auto& name : from.at(key))
        to.insert(worker_id(name.get<std::string>()));
}

void read(const json& from, const char* key, std::vector<network_cut>& to)
{
    if (!from.contains(key))
        return;
    to.clear();
    for (const auto& item : from.at(key))
        to.push_back({item.at("vm"), item.at("other"), item.value("replies_only", false)});
}

bool matches(const std::string& pattern, std::string_view name)
{
    return pattern == "*" || pattern == name;
}

} // namespace

const network_cut* faults::find_cut(std::string_view vm, std::string_view other) const
{
    const auto found =
        std::ranges::find_if(m_cuts, [&](const network_cut& item)
                             { return matches(item.m_vm, vm) && matches(item.m_other, other); });
    return found == m_cuts.end() ? nullptr : &*found;
}

void merge_faults(const json& from, faults& to)
{
    read(from, "table_down", to.m_table_down);
    read(from, "table_delay_ms", to.m_table_delay);
    read(from, "lose_replies", to.m_lose_replies);
    read(from, "double_commits", to.m_double_commits);
    read(from, "late_replies", to.m_late_replies);
    read(from, "late_by_ms", to.m_late_by);
    read(from, "vm_list_lag_ms", to.m_vm_list_lag);
    read(from, "leaving", to.m_leaving);
    read(from, "failing", to.m_failing);
    read(from, "cuts", to.m_cuts);
    read(from, "executor_delay_ms", to.m_executor_delay);
    read(from, "cut_answers", to.m_cut_answers);
    read(from, "large_answers", to.m_large_answers);
    read(from, "stop_delay_ms", to.m_stop_delay);
    read(from, "enforce_capacity", to.m_enforce_capacity);
}

std::set<worker_id> connections_to_silence(const json& from)
{
    std::set<worker_id> result;
    read(from, "silence_connections", result);
    return result;
}

} // namespace dragonflygap::emulator
