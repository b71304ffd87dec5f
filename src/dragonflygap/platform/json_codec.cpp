#include "dragonflygap/platform/json_codec.hpp"

#include <stdexcept>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflygap
{

void to_json(nlohmann::json& to, const resources& from)
{
    to = {{"millicores", from.m_millicores},
          {"memory_mb", from.m_memory_mb},
          {"accelerators", from.m_accelerators}};
}

void from_json(const nlohmann::json& from, resources& to)
{
    to.m_millicores = from.at("millicores");
    to.m_memory_mb = from.at("memory_mb");
    to.m_accelerators = from.value("accelerators", std::int64_t{0});
}

namespace platform
{

namespace
{

template <class Id>
Id id_at(const nlohmann::json& from, const char* name)
{
    return Id(from.at(name).get<std::string>());
}

endpoint endpoint_at(const nlohmann::json& from, const char* name)
{
    // Addresses are from the platform's own list; a malformed one only makes the VM unreachable.
    return parse_endpoint(from.at(name).get<std::string>()).value_or(endpoint{});
}

duration ms_at(const nlohmann::json& from, const char* name)
{
    return std::chrono::milliseconds(from.at(name).get<std::int64_t>());
}

} // namespace

void to_json(nlohmann::json& to, const row& from)
{
    to = {{"key", from.m_key}, {"version", from.m_version}, {"value", from.m_value}};
}

void from_json(const nlohmann::json& from, row& to)
{
    from.at("key").get_to(to.m_key);
    from.at("version").get_to(to.m_version);
    from.at("value").get_to(to.m_value);
}

void to_json(nlohmann::json& to, const row_write& from)
{
    to = {{"key", from.m_key}, {"expected_version", from.m_expected_version}};
    if (from.m_value)
        to["value"] = *from.m_value;
}

void from_json(const nlohmann::json& from, row_write& to)
{
    from.at("key").get_to(to.m_key);
    from.at("expected_version").get_to(to.m_expected_version);
    if (from.contains("value"))
        to.m_value = from["value"].get<std::string>();
}

void to_json(nlohmann::json& to, const commit_result& from)
{
    to = {{"committed", from.m_committed}, {"rows", from.m_rows}};
}

void from_json(const nlohmann::json& from, commit_result& to)
{
    from.at("committed").get_to(to.m_committed);
    from.at("rows").get_to(to.m_rows);
}

void to_json(nlohmann::json& to, const worker& from)
{
    to = {{"id", from.m_id.m_value},
          {"data_centre", from.m_data_centre.m_value},
          {"rack", from.m_rack.m_value},
          {"address", to_string(from.m_address)},
          {"leaving", from.m_leaving},
          {"capacity", from.m_capacity},
          {"executors", nlohmann::json::array()}};
    for (const auto& item : from.m_executors)
        to["executors"].push_back({{"id", item.m_id.m_value},
                                   {"address", to_string(item.m_address)},
                                   {"slots", item.m_slots},
                                   {"connections", item.m_connections}});
}

void from_json(const nlohmann::json& from, worker& to)
{
    to.m_id = id_at<worker_id>(from, "id");
    to.m_data_centre = id_at<data_centre_id>(from, "data_centre");
    to.m_rack = id_at<rack_id>(from, "rack");
    to.m_address = endpoint_at(from, "address");
    to.m_leaving = from.value("leaving", false);
    from.at("capacity").get_to(to.m_capacity);
    to.m_executors.clear();
    for (const auto& item : from.at("executors"))
        to.m_executors.push_back({.m_id = id_at<target_id>(item, "id"),
                                  .m_address = endpoint_at(item, "address"),
                                  .m_slots = item.at("slots"),
                                  .m_connections = item.at("connections")});
}

void to_json(nlohmann::json& to, const start_task& from)
{
    to = {{"epoch", from.m_epoch},           {"task", from.m_task.m_value},
          {"job", from.m_job.m_value},       {"size", from.m_size},
          {"lease_ms", to_ms(from.m_lease)}, {"run_ms", to_ms(from.m_run_time)}};
}

void from_json(const nlohmann::json& from, start_task& to)
{
    from.at("epoch").get_to(to.m_epoch);
    to.m_task = id_at<task_id>(from, "task");
    to.m_job = id_at<job_id>(from, "job");
    from.at("size").get_to(to.m_size);
    to.m_lease = ms_at(from, "lease_ms");
    to.m_run_time = ms_at(from, "run_ms");
}

void to_json(nlohmann::json& to, const task_report& from)
{
    to = {{"task", from.m_task.m_value},
          {"job", from.m_job.m_value},
          {"state", to_string(from.m_state)},
          {"size", from.m_size},
          {"usage", from.m_usage}};
}

void from_json(const nlohmann::json& from, task_report& to)
{
    to.m_task = id_at<task_id>(from, "task");
    to.m_job = id_at<job_id>(from, "job");
    to.m_state = task_state_from_string(from.at("state").get<std::string>());
    from.at("size").get_to(to.m_size);
    from.at("usage").get_to(to.m_usage);
}

void to_json(nlohmann::json& to, const renewal& from)
{
    to = {{"cursor", from.m_cursor},
          {"complete", from.m_complete},
          {"count", from.m_count},
          {"tasks", from.m_tasks}};
}

void from_json(const nlohmann::json& from, renewal& to)
{
    from.at("cursor").get_to(to.m_cursor);
    from.at("complete").get_to(to.m_complete);
    from.at("count").get_to(to.m_count);
    from.at("tasks").get_to(to.m_tasks);
}

void to_json(nlohmann::json& to, const renew_leases& from)
{
    to = {{"epoch", from.m_epoch},
          {"lease_ms", to_ms(from.m_lease)},
          {"acknowledged", nlohmann::json::array()}};
    for (const auto& task : from.m_acknowledged)
        to["acknowledged"].push_back(task.m_value);
}

void from_json(const nlohmann::json& from, renew_leases& to)
{
    from.at("epoch").get_to(to.m_epoch);
    to.m_lease = ms_at(from, "lease_ms");
    for (const auto& task : from.at("acknowledged"))
        to.m_acknowledged.emplace_back(task.get<std::string>());
}

std::string_view to_string(task_state state)
{
    switch (state)
    {
    case task_state::running:
        return "running";
    case task_state::finished:
        return "finished";
    case task_state::failed:
        return "failed";
    case task_state::stopped:
        break;
    }
    return "stopped";
}

task_state task_state_from_string(std::string_view name)
{
    if (name == "running")
        return task_state::running;
    if (name == "finished")
        return task_state::finished;
    if (name == "stopped")
        return task_state::stopped;
    return task_state::failed;
}

} // namespace platform

} // namespace dragonflygap
