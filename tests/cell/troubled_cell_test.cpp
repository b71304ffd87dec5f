#include "cell/support/troubled_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

TEST_GROUP(troubled_cell){};

TEST(troubled_cell, every_accepted_job_ends_after_the_troubles)
{
    constexpr unsigned seeds = 100;
    for (unsigned seed = 1; seed <= seeds; ++seed)
    {
        troubled_cell cell(seed);
        cell.run(40s, true);
        cell.heal();
        cell.run(30s, false);
        CHECK_TEXT(cell.accepted() > 20, std::to_string(seed).c_str());
        LONGS_EQUAL_TEXT(0, cell.open_jobs().size(), std::to_string(seed).c_str());
    }
}
