#include "dragonflygap/observe/log_limiter.hpp"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

#include "dragonflygap/observe/log.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

TEST_GROUP(log_limiter){};

TEST(log_limiter, lines_beyond_the_bound_are_left_out_and_counted)
{
    log_limiter limiter;
    const instant now(10s);
    for (int i = 0; i < log_limiter::most_lines_per_second; ++i)
        CHECK_TRUE(limiter.admit(now));
    CHECK_FALSE(limiter.admit(now));
    CHECK_FALSE(limiter.admit(now + 500ms));
    LONGS_EQUAL(2, *limiter.take_dropped());
    CHECK_FALSE(limiter.take_dropped().has_value());
    CHECK_TRUE(limiter.admit(now + 1s));
}

// Seen in the incident LOST: thousands of refused starts a second hid why others waited.
TEST(log_limiter, an_event_that_floods_takes_half_of_the_bound)
{
    using weight = log_limiter::weight;
    log_limiter limiter;
    const instant now(10s);
    for (int i = 0; i < log_limiter::most_lines_per_event; ++i)
        CHECK_TRUE(limiter.admit(now, weight::ordinary, "start_failed"));
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(limiter.admit(now, weight::ordinary, "start_failed"));
    CHECK_FALSE(limiter.admit(now, weight::kept, "start_failed"));
    CHECK_TRUE(limiter.admit(now, weight::ordinary, "tasks_started"));
    LONGS_EQUAL(11, *limiter.take_dropped());
    CHECK_TRUE(limiter.admit(now + 1s, weight::ordinary, "start_failed"));
}

TEST(log_limiter, ordinary_lines_leave_a_share_to_warnings_and_reports)
{
    using weight = log_limiter::weight;
    log_limiter limiter;
    const instant now(10s);
    constexpr int ordinary =
        log_limiter::most_lines_per_second - log_limiter::kept_lines_per_second;
    for (int i = 0; i < ordinary; ++i)
        CHECK_TRUE(limiter.admit(now, weight::ordinary, "event-" + std::to_string(i % 10)));
    CHECK_FALSE(limiter.admit(now, weight::ordinary, "another"));
    for (int i = 0; i < log_limiter::kept_lines_per_second; ++i)
        CHECK_TRUE(limiter.admit(now, weight::kept, "worker_lost"));
    CHECK_FALSE(limiter.admit(now, weight::kept, "worker_lost"));
    LONGS_EQUAL(2, *limiter.take_dropped());
}

// The daemon's loop must go on though nobody reads its output.
TEST(log_limiter, a_reader_that_does_not_read_blocks_nobody)
{
    int ends[2];
    LONGS_EQUAL(0, pipe(ends));
    std::fflush(stdout);
    const int kept = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    start_logging(log_level::info, "vm");
    constexpr int more_than_a_pipe_holds = 1500;
    for (int i = 0; i < more_than_a_pipe_holds; ++i)
        log_event(log_level::info, "filler", {{"text", std::string(100, 'x')}});
    std::fflush(stdout);
    dup2(kept, STDOUT_FILENO);
    close(kept);
    close(ends[0]);
    close(ends[1]);
    CHECK_TRUE(dropped_log_lines() > 0);
}
