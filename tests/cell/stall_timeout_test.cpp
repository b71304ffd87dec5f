#include "dragonflygap/cell/stall_timeout.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

void check_timeout(duration expected, const run_history& run)
{
    LONGS_EQUAL(to_ms(expected), to_ms(stall_timeout({}, run)));
}

progress_pace pace_of(duration per_percent, int percent)
{
    progress_pace pace;
    pace.add(per_percent * percent, percent);
    return pace;
}

} // namespace

TEST_GROUP(stall_timeout){};

TEST(stall_timeout, a_task_without_history_waits_for_several_percent_of_its_estimate)
{
    check_timeout(2500ms, {});
    check_timeout(2500ms, {.m_estimate = 10s});
    check_timeout(30s, {.m_estimate = 600s});
}

TEST(stall_timeout, what_was_seen_of_the_run_or_its_step_counts_beside_the_estimate)
{
    check_timeout(30s, {.m_estimate = 60s, .m_run = pace_of(6s, 1)});
    check_timeout(30s, {.m_estimate = 60s, .m_step = pace_of(6s, 3)});
    check_timeout(30s, {.m_estimate = 600s, .m_run = pace_of(100ms, 90)});
}

TEST(stall_timeout, an_estimate_that_is_too_long_counts_until_a_whole_task_was_seen)
{
    check_timeout(180s, {.m_estimate = 3600s, .m_step = pace_of(200ms, 99)});
    check_timeout(2500ms, {.m_estimate = 3600s, .m_step = pace_of(200ms, 100)});
}

TEST(stall_timeout, a_run_waits_as_long_as_the_work_that_its_stop_would_lose)
{
    check_timeout(40s, {.m_estimate = 60s, .m_unsaved = 40s});
}

TEST(stall_timeout, each_earlier_stop_doubles_it_up_to_a_limit)
{
    check_timeout(5s, {.m_earlier_stops = 1});
    check_timeout(20s, {.m_earlier_stops = 3});
    check_timeout(stall_timeout({}, {.m_earlier_stops = 16}), {.m_earlier_stops = 1000});
    check_timeout(2500ms, {.m_earlier_stops = -1});
}

TEST(stall_timeout, a_percent_that_falls_is_no_pace)
{
    progress_pace pace;
    pace.add(10s, -3);
    LONGS_EQUAL(0, to_ms(pace.per_percent()));
}

// Checkpoints come between two changes of the percent; they don't shorten its time.
TEST(stall_timeout, time_without_a_whole_percent_counts_for_the_next_one)
{
    progress_pace pace;
    pace.add(5s, 0);
    LONGS_EQUAL(0, to_ms(pace.per_percent()));
    pace.add(1s, 1);
    LONGS_EQUAL(6000, to_ms(pace.per_percent()));
}
