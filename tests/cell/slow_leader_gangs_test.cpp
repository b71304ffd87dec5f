#include "cell/support/large_site.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

constexpr duration peak_length = 8s;
constexpr duration calm_length = 8s;

// Room for a step twice over is free for no longer than this while the step waits, plus the time by
// which the leader is late.
constexpr duration wait_limit = 3s;

/// The large site, with a leader that gets this share of the processor time that it needs to keep
/// up with the load peak of overload_test.cpp, and answers of approvals that are late on their way.
cell_options large_site(double processor_share, duration approval_lag)
{
    const auto cost = [processor_share](double us)
    { return duration(static_cast<std::int64_t>(us / processor_share)); };
    return {.m_vms = 147,
            .m_workers = 1100,
            .m_costs = {.m_event = cost(100),
                        .m_action = cost(150),
                        .m_tick = cost(3000),
                        .m_step_per_tick = cost(25)},
            .m_approval_lag = approval_lag,
            .m_gives_up_calls = true};
}

/// Of the fleet's millicores, needed by all jobs that were submitted in this time.
double load_share(const simulated_cell& cell, const cell_options& options, duration length)
{
    const auto all = options.m_workers * options.m_capacity.m_millicores * to_ms(length);
    return static_cast<double>(cell.work().m_millicore_ms) / static_cast<double>(all);
}

/// A peak that needs about half of the fleet, a third of it, and nothing.
void check_waits(const cell_options& options)
{
    simulated_cell cell(options);
    cell.take_over();
    cell.run(1s);
    submit_load(cell, peak_length, {.m_plans = 6, .m_matches = 10, .m_lookups = 80});
    const auto share = load_share(cell, options, peak_length);
    CHECK_TRUE(share >= 0.3 && share <= 0.6);
    submit_load(cell, calm_length, {.m_plans = 2, .m_matches = 3, .m_lookups = 27});
    cell.run(10s);
    const auto text = cell.longest_wait_beside_room() + " waited beside room for " +
                      std::to_string(to_ms(cell.max_wait_beside_room())) + " ms, at most " +
                      std::to_string(to_ms(cell.max_wait_beyond_lateness())) +
                      " ms more than the leader was late meanwhile; it was late by up to " +
                      std::to_string(to_ms(cell.max_lateness())) + " ms; live jobs " +
                      std::to_string(cell.live_jobs());
    LONGS_EQUAL_TEXT(0, cell.overcommitted(), text.c_str());
    LONGS_EQUAL_TEXT(0, cell.refused_starts(), text.c_str());
    LONGS_EQUAL_TEXT(0, cell.incomplete_gang_members(), text.c_str());
    LONGS_EQUAL_TEXT(0, cell.rejected(), text.c_str());
    CHECK_TEXT(cell.max_wait_beyond_lateness() <= wait_limit, text.c_str());
}

} // namespace

TEST_GROUP(slow_leader_gangs){};

// Incidents LOST and SHORT: with a leader short of processor time, steps waited beside an empty
// fleet, and gangs of 50 tasks and more for tens of seconds beside room for several of them.
TEST(slow_leader_gangs, no_step_waits_beside_room_while_the_leader_has_all_its_processor_time)
{
    check_waits(large_site(1, {}));
}

TEST(slow_leader_gangs, no_step_waits_beside_room_while_the_leader_has_two_thirds_of_it)
{
    check_waits(large_site(2.0 / 3, {}));
}

TEST(slow_leader_gangs, no_step_waits_beside_room_while_approvals_arrive_late)
{
    check_waits(large_site(1, 300ms));
}

TEST(slow_leader_gangs, no_step_waits_beside_room_while_a_slow_leader_gets_approvals_late)
{
    check_waits(large_site(2.0 / 3, 300ms));
}
