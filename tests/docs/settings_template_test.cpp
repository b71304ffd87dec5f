#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "dragonflygap/config/settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

/// Replaces {{name}} and {{name|json}}; renders {{#name}}...{{/name}} if the value is "true".
std::string render(std::string text, const std::map<std::string, std::string>& values)
{
    for (auto at = text.find("{{"); at != std::string::npos; at = text.find("{{"))
    {
        const auto end = text.find("}}", at);
        CHECK(end != std::string::npos);
        auto name = text.substr(at + 2, end - at - 2);
        if (!name.starts_with("#"))
        {
            const bool quoted = name.ends_with("|json");
            if (quoted)
                name.resize(name.size() - 5);
            const auto found = values.find(name);
            CHECK_TEXT(found != values.end(), name.c_str());
            text.replace(at, end + 2 - at, quoted ? '"' + found->second + '"' : found->second);
            continue;
        }
        name.erase(0, 1);
        const auto close = "{{/" + name + "}}";
        const auto closed_at = text.find(close, end);
        CHECK(closed_at != std::string::npos);
        CHECK_TEXT(values.count(name) != 0, name.c_str());
        const auto body = text.substr(end + 2, closed_at - end - 2);
        text.replace(at, closed_at + close.size() - at, values.at(name) == "true" ? body : "");
    }
    return text;
}

config::settings parse_template(const std::string& revoke_when_partitioned)
{
    std::ifstream stream(std::filesystem::path(DRAGONFLYGAP_ROOT) /
                         "deploy/settings.json.template");
    CHECK(stream.good());
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    const auto parsed = config::parse_settings(
        render(text, {{"node_name", "entry-1"},
                      {"zone", "a"},
                      {"ip_address", "10.0.0.1"},
                      {"listen_addresses.frontend", "10.0.0.1:80"},
                      {"listen_addresses.readiness", "10.0.0.1:81"},
                      {"internal_port_range.0", "7720"},
                      {"internal_port_range.1", "7721"},
                      {"platform.address", "10.0.0.2:80"},
                      {"advice", "10.0.0.3:80"},
                      {"limits.cpu_share", "0.25"},
                      {"limits.memory_mb", "128"},
                      {"bounds.max_hold_ms", "10000"},
                      {"bounds.drain_ms", "2000"},
                      {"bounds.grace_s", "6"},
                      {"bounds.revoke_ms", "5000"},
                      {"bounds.revoke_when_partitioned", revoke_when_partitioned}}));
    CHECK_TEXT(parsed.has_value(), parsed ? "" : to_string(parsed.error()).c_str());
    return *parsed;
}

} // namespace

TEST_GROUP(settings_template){};

// A deployment that doesn't ask for it must not refuse calls while it is cut off.
TEST(settings_template, keys_expire_only_where_the_deployment_says_so)
{
    const auto lasting = parse_template("false");
    CHECK(lasting.m_cell->m_keys_expire == duration{});
    CHECK(lasting.m_cell->m_stop_timeout == duration(6s));
    const auto expiring = parse_template("true");
    CHECK(expiring.m_cell->m_keys_expire == duration(5s));
    CHECK(expiring.m_cell->m_stop_timeout == duration(6s));
}
