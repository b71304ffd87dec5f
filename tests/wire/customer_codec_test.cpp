#include "platform/customer_codec.hpp"

#include <nlohmann/json.hpp>

#include "platform/directory_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::wire;

namespace
{

decoded_customers decode(const std::string& tenants)
{
    return decode_customers(nlohmann::json::parse(tenants));
}

} // namespace

TEST_GROUP(customer_codec){};

TEST(customer_codec, a_configuration_lists_customers_with_keys_weight_and_limit)
{
    const auto config = decode_config(
        R"({"version":4,"routes":[{"name":"q","allow_anonymous":true},{"name":"r"}],"tenants":[
            {"name":"weaver","api_keys":["k1","k2"],"weight":2.5,
             "max_count":{"cpu":64000,"requested_memory_mb":1024,"gpu":3}},
            {"name":"dyer","api_keys":[]}]})");
    CHECK_TRUE(config.has_value());
    CHECK_TRUE(config->m_keys_required);
    CHECK_TRUE(config->m_queues[0].m_anonymous_allowed);
    CHECK_FALSE(config->m_queues[1].m_anonymous_allowed);
    LONGS_EQUAL(2, config->m_customers.size());
    const auto& weaver = config->m_customers[0];
    STRCMP_EQUAL("weaver", weaver.m_name.m_value.c_str());
    CHECK(weaver.m_keys == (std::vector<std::string>{"k1", "k2"}));
    CHECK(weaver.m_weight == 2.5);
    CHECK(weaver.m_limit == (resources{64000, 1024, 3}));
    const auto& dyer = config->m_customers[1];
    CHECK(dyer.m_keys.empty());
    CHECK(dyer.m_weight == 1);
    CHECK(dyer.m_limit == resources{});
}

TEST(customer_codec, a_configuration_without_customers_needs_no_keys)
{
    const auto config = decode_config(R"({"version":4,"routes":[{"name":"q"}]})");
    CHECK_TRUE(config.has_value());
    CHECK_FALSE(config->m_keys_required);
    CHECK(config->m_customers.empty());
}

// A limit of 0 is none, so a fraction must not become 0.
TEST(customer_codec, unusable_amounts_are_no_limit_and_fractions_are_rounded_up)
{
    const auto limit_of = [](const std::string& amount)
    {
        const auto result = decode(R"([{"name":"c","max_count":{"cpu":)" + amount + "}}]");
        return result.m_customers.at(0).m_limit.m_millicores;
    };
    LONGS_EQUAL(0, limit_of("0"));
    LONGS_EQUAL(1, limit_of("0.2"));
    LONGS_EQUAL(1501, limit_of("1500.5"));
    LONGS_EQUAL(1000000000, limit_of("1e300"));
    LONGS_EQUAL(1000000000, limit_of("18446744073709551615"));
    for (const auto* amount : {"-1", "-1e300", "-9223372036854775808", "\"7\"", "[]", "null", "{}"})
        LONGS_EQUAL(0, limit_of(amount));
    LONGS_EQUAL(1, decode(R"([{"name":"c","max_count":{"cpu":-1,"gpu":2}}])").m_odd_numbers);
    for (const auto* limits : {"7", "[]", "null", "\"x\""})
        CHECK(decode(R"([{"name":"c","max_count":)" + std::string(limits) + "}]")
                  .m_customers.at(0)
                  .m_limit == resources{});
}

TEST(customer_codec, a_weight_that_is_not_positive_counts_as_one)
{
    for (const auto* weight : {"0", "-3", "\"2\"", "null", "[2]", "-1e300"})
    {
        const auto result = decode(R"([{"name":"c","weight":)" + std::string(weight) + "}]");
        CHECK(result.m_customers.at(0).m_weight == 1);
        LONGS_EQUAL(1, result.m_odd_numbers);
    }
    CHECK(decode(R"([{"name":"c","weight":1e308}])").m_customers.at(0).m_weight == 1e6);
}

TEST(customer_codec, a_key_of_several_customers_identifies_none_of_them)
{
    const auto result = decode(
        R"([{"name":"a","api_keys":["x","y"]},{"name":"b","api_keys":["y","z"]},{"name":"c"}])");
    CHECK(result.m_customers.at(0).m_keys == std::vector<std::string>{"x"});
    CHECK(result.m_customers.at(1).m_keys == std::vector<std::string>{"z"});
    LONGS_EQUAL(1, result.m_odd_keys);
}

TEST(customer_codec, entries_of_the_same_name_are_one_customer)
{
    const auto result = decode(
        R"([{"name":"a","api_keys":["x"],"weight":2,"max_count":{"cpu":500,"gpu":1}},
            {"name":"a","api_keys":["x","y"],"weight":9,"max_count":{"cpu":400}}])");
    LONGS_EQUAL(1, result.m_customers.size());
    const auto& customer = result.m_customers.front();
    CHECK(customer.m_keys == (std::vector<std::string>{"x", "x", "y"}));
    CHECK(customer.m_weight == 2);
    CHECK(customer.m_limit == (resources{400, 0, 1}));
    LONGS_EQUAL(1, result.m_merged_names);
}
