#include "dragonflygap/cell/customer_keys.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

cell_config config_of(std::vector<customer_rules> customers)
{
    return {.m_keys_required = true, .m_customers = std::move(customers)};
}

std::string owner_of(const customer_keys& keys, std::string_view key)
{
    const auto* owner = keys.find(key);
    return owner == nullptr ? "" : owner->m_value;
}

} // namespace

TEST_GROUP(customer_keys)
{
    const customer_id m_a{"a"};
    const customer_id m_b{"b"};
};

TEST(customer_keys, each_key_names_its_customer)
{
    const customer_keys keys(
        config_of({{.m_name = m_a, .m_keys = {"k1", "k2"}}, {.m_name = m_b, .m_keys = {"k3"}}}));
    LONGS_EQUAL(3, keys.size());
    STRCMP_EQUAL("a", owner_of(keys, "k1").c_str());
    STRCMP_EQUAL("a", owner_of(keys, "k2").c_str());
    STRCMP_EQUAL("b", owner_of(keys, "k3").c_str());
}

// A comparison that ends early, or at a zero byte, would accept a part of a key.
TEST(customer_keys, no_other_text_names_a_customer)
{
    const std::string key("secret\0tail", 11);
    const customer_keys keys(config_of({{.m_name = m_a, .m_keys = {key}}}));
    STRCMP_EQUAL("a", owner_of(keys, key).c_str());
    for (const auto& other : {std::string(), key.substr(0, 6), key.substr(0, 10), key + "x",
                              "x" + key, std::string("secret\0tai1", 11)})
        STRCMP_EQUAL("", owner_of(keys, other).c_str());
    STRCMP_EQUAL("", owner_of(customer_keys(), key).c_str());
}

TEST(customer_keys, empty_and_shared_keys_name_nobody)
{
    const customer_keys keys(config_of({{.m_name = m_a, .m_keys = {"", "x", "own", "own"}},
                                        {.m_name = m_b, .m_keys = {"x"}},
                                        {.m_name = customer_id("c"), .m_keys = {"x"}},
                                        {.m_name = {}, .m_keys = {"of nobody"}}}));
    LONGS_EQUAL(1, keys.size());
    for (const auto* key : {"", "x", "of nobody"})
        STRCMP_EQUAL("", owner_of(keys, key).c_str());
    STRCMP_EQUAL("a", owner_of(keys, "own").c_str());
}

TEST(customer_keys, thousands_of_keys_are_told_apart)
{
    constexpr int count = 20000;
    customer_rules a{.m_name = m_a};
    customer_rules b{.m_name = m_b};
    for (int i = 0; i < count; ++i)
        (i % 2 == 0 ? a : b).m_keys.push_back("key-" + std::to_string(i));
    const customer_keys keys(config_of({a, b}));
    LONGS_EQUAL(count, keys.size());
    for (int i = 0; i < count; ++i)
        STRCMP_EQUAL(i % 2 == 0 ? "a" : "b", owner_of(keys, "key-" + std::to_string(i)).c_str());
    STRCMP_EQUAL("", owner_of(keys, "key-" + std::to_string(count)).c_str());
}

TEST(customer_keys, a_call_is_accepted_by_its_key_or_its_queue)
{
    const auto config = config_of({{.m_name = m_a, .m_keys = {"k"}}});
    const customer_keys keys(config);
    const queue_rules closed;
    const queue_rules open{.m_anonymous_allowed = true};
    const auto verdict =
        [&](const queue_rules& queue, std::optional<std::string_view> key, bool confirmed)
    { return check_key(config, keys, queue, key, confirmed).m_verdict; };
    CHECK(verdict(closed, "k", true) == key_verdict::accepted);
    CHECK(verdict(closed, "x", true) == key_verdict::unknown);
    CHECK(verdict(closed, std::nullopt, true) == key_verdict::missing);
    for (const auto& key : {std::optional<std::string_view>(), {"k"}, {"x"}})
    {
        CHECK(verdict(closed, key, false) == key_verdict::unconfirmed);
        CHECK(verdict(open, key, false) == key_verdict::accepted);
        CHECK(verdict(open, key, true) == key_verdict::accepted);
    }
    CHECK(check_key(config, keys, open, "k", true).m_customer == m_a);
    CHECK(check_key(config, keys, open, "x", true).m_customer.empty());
    CHECK(check_key({}, {}, closed, "k", false).m_verdict == key_verdict::accepted);
}

TEST(customer_keys, a_job_is_accessible_to_its_customer_and_where_either_is_unknown)
{
    CHECK_TRUE(may_access(m_a, m_a));
    CHECK_FALSE(may_access(m_a, m_b));
    CHECK_TRUE(may_access({}, m_b));
    CHECK_TRUE(may_access(m_a, {}));
}
