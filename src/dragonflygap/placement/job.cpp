#include "dragonflygap/placement/job.hpp"

#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/platform/json_codec.hpp"
#include "dragonflygap/schemas.hpp"

namespace dragonflygap::placement
{

namespace
{

job_kind kind_from_string(std::string_view name)
{
    if (name == "service")
        return job_kind::service;
    if (name == "gang")
        return job_kind::gang;
    return job_kind::batch;
}

spread_rule spread_from_string(std::string_view name)
{
    if (name == "worker")
        return spread_rule::worker;
    if (name == "rack")
        return spread_rule::rack;
    if (name == "data_centre")
        return spread_rule::data_centre;
    return spread_rule::none;
}

job_rules rules_from_json(const nlohmann::json& from)
{
    return {.m_data_centre = data_centre_id(from.value("data_centre", "")),
            .m_spread = spread_from_string(from.value("spread", "none")),
            .m_near = from.value("near", ""),
            .m_apart_from = from.value("apart_from", "")};
}

} // namespace

task_id name_of(const job_id& job, const job_task& task)
{
    return task_id(job.m_value + "/" + std::to_string(task.m_index) + "." +
                   std::to_string(task.m_attempt));
}

tl::expected<job_spec, std::vector<config::validation_error>> parse_job(std::string_view text)
{
    nlohmann::json json;
    auto faults = config::parse_and_check(text, schemas::job, json);
    if (!faults.empty())
        return tl::make_unexpected(faults);
    auto spec = job_from_json(json);
    if (spec.m_kind == job_kind::service && spec.m_expected != duration{})
        return tl::make_unexpected(std::vector<config::validation_error>{
            {"$.expected_ms", "a service runs until it is stopped: omit it or write 0"}});
    return spec;
}

job_spec job_from_json(const nlohmann::json& json)
{
    job_spec spec;
    spec.m_name = json.at("name").get<std::string>();
    spec.m_team = team_id(json.at("team").get<std::string>());
    spec.m_kind = kind_from_string(json.at("kind").get<std::string>());
    spec.m_count = json.value("count", 1);
    spec.m_urgent = json.value("urgent", false);
    spec.m_size = json.at("size").get<resources>();
    spec.m_expected = std::chrono::milliseconds(json.value("expected_ms", std::int64_t{0}));
    spec.m_max_attempts = json.value("max_attempts", 3);
    spec.m_rules = rules_from_json(json.value("rules", nlohmann::json::object()));
    return spec;
}

job make_job(job_spec spec)
{
    job result{.m_spec = std::move(spec)};
    for (int i = 0; i < result.m_spec.m_count; ++i)
        result.m_tasks.push_back({.m_index = i});
    return result;
}

std::string_view to_string(job_kind kind)
{
    switch (kind)
    {
    case job_kind::service:
        return "service";
    case job_kind::batch:
        return "batch";
    case job_kind::gang:
        break;
    }
    return "gang";
}

std::string_view to_string(job_task_state state)
{
    switch (state)
    {
    case job_task_state::waiting:
        return "waiting";
    case job_task_state::moving:
        return "moving";
    case job_task_state::starting:
        return "starting";
    case job_task_state::running:
        return "running";
    case job_task_state::finished:
        return "finished";
    case job_task_state::failed:
        return "failed";
    case job_task_state::cancelled:
        break;
    }
    return "cancelled";
}

std::string_view to_string(spread_rule rule)
{
    switch (rule)
    {
    case spread_rule::none:
        return "none";
    case spread_rule::worker:
        return "worker";
    case spread_rule::rack:
        return "rack";
    case spread_rule::data_centre:
        break;
    }
    return "data_centre";
}

bool has_ended(job_task_state state)
{
    return state == job_task_state::finished || state == job_task_state::failed ||
           state == job_task_state::cancelled;
}

void to_json(nlohmann::json& to, const job& from)
{
    to = {{"id", from.m_spec.m_id.m_value},     {"name", from.m_spec.m_name},
          {"team", from.m_spec.m_team.m_value}, {"kind", to_string(from.m_spec.m_kind)},
          {"size", from.m_spec.m_size},         {"urgent", from.m_spec.m_urgent},
          {"tasks", nlohmann::json::array()}};
    for (const auto& task : from.m_tasks)
        to["tasks"].push_back({{"index", task.m_index},
                               {"attempt", task.m_attempt},
                               {"state", to_string(task.m_state)},
                               {"worker", task.m_worker.m_value}});
}

} // namespace dragonflygap::placement
