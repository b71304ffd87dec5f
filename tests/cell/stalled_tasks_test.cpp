#include "cell/support/advancing_cell.hpp"

#include <cstdlib>
#include <iostream>
#include <random>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

/// Of the rule LOST: the longest time that a job may wait beside room.
constexpr duration max_wait = 3s;

/// A task of ten minutes with an estimate of one.
constexpr duration long_time = 600s;
step_spec long_task(int millicores = 2000)
{
    return {.m_size = {.m_millicores = millicores}, .m_expected_ms = 60000};
}

/// First and last seed, from a variable of the environment if it is set.
std::pair<unsigned, unsigned> seeds(const char* variable, unsigned first, unsigned last)
{
    if (const char* text = std::getenv(variable))
        std::istringstream(text) >> first >> last;
    return {first, last};
}

/// Jobs of one task with estimates that are wrong by up to a factor of 30, on workers of which
/// some stand still for some seconds, in series and at the same time. Under half of the workers'
/// capacity is in use. Leaders follow each other.
void run_troubled_cell(unsigned seed)
{
    constexpr int workers = 6;
    constexpr int jobs = 8;
    constexpr duration step = 100ms;
    constexpr duration troubled_time = 120s;
    constexpr duration calm_time = 1800s;
    std::mt19937 random(seed);
    const auto draw = [&random](int from, int to)
    { return std::uniform_int_distribution<int>(from, to)(random); };
    advancing_cell cell(workers);
    std::map<std::string, duration> waits; // Of jobs that aren't completed.
    for (int i = 0; i < jobs; ++i)
    {
        const int work_ms = draw(1, 10) * draw(100, 120000);
        const auto id = "job-" + std::to_string(i);
        cell.submit(
            id, std::chrono::milliseconds(work_ms),
            {.m_size = {.m_millicores = draw(500, 1500)}, .m_expected_ms = work_ms / draw(1, 30)},
            std::chrono::milliseconds(draw(0, 1) * 5000));
        waits[id] = {};
    }
    std::map<int, instant> goes_on;
    for (duration passed{}; passed < troubled_time + calm_time; passed += step)
    {
        const auto now = cell.leader().m_now;
        const bool troubled = passed < troubled_time;
        for (int i = 0; i < workers; ++i)
            if (goes_on.count(i) != 0 && (now >= goes_on[i] || !troubled))
            {
                goes_on.erase(i);
                cell.go_on(i);
            }
        if (troubled && draw(1, 40) == 1)
        {
            const int worker = draw(0, workers - 1);
            cell.stand_still(worker);
            goes_on[worker] = now + std::chrono::milliseconds(draw(500, 15000));
        }
        if (troubled && draw(1, 300) == 1)
        {
            cell.change_leader();
            goes_on.clear();
            for (int i = 0; i < workers; ++i)
                cell.go_on(i);
        }
        cell.run(step);
        std::erase_if(waits, [&](const auto& entry) { return cell.completed(entry.first); });
        for (auto& [id, wait] : waits)
        {
            wait = cell.running(id) == 0 ? wait + step : duration{};
            CHECK_COMPARE_TEXT(to_ms(wait), <=, to_ms(max_wait), id.c_str());
        }
    }
    for (const auto& [id, wait] : waits)
        FAIL(id.c_str());
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

// Review case 13: each stop closed the worker to all jobs for 5 s.
TEST(stalled_tasks, workers_on_which_tasks_stand_still_stay_open_to_other_jobs)
{
    constexpr int workers = 3;
    advancing_cell cell(workers);
    for (int i = 0; i < workers; ++i)
        cell.stand_still(i);
    for (int i = 0; i < workers; ++i)
        cell.submit("standing-" + std::to_string(i), 20s, long_task(3000));
    const auto all_stopped = [&]
    { return cell.stopped_on(0) + cell.stopped_on(1) + cell.stopped_on(2) >= workers; };
    cell.run_until(all_stopped, 10s);
    cell.submit("other", 1s, {.m_size = {.m_millicores = 1000}, .m_expected_ms = 1000});
    cell.run_until([&] { return cell.started("other") > 0; }, max_wait);
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

// A worker that has stood still is the last choice, not closed.
TEST(stalled_tasks, a_worker_that_stood_still_is_used_if_no_other_has_room)
{
    advancing_cell cell(2);
    cell.stand_still(0);
    cell.submit("first", 30s, {.m_count = 4, .m_size = {.m_millicores = 2000}});
    cell.run_until([&] { return cell.stopped_on(0) == 2; }, 10s);
    // The other one is full with two tasks.
    LONGS_EQUAL(2, cell.running_on(1, "first"));
    cell.run_until([&] { return cell.running("first") == 4; }, max_wait);
    cell.go_on(0);
    cell.run(60s);
    CHECK_TRUE(cell.completed("first"));
}

// All of them are empty, so only the standstill tells them apart.
TEST(stalled_tasks, other_workers_are_preferred_to_one_that_stood_still)
{
    advancing_cell cell(3);
    cell.stand_still(0);
    cell.submit("first", 30s, {.m_size = {.m_millicores = 2000}});
    cell.run_until([&] { return cell.stopped_on(0) == 1; }, 10s);
    cell.submit("second", 30s, {.m_size = {.m_millicores = 3000}});
    cell.run(1s);
    LONGS_EQUAL(1, cell.running("first"));
    LONGS_EQUAL(1, cell.running("second"));
    LONGS_EQUAL(0, cell.running_on(0, "first") + cell.running_on(0, "second"));
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

TEST(stalled_tasks, a_gang_with_a_worker_that_stands_still_for_good_starts_elsewhere)
{
    advancing_cell cell(6);
    cell.stand_still(0);
    cell.submit(
        "gang", 5s,
        {.m_count = 4, .m_size = {.m_millicores = 3000}, .m_expected_ms = 5000, .m_gang = true});
    cell.run(40s);
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

// Whatever stands still, each task goes on within the time of the rule LOST, and all end.
TEST(stalled_tasks, no_job_waits_beside_room_while_workers_stand_still_in_turn)
{
    const auto [first, last] = seeds("DRAGONFLYGAP_STALL_SEEDS", 1, 4);
    for (unsigned seed = first; seed <= last; ++seed)
    {
        std::cout << "seed " << seed << std::endl;
        run_troubled_cell(seed);
    }
}
