#include <string>

#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

const std::string job = "0000000000000001";
const std::string first_task = job + ".0.0.0";
const std::string second_task = job + ".0.1.0";

/// The platform expects an accepted job that fits on free workers to run within this time.
constexpr duration finish_time = 14s;

/// Submits a job whose second step starts only after the first, and makes a worker silent that
/// never ran any of its tasks.
void submit_beside_silent_worker(cell_world& world)
{
    world.run(3s);
    world.submit("vm1", job, {{.m_run_time = 500ms}, {.m_run_time = 200ms, .m_depends_on = {0}}});
    world.run(300ms);
    const auto& hosts = world.m_checker.m_running[first_task];
    LONGS_EQUAL(1, static_cast<long>(hosts.size()));
    const int silent = *hosts.begin() == world.at(0).id() ? 1 : 0;
    world.at(silent).m_faults.m_unreachable = true;
}

/// Replaces the leader at every interval, until the second step starts; returns how long it took.
duration change_leaders(cell_world& world, duration interval, duration away, bool killed)
{
    constexpr duration step = 100ms;
    constexpr duration give_up_after = 60s;
    std::string former;
    duration waited{};
    for (; waited < give_up_after && world.m_checker.m_starts[second_task] == 0; waited += step)
    {
        if (waited % interval == duration{})
        {
            former = world.leader();
            CHECK_FALSE(former.empty());
            killed ? world.kill(former) : world.freeze(former, true);
        }
        if (waited % interval == away)
            killed ? world.start(former) : world.freeze(former, false);
        world.run(step);
    }
    return waited;
}

void check_no_violations(const cell_world& world)
{
    for (const auto& text : world.m_checker.m_violations)
        FAIL(text.c_str());
}

} // namespace

TEST_GROUP(restored_jobs){};

// Incident LOST: each leader waited anew for leases that might last on the silent worker.
TEST(restored_jobs, start_beside_a_silent_worker_although_leaders_freeze_again_and_again)
{
    cell_world world({.m_approvals = false});
    submit_beside_silent_worker(world);
    const auto waited = change_leaders(world, 9s, 3s, false);
    CHECK_COMPARE(to_ms(waited), <=, to_ms(finish_time));
    check_no_violations(world);
}

TEST(restored_jobs, start_beside_a_silent_worker_although_leaders_restart_again_and_again)
{
    cell_world world({.m_approvals = false});
    submit_beside_silent_worker(world);
    const auto waited = change_leaders(world, 4s, 500ms, true);
    CHECK_COMPARE(to_ms(waited), <=, to_ms(finish_time));
    check_no_violations(world);
}
