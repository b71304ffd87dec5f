#include "cell/support/advancing_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

/// A task of ten minutes with an estimate of one.
constexpr duration long_time = 600s;
step_spec long_task(int millicores = 2000)
{
    return {.m_size = {.m_millicores = millicores}, .m_expected_ms = 60000};
}

} // namespace

TEST_GROUP(stalled_tasks){};

// Review case 13: tasks of minutes were stopped each 4 s, as their percent changes each 6 s.
TEST(stalled_tasks, tasks_that_take_longer_than_estimated_run_on)
{
    advancing_cell cell(8);
    for (int i = 0; i < 8; ++i)
        cell.submit("job-" + std::to_string(i), long_time, long_task());
    cell.run(60s);
    for (int i = 0; i < 8; ++i)
    {
        CHECK_COMPARE(cell.started("job-" + std::to_string(i)), <=, 3);
        LONGS_EQUAL(1, cell.running("job-" + std::to_string(i)));
    }
    cell.run(long_time);
    for (int i = 0; i < 8; ++i)
        CHECK_TRUE(cell.completed("job-" + std::to_string(i)));
}

// The number of stops is bounded by the logarithm of a task's length, whatever the estimate.
TEST(stalled_tasks, a_task_of_hours_without_an_estimate_is_stopped_a_few_times)
{
    advancing_cell cell(2);
    cell.submit("job", 21600s, {.m_size = {.m_millicores = 2000}});
    cell.run(1800s);
    CHECK_COMPARE(cell.started("job"), <=, 8);
    LONGS_EQUAL(1, cell.running("job"));
}

// What it lists as running there never ends otherwise, as its lease is renewed.
TEST(stalled_tasks, a_worker_that_stands_still_for_good_gives_its_tasks_up)
{
    advancing_cell cell(3);
    cell.stand_still(0);
    cell.submit("job", 5s, {.m_count = 6, .m_size = {.m_millicores = 2000}, .m_expected_ms = 5000});
    cell.run(20s);
    CHECK_TRUE(cell.completed("job"));
}

// A stop loses the work since the last checkpoint, so a short standstill is waited out.
TEST(stalled_tasks, a_task_that_has_worked_for_long_waits_as_long)
{
    advancing_cell cell(2);
    cell.submit("job", 60s, {.m_size = {.m_millicores = 2000}, .m_expected_ms = 30000});
    cell.run(20s);
    const int worker = cell.running_on(0, "job") == 1 ? 0 : 1;
    cell.stand_still(worker);
    cell.run(10s);
    cell.go_on(worker);
    cell.run(45s);
    LONGS_EQUAL(1, cell.started("job"));
    CHECK_TRUE(cell.completed("job"));
}

// Tasks that advance or end on a worker show that it doesn't stand still.
TEST(stalled_tasks, a_long_task_beside_short_ones_is_not_stopped)
{
    advancing_cell cell(1);
    cell.submit("long", long_time, long_task());
    for (int i = 0; i < 60; ++i)
    {
        cell.submit("short-" + std::to_string(i), 800ms,
                    {.m_size = {.m_millicores = 1000}, .m_expected_ms = 800});
        cell.run(1s);
    }
    LONGS_EQUAL(1, cell.started("long"));
}

TEST(stalled_tasks, a_checkpointing_task_with_a_long_interval_gets_on)
{
    advancing_cell cell(2);
    auto step = long_task();
    step.m_checkpoints = true;
    cell.submit("job", long_time, step, 15s);
    cell.run(long_time + 60s);
    CHECK_COMPARE(cell.started("job"), <=, 3);
    CHECK_TRUE(cell.completed("job"));
}

// The estimate says nothing of the time that a gang takes across racks.
TEST(stalled_tasks, a_far_gang_that_takes_longer_than_estimated_runs_on)
{
    advancing_cell cell(4);
    auto step = long_task();
    step.m_count = 4;
    step.m_gang = true;
    cell.submit("gang", long_time, step);
    cell.run(60s);
    CHECK_COMPARE(cell.started("gang"), <=, 3 * 4);
    LONGS_EQUAL(4, cell.running("gang"));
    cell.run(long_time);
    CHECK_TRUE(cell.completed("gang"));
}

// A successor has no less patience: otherwise each leader begins with the shortest wait.
TEST(stalled_tasks, leaders_in_series_stop_a_long_task_no_more_often)
{
    advancing_cell cell(2);
    cell.submit("job", 21600s, {.m_size = {.m_millicores = 2000}});
    for (int leader = 0; leader < 10; ++leader)
    {
        cell.run(30s);
        cell.change_leader();
    }
    cell.run(600s);
    CHECK_COMPARE(cell.started("job"), <=, 8);
    LONGS_EQUAL(1, cell.running("job"));
}

TEST(stalled_tasks, a_takeover_does_not_put_a_stop_off_for_ever)
{
    advancing_cell cell(2);
    cell.submit("job", 5s, {.m_size = {.m_millicores = 2000}, .m_expected_ms = 5000});
    cell.run(100ms);
    const int worker = cell.running_on(0, "job") == 1 ? 0 : 1;
    cell.stand_still(worker);
    for (int leader = 0; leader < 3; ++leader)
    {
        cell.run(2s);
        cell.change_leader();
    }
    cell.run(15s);
    CHECK_TRUE(cell.completed("job"));
}

// Several changes of the percent fall into one report.
TEST(stalled_tasks, late_reports_are_no_standstill)
{
    advancing_cell cell(2);
    cell.submit("job", 60s, {.m_size = {.m_millicores = 2000}, .m_expected_ms = 10000});
    for (int i = 0; i < 12; ++i)
    {
        cell.leader().m_holds_renewals = true;
        cell.run(2s);
        cell.leader().m_holds_renewals = false;
        cell.run(3s);
    }
    cell.run(2s);
    LONGS_EQUAL(1, cell.started("job"));
    CHECK_TRUE(cell.completed("job"));
}
