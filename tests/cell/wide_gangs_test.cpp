#include "cell/support/large_site.hpp"
#include "cell/support/stub_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

// Capacity for a step twice over is free for no longer than this while the step waits.
constexpr duration wait_limit = 3s;

void check_waits(simulated_cell& cell)
{
    const auto& job = cell.longest_wait_beside_room();
    LONGS_EQUAL(0, cell.overcommitted());
    LONGS_EQUAL(0, cell.refused_starts());
    LONGS_EQUAL(0, cell.incomplete_gang_members());
    CHECK_TEXT(cell.max_wait_beside_room() <= wait_limit,
               (job + " waited for " + std::to_string(to_ms(cell.max_wait_beside_room())) + " ms")
                   .c_str());
}

} // namespace

TEST_GROUP(wide_gangs){};

// Incident SHORT: gangs of 50 tasks and more waited for tens of seconds beside room for them on
// workers that they never asked about.
TEST(wide_gangs, no_gang_waits_beside_room_in_a_busy_cell)
{
    simulated_cell cell({.m_vms = 147, .m_workers = 1100});
    cell.take_over();
    cell.run(1s);
    submit_load(cell, 20s, {.m_plans = 6, .m_matches = 10, .m_lookups = 80});
    cell.run(10s);
    check_waits(cell);
}

// Approved workers that can never hold one of its tasks counted as half a task each, so the gang
// asked for no others.
TEST(wide_gangs, a_gang_asks_for_the_few_workers_that_can_hold_its_tasks)
{
    constexpr int small_workers = 90;
    constexpr int large_workers = 10;
    stub_cell cell;
    for (int i = 0; i < small_workers + large_workers; ++i)
        cell.m_listed.push_back({.m_id = stub_cell::name(i),
                                 .m_service = service_id("pool"),
                                 .m_address = endpoint{"10.0.0.1", 80},
                                 .m_capacity = {.m_millicores = 4000,
                                                .m_memory_mb = i < small_workers ? 4000 : 16000}});
    cell.feed(workers_listed{cell.m_listed});
    cell.run(50ms);
    const step_spec half{.m_count = large_workers / 2,
                         .m_size = {.m_millicores = 3500, .m_memory_mb = 12000},
                         .m_max_per_worker = 1};
    const auto other = [](int number) { return "other-" + std::to_string(number); };
    cell.submit(other(0), half, {.m_priority = 2});
    cell.submit(other(1), half, {.m_priority = 2});
    cell.run(100ms);
    LONGS_EQUAL(half.m_count, cell.started(other(1)));
    cell.submit(
        "gang",
        {.m_count = 8, .m_size = {.m_millicores = 1000, .m_memory_mb = 12000}, .m_gang = true},
        {.m_priority = 1, .m_approval = {50, 1, 2500}});
    cell.run(2s);
    // Half of the large workers become free at a time, and other steps wait for them.
    constexpr int rounds = 40;
    for (int i = 0; i < rounds; ++i)
    {
        cell.submit(other(i + 2), half, {.m_priority = 2});
        cell.end(other(i), end_kind::done);
        cell.run(1s);
    }
    LONGS_EQUAL(8, cell.started("gang"));
}
