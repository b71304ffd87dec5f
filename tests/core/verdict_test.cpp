#include "dragonflygap/core/verdict.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

TEST_GROUP(verdict){};

TEST(verdict, round_trips_through_its_name)
{
    for (const auto value : {verdict::not_run, verdict::ran, verdict::may_have_run})
        CHECK(verdict_from_string(to_string(value)) == value);
}

TEST(verdict, an_unknown_name_is_read_as_may_have_run)
{
    CHECK(verdict_from_string("no such verdict") == verdict::may_have_run);
}

TEST(verdict, every_reason_has_its_own_name)
{
    for (int i = 0; i <= static_cast<int>(reason::internal); ++i)
        CHECK(reason_from_string(to_string(static_cast<reason>(i))) == static_cast<reason>(i));
}
