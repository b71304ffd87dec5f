#include "cell/support/simulated_cell.hpp"
#include "dragonflygap/cell/call_window.hpp"
#include "dragonflygap/cell/response_time.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

// The load of the small twin of a cell of 1,100 workers, in jobs of 100 s.
const job_kind plans = kind_of("plans", 1, {507, 7.28, 2500}, 0.35,
                               {.m_count = 40,
                                .m_size = {.m_millicores = 4500, .m_memory_mb = 6300},
                                .m_expected_ms = 3400,
                                .m_gang = true});
const job_kind matches = kind_of(
    "matches", 2, {182, 2.6, 2500}, 0.45,
    {.m_count = 40, .m_size = {.m_millicores = 2700, .m_memory_mb = 3200}, .m_expected_ms = 2300});
const job_kind lookups = kind_of(
    "lookups", 0, {18.2, 0.26, 2500}, 0.7,
    {.m_count = 4, .m_size = {.m_millicores = 3900, .m_memory_mb = 3600}, .m_expected_ms = 850});

/// Submits jobs for this time and lets them end.
void run_load(simulated_cell& cell, duration length)
{
    cell.take_over();
    cell.run(1s);
    constexpr duration slice = 100ms;
    for (duration elapsed{}; elapsed < length; elapsed += slice)
    {
        const auto number = elapsed / slice;
        cell.submit(lookups, 1);
        if (number % 12 == 0)
            cell.submit(plans, 1);
        if (number % 8 == 0)
            cell.submit(matches, 1);
        cell.run(slice);
    }
    constexpr int max_seconds = 40;
    for (int i = 0; i < max_seconds && cell.live_jobs() > 0; ++i)
        cell.run(1s);
}

constexpr cell_options twin{.m_vms = 19, .m_workers = 120};

} // namespace

TEST_GROUP(congestion){};

// The small twin of a large site: each order that waited in the leader's link for 300 ms counted as
// lost, and its stop and the next start waited in the same link; 990 runs were broken on a quiet
// day.
TEST(congestion, a_leader_with_a_slow_link_starts_later_and_loses_no_run)
{
    auto options = twin;
    options.m_link_bytes_per_s = 250000;
    simulated_cell cell(options);
    run_load(cell, 20s);
    LONGS_EQUAL(0, cell.live_jobs());
    LONGS_EQUAL(0, cell.timed_out());
    LONGS_EQUAL(0, cell.stopped());
    LONGS_EQUAL(0, cell.incomplete_gang_members());
    LONGS_EQUAL(0, cell.overcommitted());
}

// A leader that is short of processor time handles answers late; they were not lost.
TEST(congestion, a_leader_whose_loop_stalls_loses_no_run)
{
    auto options = twin;
    options.m_stall = 500ms;
    simulated_cell cell(options);
    run_load(cell, 20s);
    LONGS_EQUAL(0, cell.live_jobs());
    LONGS_EQUAL(0, cell.stopped());
    LONGS_EQUAL(0, cell.overcommitted());
}

TEST(congestion, the_timeout_follows_the_times_of_answers)
{
    response_time times({});
    LONGS_EQUAL(1000, to_ms(times.timeout()));
    for (int i = 0; i < 50; ++i)
        times.add(10ms);
    LONGS_EQUAL(500, to_ms(times.timeout()));
    for (int i = 0; i < 50; ++i)
        times.add(i % 2 == 0 ? 200ms : 400ms);
    CHECK_COMPARE(to_ms(times.timeout()), >, 500);
    for (int i = 0; i < 50; ++i)
        times.add(3s);
    LONGS_EQUAL(1500, to_ms(times.timeout()));
    for (int i = 0; i < 200; ++i)
        times.add(10ms);
    LONGS_EQUAL(500, to_ms(times.timeout()));
}

// One silent worker among hundreds must not delay the notice of other losses.
TEST(congestion, a_few_unanswered_orders_hardly_raise_the_timeout)
{
    response_time times({});
    for (int i = 0; i < 2000; ++i)
        times.add(i % 100 == 0 ? times.timeout() : duration(10ms));
    CHECK_COMPARE(to_ms(times.timeout()), <=, 600);
}

TEST(congestion, the_window_shrinks_with_slow_answers_and_grows_with_quick_ones)
{
    call_window window({});
    instant now(10s);
    for (int i = 0; i < 100; ++i)
        window.sent();
    for (int i = 0; i < 100; ++i)
        window.answered(400ms, now);
    const auto shrunk = window.size();
    CHECK_COMPARE(shrunk, <, 64);
    CHECK_COMPARE(shrunk, >, 30); // Once for all that were on the way together.
    for (int round = 0; round < 20; ++round)
    {
        now += 1s;
        window.sent();
        window.answered(400ms, now);
    }
    LONGS_EQUAL(16, window.size());
    for (int round = 0; round < 100; ++round)
    {
        while (!window.full())
            window.sent();
        while (window.in_flight() > 0)
            window.answered(10ms, now);
    }
    CHECK_COMPARE(window.size(), >, 200);
}

// A path that takes a second both ways isn't congested; what comes on top of it is.
TEST(congestion, the_window_does_not_shrink_for_the_delay_of_the_path)
{
    call_window window({.m_slow_answer = 250ms, .m_max_path_delay = 1250ms});
    const auto answer = [&](duration taken, instant now)
    {
        window.sent();
        window.answered(taken, now);
    };
    instant now(10s);
    for (int i = 0; i < 100; ++i)
        answer(1s, now += 50ms);
    LONGS_EQUAL(64, window.size());
    for (int i = 0; i < 10; ++i)
        answer(1500ms, now += 50ms);
    CHECK_COMPARE(window.size(), <, 64);
}
