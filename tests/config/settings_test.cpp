#include "dragonflygap/config/settings.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::config;

TEST_GROUP(settings){};

TEST(settings, a_full_document_is_read)
{
    const auto read = parse_settings(R"({"vm": "a", "data_centre": "d",
        "peers": [{"vm": "b", "data_centre": "d", "address": "127.0.0.1:9"}],
        "platform": {"address": "127.0.0.1:7000"}, "drain_seconds": 5})");
    CHECK(read.has_value());
    CHECK(read->m_peers.front().m_address.m_port == 9);
    CHECK(read->m_drain == duration(5s));
}

TEST(settings, an_unknown_key_is_named_with_its_path)
{
    const auto read = parse_settings(R"({"vm": "a", "data_centre": "d",
        "platform": {"adress": "127.0.0.1:7000"}})");
    CHECK(!read.has_value());
    CHECK(to_string(read.error()).find("$.platform") != std::string::npos);
    CHECK(to_string(read.error()).find("adress") != std::string::npos);
}

TEST(settings, every_fault_is_reported_not_only_the_first)
{
    const auto read = parse_settings(R"({"vm": 3, "data_centre": "d", "drain_seconds": -1})");
    CHECK(!read.has_value());
    const auto text = to_string(read.error());
    CHECK(text.find("$.vm") != std::string::npos);
    CHECK(text.find("$.drain_seconds") != std::string::npos);
}

TEST(settings, an_address_that_no_ip_number_matches_is_refused)
{
    const auto read =
        parse_settings(R"({"vm": "a", "data_centre": "d", "caller_listen": "1.2.3.400:80"})");
    CHECK(!read.has_value());
    CHECK(read.error().front().m_path == "$.caller_listen");
}

TEST(settings, a_text_that_is_no_json_is_refused_with_its_line)
{
    const auto read = parse_settings("{\n\"vm\": }");
    CHECK(!read.has_value());
    CHECK(read.error().front().m_path == "line 2");
}
