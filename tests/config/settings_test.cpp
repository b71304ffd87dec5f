#include "dragonflygap/config/settings.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::config;

TEST_GROUP(settings){};

TEST(settings, a_full_document_is_parsed)
{
    const auto parsed = parse_settings(R"({"vm": "a", "data_centre": "d",
        "peers": [{"vm": "b", "data_centre": "d", "address": "127.0.0.1:9"}],
        "platform": {"address": "127.0.0.1:7000"}, "drain_seconds": 5})");
    CHECK(parsed.has_value());
    CHECK(parsed->m_peers.front().m_address.m_port == 9);
    CHECK(parsed->m_drain_timeout == duration(5s));
}

TEST(settings, an_unknown_key_is_named_with_its_path)
{
    const auto parsed = parse_settings(R"({"vm": "a", "data_centre": "d",
        "platform": {"adress": "127.0.0.1:7000"}})");
    CHECK(!parsed.has_value());
    CHECK(to_string(parsed.error()).find("$.platform") != std::string::npos);
    CHECK(to_string(parsed.error()).find("adress") != std::string::npos);
}

TEST(settings, every_error_is_reported_not_only_the_first)
{
    const auto parsed = parse_settings(R"({"vm": 3, "data_centre": "d", "drain_seconds": -1})");
    CHECK(!parsed.has_value());
    const auto text = to_string(parsed.error());
    CHECK(text.find("$.vm") != std::string::npos);
    CHECK(text.find("$.drain_seconds") != std::string::npos);
}

TEST(settings, an_invalid_ip_address_is_rejected)
{
    const auto parsed =
        parse_settings(R"({"vm": "a", "data_centre": "d", "caller_listen": "1.2.3.400:80"})");
    CHECK(!parsed.has_value());
    CHECK(parsed.error().front().m_path == "$.caller_listen");
}

TEST(settings, malformed_json_is_rejected_with_its_line)
{
    const auto parsed = parse_settings("{\n\"vm\": }");
    CHECK(!parsed.has_value());
    CHECK(parsed.error().front().m_path == "line 2");
}

TEST(settings, keys_never_expire_unless_a_time_is_given)
{
    const std::string cell = R"({"vm": "a", "data_centre": "d", "cell": {"store": "127.0.0.1:9",
        "ready_listen": "127.0.0.1:8")";
    const auto lasting = parse_settings(cell + "}}");
    CHECK(lasting->m_cell->m_keys_expire == duration{});
    const auto expiring = parse_settings(cell + R"(, "keys_expire_ms": 5000}})");
    CHECK(expiring->m_cell->m_keys_expire == duration(5s));
    for (const auto* odd : {"-1", "1e12", "\"5\"", "true"})
        CHECK_FALSE(parse_settings(cell + R"(, "keys_expire_ms": )" + odd + "}}").has_value());
}
