#include "dragonflygap/request/run_time_estimate.hpp"

#include <vector>

#include <CppUTest/TestHarness.h>

#include "dragonflygap/request/slot_reserve.hpp"

using namespace dragonflygap;
using namespace dragonflygap::request;

TEST_GROUP(run_time_estimate){};

TEST(run_time_estimate, a_wrong_declared_run_time_is_outweighed_by_observed_ones)
{
    run_time_estimate estimate(10ms);
    for (int i = 0; i < 100; ++i)
        estimate.add(1s);
    CHECK(estimate.mean() > 900ms);
    CHECK(estimate.median() > 800ms && estimate.median() < 1200ms);
}

TEST(run_time_estimate, requests_still_running_raise_an_estimate_that_is_too_low)
{
    run_time_estimate estimate(10ms);
    const std::vector<duration> running(16, 2s);
    estimate.refresh(running);
    CHECK(estimate.mean() > 1s);
    estimate.refresh({});
    CHECK(estimate.mean() <= 10ms);
}

TEST(run_time_estimate, occasional_stragglers_do_not_change_the_estimate)
{
    run_time_estimate estimate(100ms);
    for (int i = 0; i < 200; ++i)
        estimate.add(i % 50 == 0 ? 2s : 100ms);
    estimate.refresh({});
    const auto before = estimate.mean();
    std::vector<duration> running(10, 50ms);
    running.push_back(1500ms);
    running.push_back(1500ms);
    estimate.refresh(running);
    CHECK(estimate.mean() == before);
}

TEST(run_time_estimate, old_samples_decay)
{
    run_time_estimate estimate(100ms);
    for (int i = 0; i < 2000; ++i)
        estimate.add(1s);
    for (int i = 0; i < 2000; ++i)
        estimate.add(100ms);
    CHECK(estimate.mean() < 110ms);
}

TEST_GROUP(slot_reserve){};

TEST(slot_reserve, no_slots_are_reserved_without_short_requests)
{
    CHECK_EQUAL(0, reserved_slots(0, 64, {}));
}

TEST(slot_reserve, exceeds_the_offered_load_by_about_three_times_its_square_root)
{
    CHECK(wait_probability(reserved_slots(20, 400, {}), 20) <= 0.01);
    CHECK(reserved_slots(20, 400, {}) <= 20 + 14);
}

TEST(slot_reserve, idle_slots_stay_within_the_configured_share)
{
    CHECK(reserved_slots(20, 64, {}) <= 20 + 64 / 20);
    CHECK(reserved_slots(1000, 64, {}) == 63);
}
