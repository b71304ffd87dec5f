#include "dragonflygap/cell/number_ranges.hpp"

#include <set>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap::cell;

TEST_GROUP(number_ranges){};

TEST(number_ranges, ranges_that_touch_become_one)
{
    number_ranges numbers;
    numbers.insert(5, 7);
    numbers.insert(1, 3);
    LONGS_EQUAL(2, numbers.ranges().size());
    numbers.insert(4);
    LONGS_EQUAL(1, numbers.ranges().size());
    LONGS_EQUAL(7, numbers.ranges().at(1));
    LONGS_EQUAL(0, numbers.next_absent(0));
    LONGS_EQUAL(8, numbers.next_absent(2));
    numbers.insert(9, 8);
    LONGS_EQUAL(1, numbers.ranges().size());
}

TEST(number_ranges, hold_what_a_set_holds)
{
    CHECK_TRUE(rc::check(
        [](const std::vector<std::pair<int, int>>& inserts)
        {
            constexpr int bound = 40;
            const auto place = [](int number) { return std::abs(number % bound); };
            number_ranges left;
            number_ranges right;
            std::set<int> both[2];
            bool to_left = true;
            for (const auto& [first, length] : inserts)
            {
                const int from = place(first);
                const int to = from + place(length) / 8;
                (to_left ? left : right).insert(from, to);
                for (int i = from; i <= to; ++i)
                    both[to_left ? 0 : 1].insert(i);
                to_left = !to_left;
            }
            const auto common = left.intersection(right);
            for (int i = 0; i <= 2 * bound; ++i)
            {
                RC_ASSERT(left.contains(i) == (both[0].count(i) != 0));
                RC_ASSERT(common.contains(i) == (both[0].count(i) != 0 && both[1].count(i) != 0));
            }
        }));
}
