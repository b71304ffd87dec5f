#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "dragonflygap/cell/customer_keys.hpp"
#include "dragonflygap/cell/peer_messages.hpp"
#include "platform/directory_client.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

std::string with_tenants(const std::string& tenants)
{
    return R"({"version":3,"routes":[{"name":"q","host":"h","path_prefix":"/q/"}],"tenants":)" +
           tenants + "}";
}

/// The customer that a key names, as callers of a configuration see it; empty: refused.
std::string owner_of(const cell::cell_config& config, const std::string& key)
{
    const auto check =
        cell::check_key(config, cell::customer_keys(config), config.m_queues.front(), key, true);
    if (check.m_verdict != cell::key_verdict::accepted)
        return {};
    CHECK_FALSE(check.m_customer.empty());
    return check.m_customer.m_value;
}

nlohmann::json random_value()
{
    const std::vector<nlohmann::json> values{nullptr,
                                             true,
                                             "",
                                             "a",
                                             "b",
                                             std::string("\0k", 2),
                                             "k1",
                                             0,
                                             -1,
                                             1.5,
                                             1e300,
                                             -1e300,
                                             18446744073709551615U,
                                             nlohmann::json::array(),
                                             nlohmann::json::object(),
                                             nlohmann::json::array({"k1", 7, ""}),
                                             nlohmann::json::object({{"cpu", -5}}),
                                             nlohmann::json::array({"k1"}),
                                             nlohmann::json::array({"k2", "k3"})};
    return values[*rc::gen::inRange<std::size_t>(0, values.size())];
}

/// Messages of builds before customers.
struct former_config
{
    std::uint64_t m_version = 0;
    std::vector<cell::queue_rules> m_queues;

    MSGPACK_DEFINE(m_version, m_queues)
};
struct former_update
{
    former_config m_config;

    MSGPACK_DEFINE(m_config)
};

} // namespace

TEST_GROUP(odd_customers){};

TEST(odd_customers, a_list_that_can_not_be_read_does_not_switch_the_check_of_keys_off)
{
    for (const auto* tenants :
         {"null", "7", "true", "{}", "[]", "\"weaver\"", "[7,null,[],\"a\"]", "[{}]",
          R"([{"name":"","api_keys":["k1"]}])", R"([{"api_keys":["k1"]}])",
          R"([{"name":7,"api_keys":["k1"]}])", R"([{"name":null,"api_keys":["k1"]}])",
          R"([{"name":"a"}])", R"([{"name":"a","api_keys":"k1"}])",
          R"([{"name":"a","api_keys":{"k1":"k1"}}])", R"([{"name":"a","api_keys":[["k1"],{}]}])",
          R"([{"name":"a","api_keys":["",null,7]}])",
          R"([{"name":"a","api_keys":["k1"]},{"name":"b","api_keys":["k1"]}])",
          R"({"name":"a","api_keys":["k1"]})"})
    {
        const auto config = wire::decode_config(with_tenants(tenants));
        CHECK_TRUE(config.has_value());
        CHECK_TRUE(config->m_keys_required);
        for (const auto* key : {"k1", "", "7", "null"})
            STRCMP_EQUAL("", owner_of(*config, key).c_str());
    }
}

TEST(odd_customers, the_usable_entries_beside_odd_ones_are_used)
{
    const auto config = wire::decode_config(with_tenants(
        R"([7,{"name":"a","api_keys":["k1",null,""],"weight":-1,"max_count":[]},{"api_keys":["k2"]},)"
        R"({"name":"b","api_keys":["k3"],"max_count":{"cpu":"x"}}])"));
    STRCMP_EQUAL("a", owner_of(*config, "k1").c_str());
    STRCMP_EQUAL("", owner_of(*config, "k2").c_str());
    STRCMP_EQUAL("b", owner_of(*config, "k3").c_str());
}

TEST(odd_customers, only_true_makes_a_queue_anonymous)
{
    for (const auto* value : {"1", "\"true\"", "null", "[]", "{}", "false", "1e300"})
    {
        const auto config = wire::decode_config(
            R"({"version":3,"tenants":[],"routes":[{"name":"q","allow_anonymous":)" +
            std::string(value) + "}]}");
        CHECK_FALSE(config->m_queues.front().m_anonymous_allowed);
    }
}

// The text isn't JSON, so the former version stays in force on every VM.
TEST(odd_customers, a_document_with_a_number_out_of_range_is_not_applied)
{
    CHECK_FALSE(wire::decode_config(with_tenants(R"([{"name":"a","weight":1e999}])")).has_value());
    CHECK_FALSE(wire::decode_config(with_tenants("[{\"name\":\"\xff\"}]")).has_value());
}

// Whatever stands in the entries: a key names a customer only if that one alone lists it.
TEST(odd_customers, no_key_is_given_to_another_customer)
{
    const bool passed = rc::check(
        "a key names the only customer that lists it",
        []
        {
            auto tenants = nlohmann::json::array();
            for (int i = *rc::gen::inRange(0, 6); i > 0; --i)
            {
                auto entry = nlohmann::json::object();
                for (const auto* member : {"name", "api_keys", "weight", "max_count"})
                    if (*rc::gen::inRange(0, 5) != 0)
                        entry[member] = random_value();
                if (*rc::gen::arbitrary<bool>())
                    entry["name"] = *rc::gen::element<std::string>("a", "b", "c");
                tenants.push_back(*rc::gen::inRange(0, 6) == 0 ? random_value() : entry);
            }
            const auto config = wire::decode_config(with_tenants(tenants.dump()));
            RC_ASSERT(config.has_value() && config->m_keys_required);
            for (const auto* key : {"k1", "k2", "k3", ""})
            {
                std::set<std::string> listing;
                for (const auto& entry : tenants)
                    if (entry.is_object() && entry.contains("name") && entry["name"].is_string() &&
                        entry.contains("api_keys") && entry["api_keys"].is_array())
                        for (const auto& listed : entry["api_keys"])
                            if (listed == key && entry["name"] != "")
                                listing.insert(entry["name"].get<std::string>());
                const bool usable = listing.size() == 1 && *key != '\0';
                RC_ASSERT(owner_of(*config, key) == (usable ? *listing.begin() : ""));
            }
            for (const auto& customer : config->m_customers)
            {
                RC_ASSERT(customer.m_weight > 0 && customer.m_weight <= 1e6);
                for (const auto amount :
                     {customer.m_limit.m_millicores, customer.m_limit.m_memory_mb,
                      customer.m_limit.m_accelerators})
                    RC_ASSERT(amount >= 0 && amount <= 1000000000);
            }
        });
    CHECK_TRUE(passed);
}

TEST(odd_customers, a_peers_configuration_keeps_its_customers)
{
    const auto config = wire::decode_config(
        with_tenants(R"([{"name":"a","api_keys":["k1"],"weight":2,"max_count":{"cpu":7}}])"));
    const auto read =
        cell::decode_peer(cell::encode(vm_id("vm"), cell::config_update{*config, true}));
    CHECK_TRUE(read.has_value());
    const auto& update = std::get<cell::config_update>(read->m_message);
    CHECK_TRUE(update.m_has_customers);
    CHECK_TRUE(update.m_config.m_keys_required);
    CHECK(update.m_config.m_customers == config->m_customers);
}

// A build before customers would else switch the check off on all VMs that it tells a version.
TEST(odd_customers, the_configuration_of_an_earlier_build_is_told_apart)
{
    const auto read = cell::unpack<cell::config_update>(cell::pack(former_update{{7, {}}}));
    CHECK_TRUE(read.has_value());
    CHECK_FALSE(read->m_has_customers);
}
