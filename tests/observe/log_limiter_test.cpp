#include "dragonflygap/observe/log_limiter.hpp"

#include <cstdio>
#include <fcntl.h>
#include <unistd.h>

#include "dragonflygap/observe/log.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

TEST_GROUP(log_limiter){};

TEST(log_limiter, lines_beyond_the_limit_are_dropped_and_counted)
{
    log_limiter limiter;
    const instant now(10s);
    for (int i = 0; i < log_limiter::max_lines_per_second; ++i)
        CHECK_TRUE(limiter.admit(now));
    CHECK_FALSE(limiter.admit(now));
    CHECK_FALSE(limiter.admit(now + 500ms));
    LONGS_EQUAL(2, *limiter.reset_dropped_count());
    CHECK_FALSE(limiter.reset_dropped_count().has_value());
    CHECK_TRUE(limiter.admit(now + 1s));
}

// Incident LOST: thousands of start_failed lines per second crowded out all other log lines.
TEST(log_limiter, a_flood_of_one_event_gets_half_of_the_limit)
{
    using priority = log_limiter::priority;
    log_limiter limiter;
    const instant now(10s);
    for (int i = 0; i < log_limiter::max_lines_per_event; ++i)
        CHECK_TRUE(limiter.admit(now, priority::normal, "start_failed"));
    for (int i = 0; i < 10; ++i)
        CHECK_FALSE(limiter.admit(now, priority::normal, "start_failed"));
    CHECK_FALSE(limiter.admit(now, priority::high, "start_failed"));
    CHECK_TRUE(limiter.admit(now, priority::normal, "tasks_started"));
    LONGS_EQUAL(11, *limiter.reset_dropped_count());
    CHECK_TRUE(limiter.admit(now + 1s, priority::normal, "start_failed"));
}

TEST(log_limiter, a_share_of_the_limit_is_reserved_for_warnings_and_periodic_lines)
{
    using priority = log_limiter::priority;
    log_limiter limiter;
    const instant now(10s);
    constexpr int normal_limit =
        log_limiter::max_lines_per_second - log_limiter::reserved_lines_per_second;
    for (int i = 0; i < normal_limit; ++i)
        CHECK_TRUE(limiter.admit(now, priority::normal, "event-" + std::to_string(i % 10)));
    CHECK_FALSE(limiter.admit(now, priority::normal, "another"));
    for (int i = 0; i < log_limiter::reserved_lines_per_second; ++i)
        CHECK_TRUE(limiter.admit(now, priority::high, "worker_lost"));
    CHECK_FALSE(limiter.admit(now, priority::high, "worker_lost"));
    LONGS_EQUAL(2, *limiter.reset_dropped_count());
}

// A blocked standard output must not stall the daemon's event loop.
TEST(log_limiter, a_stalled_reader_of_the_output_does_not_block_logging)
{
    int ends[2];
    LONGS_EQUAL(0, pipe(ends));
    std::fflush(stdout);
    const int saved_stdout = dup(STDOUT_FILENO);
    dup2(ends[1], STDOUT_FILENO);
    start_logging(log_level::info, "vm");
    constexpr int lines_to_fill_pipe = 1500;
    for (int i = 0; i < lines_to_fill_pipe; ++i)
        log_event(log_level::info, "filler", {{"text", std::string(100, 'x')}});
    std::fflush(stdout);
    dup2(saved_stdout, STDOUT_FILENO);
    close(saved_stdout);
    close(ends[0]);
    close(ends[1]);
    CHECK_TRUE(dropped_log_lines() > 0);
}
