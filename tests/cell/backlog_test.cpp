#include "cell/support/simulated_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

// The load of a cell of 350 workers and 35 VMs.
const job_kind plans = kind_of("plans", 1, {572, 8.06, 2500}, 0.35,
                               {.m_count = 20,
                                .m_size = {.m_millicores = 4500, .m_memory_mb = 6300},
                                .m_expected_ms = 4200,
                                .m_gang = true});
const job_kind matches = kind_of(
    "matches", 2, {130, 1.82, 2500}, 0.45,
    {.m_count = 25, .m_size = {.m_millicores = 1700, .m_memory_mb = 3200}, .m_expected_ms = 2300});
const job_kind lookups = kind_of(
    "lookups", 0, {9.36, 0.13, 2500}, 0.7,
    {.m_count = 3, .m_size = {.m_millicores = 2500, .m_memory_mb = 3600}, .m_expected_ms = 540});

job_kind narrow(job_kind kind, int count)
{
    kind.m_step.m_count = count;
    return kind;
}

// Accepted jobs must finish within 14 s after the last submission. After that none may wait for 3 s
// while at least half of the capacity is free.
constexpr duration finish_limit = 14s;
constexpr duration avoidable_wait_limit = 3s;

void check_drained(simulated_cell& cell, duration limit)
{
    cell.measure_waits_after(finish_limit);
    cell.take_over();
    while (cell.live_jobs() > 0 && cell.elapsed() < limit)
        cell.run(1s);
    LONGS_EQUAL(0, cell.live_jobs());
    LONGS_EQUAL(0, cell.overcommitted());
    LONGS_EQUAL(0, cell.incomplete_gang_members());
    LONGS_EQUAL(0, cell.refused_starts());
    CHECK_COMPARE(to_ms(cell.max_avoidable_wait()), <=, to_ms(avoidable_wait_limit));
}

} // namespace

TEST_GROUP(backlog){};

// Incident LOST: after all VMs lost power, accepted gangs waited forever although workers were
// free.
TEST(backlog, gangs_left_by_a_power_loss_are_drained)
{
    simulated_cell cell({});
    cell.add_backlog(plans, 200);
    check_drained(cell, 60s);
}

TEST(backlog, mixed_jobs_left_by_a_power_loss_are_drained)
{
    simulated_cell cell({});
    cell.add_backlog(plans, 200);
    cell.add_backlog(matches, 250);
    cell.add_backlog(lookups, 150);
    check_drained(cell, 60s);
}

TEST(backlog, single_tasks_left_by_a_power_loss_are_drained)
{
    simulated_cell cell({});
    cell.add_backlog(matches, 500);
    check_drained(cell, 60s);
}

TEST(backlog, gangs_are_drained_by_seven_vms_with_slow_approvals)
{
    simulated_cell cell({.m_vms = 7, .m_workers = 48});
    cell.add_backlog(narrow(plans, 6), 60);
    cell.add_backlog(narrow(matches, 10), 60);
    check_drained(cell, 60s);
}

TEST(backlog, gangs_are_drained_when_tickets_lapse_sooner_than_a_call_is_answered)
{
    auto brief = plans;
    brief.m_queue.m_approval.m_valid_ms = 700;
    simulated_cell cell({});
    cell.add_backlog(brief, 120);
    check_drained(cell, 60s);
}

TEST(backlog, gangs_are_drained_in_a_cell_of_980_workers)
{
    simulated_cell cell({.m_vms = 300, .m_workers = 980});
    cell.add_backlog(plans, 400);
    check_drained(cell, 60s);
}

// Incident LOST: tickets lapsed on their way to a leader short of processor time, which then sent
// thousands of start orders with lapsed tickets.
TEST(backlog, no_start_is_refused_when_approvals_reach_the_leader_late)
{
    simulated_cell cell({.m_approval_lag = 1200ms});
    cell.add_backlog(plans, 40);
    cell.add_backlog(matches, 150);
    cell.add_backlog(lookups, 150);
    check_drained(cell, 60s);
}
