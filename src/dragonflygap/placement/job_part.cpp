#include "dragonflygap/placement/job_part.hpp"

#include <algorithm>
#include <array>
#include <charconv>

#include <nlohmann/json.hpp>

#include "dragonflygap/platform/json_codec.hpp"

namespace dragonflygap::placement
{

namespace
{

constexpr std::string_view jobs_prefix = "jobs/";

nlohmann::json spec_to_json(const job_spec& spec)
{
    nlohmann::json rules{{"spread", to_string(spec.m_rules.m_spread)}};
    if (!spec.m_rules.m_data_centre.empty())
        rules["data_centre"] = spec.m_rules.m_data_centre.m_value;
    if (!spec.m_rules.m_near.empty())
        rules["near"] = spec.m_rules.m_near;
    if (!spec.m_rules.m_apart_from.empty())
        rules["apart_from"] = spec.m_rules.m_apart_from;
    return {{"name", spec.m_name},
            {"team", spec.m_team.m_value},
            {"kind", to_string(spec.m_kind)},
            {"count", spec.m_count},
            {"urgent", spec.m_urgent},
            {"size", spec.m_size},
            {"expected_ms", to_ms(spec.m_expected)},
            {"max_attempts", spec.m_max_attempts},
            {"rules", rules}};
}

job_task_state state_from_string(std::string_view name)
{
    constexpr std::array states{job_task_state::starting, job_task_state::running,
                                job_task_state::finished, job_task_state::failed,
                                job_task_state::cancelled};
    const auto* found = std::ranges::find_if(states, [name](job_task_state state)
                                             { return to_string(state) == name; });
    return found == states.end() ? job_task_state::waiting : *found;
}

nlohmann::json task_to_json(const job_task& task)
{
    // A task that is being moved belongs to this part until the transaction commits.
    const auto state =
        task.m_state == job_task_state::moving ? job_task_state::waiting : task.m_state;
    return {{"index", task.m_index},
            {"attempt", task.m_attempt},
            {"failures", task.m_failures},
            {"state", to_string(state)},
            {"worker", task.m_worker.m_value}};
}

job_task task_from_json(const nlohmann::json& from)
{
    return {.m_index = from.at("index").get<int>(),
            .m_attempt = from.at("attempt").get<int>(),
            .m_failures = from.value("failures", 0),
            .m_state = state_from_string(from.at("state").get<std::string>()),
            .m_worker = worker_id(from.at("worker").get<std::string>())};
}

// Parses home and id from jobs/DATA_CENTRE/GROUP/PART.
bool parse_key(std::string_view key, job_part& to)
{
    if (!key.starts_with(jobs_prefix))
        return false;
    key.remove_prefix(jobs_prefix.size());
    const auto first = key.find('/');
    const auto second = key.find('/', first + 1);
    if (first == std::string_view::npos || second == std::string_view::npos)
        return false;
    const auto group = key.substr(first + 1, second - first - 1);
    const auto read = std::from_chars(group.data(), group.data() + group.size(), to.m_home.m_group);
    to.m_home.m_data_centre = data_centre_id(std::string(key.substr(0, first)));
    to.m_id = part_id(std::string(key.substr(second + 1)));
    return read.ec == std::errc();
}

} // namespace

std::string prefix_of(const part_home& home)
{
    return std::string(jobs_prefix) + home.m_data_centre.m_value + "/" +
           std::to_string(home.m_group) + "/";
}

std::string key_of(const job_part& part)
{
    return prefix_of(part.m_home) + part.m_id.m_value;
}

std::string encode_spec(const job_spec& spec)
{
    return spec_to_json(spec).dump();
}

std::string encode(const job_part& part)
{
    nlohmann::json to{
        {"job", part.m_job.m_spec.m_id.m_value}, {"spec", spec_to_json(part.m_job.m_spec)},
        {"cancelled", part.m_cancelled},         {"writer", part.m_writer},
        {"revision", part.m_revision},           {"tasks", nlohmann::json::array()}};
    for (const auto& task : part.m_job.m_tasks)
        to["tasks"].push_back(task_to_json(task));
    return to.dump();
}

std::optional<job_part> decode_part(const platform::row& row)
{
    job_part part;
    if (!parse_key(row.m_key, part))
        return std::nullopt;
    try
    {
        const auto from = nlohmann::json::parse(row.m_value);
        part.m_job.m_spec = job_from_json(from.at("spec"));
        part.m_job.m_spec.m_id = job_id(from.at("job").get<std::string>());
        part.m_cancelled = from.at("cancelled").get<bool>();
        part.m_writer = from.at("writer").get<std::string>();
        part.m_revision = from.at("revision").get<std::uint64_t>();
        for (const auto& task : from.at("tasks"))
            part.m_job.m_tasks.push_back(task_from_json(task));
        return part;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::nullopt;
    }
}

bool has_ended(const job_part& part)
{
    return std::ranges::all_of(part.m_job.m_tasks,
                               [](const job_task& task) { return has_ended(task.m_state); });
}

} // namespace dragonflygap::placement
