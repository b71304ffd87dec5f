#include "dragonflygap/cell/memory_budget.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

TEST_GROUP(memory_budget){};

TEST(memory_budget, counts_a_share_until_it_is_destroyed)
{
    const auto budget = std::make_shared<memory_budget>(100);
    {
        memory_share first(budget);
        first.resize(60);
        memory_share second = std::move(first);
        first.resize(0); // NOLINT(bugprone-use-after-move)
        LONGS_EQUAL(60, budget->used());
        CHECK_TRUE(budget->fits(40));
        CHECK_FALSE(budget->fits(41));
        second.resize(10);
        LONGS_EQUAL(10, budget->used());
    }
    LONGS_EQUAL(0, budget->used());
}

TEST(memory_budget, callers_return_when_enough_is_likely_to_be_free)
{
    memory_budget budget(100000);
    budget.add(100000);
    // Nothing ends, so the wait is the longest.
    LONGS_EQUAL(60000, budget.retry_after_ms(1000));
    instant now(1s);
    for (int second = 0; second < 30; ++second, now += 1s)
    {
        budget.measure(now);
        budget.remove(1000);
        budget.add(1000);
    }
    const auto wait_ms = budget.retry_after_ms(10000);
    CHECK_TRUE(wait_ms >= 10000 && wait_ms <= 12000);
    LONGS_EQUAL(2000, budget.retry_after_ms(1));
    LONGS_EQUAL(60000, budget.retry_after_ms(100000));
}
