#include "cell/support/stub_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

TEST_GROUP(stop_failure){};

TEST(stop_failure, failed_stops_and_the_time_that_a_run_has_been_stopping_are_reported)
{
    stub_cell cell;
    cell.list(1);
    cell.m_workers[stub_cell::name(0)].m_orders_fail = true;
    cell.submit("job", {.m_size = {.m_millicores = 1000}});
    cell.run(2s);
    const auto& state = cell.m_coordinator;
    CHECK_COMPARE(state.counts().m_stops_failed, >=, 2);
    const auto pass = state.report_waits(8, 4).m_pass;
    LONGS_EQUAL(1, pass.m_runs_stopping);
    CHECK_COMPARE(to_ms(pass.m_longest_stop), >=, 1500);
}

// A task whose start got no answer waited for an acknowledged stop for ever, as the worker counted
// as healthy while its renewals were answered.
TEST(stop_failure, a_task_starts_elsewhere_if_stops_never_reach_its_worker)
{
    stub_cell cell;
    cell.list(2);
    auto& broken = cell.m_workers[stub_cell::name(0)];
    broken.m_orders_fail = true;
    cell.submit("job", {.m_count = 8, .m_size = {.m_millicores = 500}});
    const worker_options options;
    cell.run(options.m_lease_duration + options.m_stop_failure_timeout + 2s);
    LONGS_EQUAL(8, cell.started("job"));
}

TEST(stop_failure, a_gang_starts_elsewhere_if_stops_never_reach_one_of_its_workers)
{
    stub_cell cell;
    cell.list(4);
    cell.m_workers[stub_cell::name(0)].m_orders_fail = true;
    cell.submit("gang", {.m_count = 4, .m_size = {.m_millicores = 2000}, .m_gang = true});
    const worker_options options;
    cell.run(options.m_lease_duration + options.m_stop_failure_timeout + 2s);
    const auto waits = cell.m_coordinator.report_waits(8, 4);
    LONGS_EQUAL(0, waits.m_pass.m_steps_waiting);
}

// The connection of a renewal that waits at the worker may be the only one left for a stop.
TEST(stop_failure, renewals_do_not_wait_at_a_worker_that_stops_do_not_reach)
{
    stub_cell cell;
    cell.list(1);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_orders_fail = true;
    cell.submit("job", {.m_size = {.m_millicores = 500}});
    cell.run(1s);
    const int waiting = worker.m_long_polls;
    const int renewals = cell.m_renewals;
    cell.run(2s);
    LONGS_EQUAL(waiting, worker.m_long_polls);
    // The worker answers at once, so an interval keeps the renewals apart.
    CHECK_COMPARE(cell.m_renewals - renewals, <=, 20);
}

TEST(stop_failure, a_worker_that_stops_do_not_reach_gets_no_tasks_until_one_is_answered)
{
    stub_cell cell;
    cell.list(1);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_orders_fail = true;
    cell.submit("first", {.m_size = {.m_millicores = 500}});
    cell.run(3s);
    cell.submit("second", {.m_size = {.m_millicores = 500}});
    cell.run(3s);
    LONGS_EQUAL(1, cell.m_coordinator.report_waits(8, 4).m_pass.m_runs_unknown);
    worker.m_orders_fail = false;
    cell.run(5s);
    LONGS_EQUAL(1, cell.started("first"));
    LONGS_EQUAL(1, cell.started("second"));
}

// Stops failed long ago, and the run ended otherwise. The next failure must not end the lease at
// once.
TEST(stop_failure, earlier_failures_do_not_count_for_a_later_stop)
{
    stub_cell cell;
    cell.list(1);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_orders_fail = true;
    cell.submit("first", {.m_size = {.m_millicores = 500}});
    cell.run(1s);
    CHECK_COMPARE(cell.m_coordinator.counts().m_stops_failed, >, 0);
    // The order is executed late.
    constexpr std::uint64_t first_run = 1000001;
    worker.m_running[{job_id("first"), 0, 0, 0}] = first_run;
    cell.end("first", end_kind::done);
    cell.run(20s);
    cell.submit("second", {.m_size = {.m_millicores = 500}});
    cell.run(500ms);
    LONGS_EQUAL(1, cell.m_coordinator.report_waits(8, 4).m_pass.m_runs_unknown);
    const int leases = worker.m_leases;
    cell.run(1s);
    CHECK_COMPARE(worker.m_leases, >, leases);
}

// The task is tried on one of them after the other. The platform expects a job that fits to run
// within 14 s.
TEST(stop_failure, a_task_starts_in_time_beside_two_workers_that_stops_do_not_reach)
{
    constexpr duration finish_time = 14s;
    stub_cell cell;
    cell.list(3);
    cell.m_workers[stub_cell::name(0)].m_orders_fail = true;
    cell.m_workers[stub_cell::name(1)].m_orders_fail = true;
    cell.submit("job", {.m_size = {.m_millicores = 500}});
    cell.run(finish_time);
    LONGS_EQUAL(1, cell.started("job"));
}
