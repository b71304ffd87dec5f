#include "dragonflygap/config/document.hpp"

#include <limits>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/schemas.hpp"

namespace dragonflygap::config
{

namespace
{

constexpr std::string_view default_text = R"({
  "classes": [
    {"name": "tablet", "urgency": 0, "expected_ms": 20, "deadline_ms": 2000},
    {"name": "check", "urgency": 3, "expected_ms": 200, "deadline_ms": 10000},
    {"name": "plan", "urgency": 6, "expected_ms": 5000, "deadline_ms": 120000, "slot_share": 0.75}
  ],
  "teams": [{"name": "default"}]
}
)";

request_class parse_class(const nlohmann::json& item)
{
    request_class result{.m_name = class_id(item["name"].get<std::string>())};
    result.m_urgency = item.value("urgency", result.m_urgency);
    result.m_expected = std::chrono::milliseconds(item["expected_ms"].get<std::int64_t>());
    result.m_deadline = std::chrono::milliseconds(item["deadline_ms"].get<std::int64_t>());
    result.m_max_queued = item.value("max_queued", result.m_max_queued);
    result.m_slot_share = item.value("slot_share", result.m_slot_share);
    result.m_idempotent = item.value("idempotent", result.m_idempotent);
    return result;
}

team parse_team(const nlohmann::json& item)
{
    constexpr auto unlimited = std::numeric_limits<std::int64_t>::max() / 4;
    return {.m_name = team_id(item["name"].get<std::string>()),
            .m_quota = {.m_millicores = item.value("millicores", unlimited),
                        .m_memory_mb = item.value("memory_mb", unlimited),
                        .m_accelerators = item.value("accelerators", unlimited)}};
}

template <class Item>
void check_unique(const std::vector<Item>& items, const std::string& path,
                  std::vector<validation_error>& errors)
{
    std::set<std::string> seen;
    for (std::size_t i = 0; i < items.size(); ++i)
        if (!seen.insert(items[i].m_name.m_value).second)
            errors.push_back({path + "[" + std::to_string(i) + "].name",
                              "'" + items[i].m_name.m_value + "' is defined more than once"});
}

void check_deadlines(const std::vector<request_class>& classes,
                     std::vector<validation_error>& errors)
{
    for (std::size_t i = 0; i < classes.size(); ++i)
        if (classes[i].m_deadline < classes[i].m_expected)
            errors.push_back({"$.classes[" + std::to_string(i) + "].deadline_ms",
                              "is less than expected_ms: no request could finish in time"});
}

} // namespace

tl::expected<document, std::vector<validation_error>> parse_document(std::string_view text)
{
    nlohmann::json json;
    auto errors = parse_and_check(text, schemas::config, json);
    if (!errors.empty())
        return tl::make_unexpected(errors);
    document result;
    for (const auto& item : json["classes"])
        result.m_classes.push_back(parse_class(item));
    for (const auto& item : json.value("teams", nlohmann::json::array()))
        result.m_teams.push_back(parse_team(item));
    for (const auto& item : json.value("callers", nlohmann::json::array()))
        result.m_callers.push_back(
            {caller_id(item["name"].get<std::string>()), item["weight"].get<int>()});
    check_unique(result.m_classes, "$.classes", errors);
    check_unique(result.m_teams, "$.teams", errors);
    check_unique(result.m_callers, "$.callers", errors);
    check_deadlines(result.m_classes, errors);
    if (!errors.empty())
        return tl::make_unexpected(errors);
    return result;
}

std::string_view default_document()
{
    return default_text;
}

} // namespace dragonflygap::config
