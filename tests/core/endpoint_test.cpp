#include "dragonflygap/core/endpoint.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

TEST_GROUP(endpoint){};

TEST(endpoint, parses_an_ip_address_and_a_port)
{
    const auto parsed = parse_endpoint("127.0.0.1:8080");
    CHECK(parsed.has_value());
    CHECK(to_string(*parsed) == "127.0.0.1:8080");
}

TEST(endpoint, rejects_host_names_missing_ports_and_ports_out_of_range)
{
    for (const auto* text : {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
                             "127.0.0.1:8x", "1.2.3:80", ":80", ""})
        CHECK(!parse_endpoint(text).has_value());
}
