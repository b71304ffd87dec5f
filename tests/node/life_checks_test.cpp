#include <string>
#include <vector>

#include "node/support/cell_world.hpp"
#include "node/support/liveness_checker.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

const std::string job = "0000000000000001";
const std::string task = job + ".0.0.0";

/// Samples the cell for a time.
void watch(cell_world& world, liveness_checker& liveness, duration length)
{
    constexpr duration interval = 100ms;
    for (duration passed{}; passed < length; passed += interval)
    {
        world.run(interval);
        liveness.sample();
    }
}

/// A checker that knows one job of two steps, the second after the first.
class checked_job
{
public:
    checked_job()
    {
        m_checker.m_find_spec = [this](const std::string& name, int step) -> const task_spec*
        { return name == job && step < 2 ? &m_steps.at(static_cast<std::size_t>(step)) : nullptr; };
        m_checker.m_now_ms = [] { return 0; };
    }
    void check_violation(const std::string& text) const
    {
        LONGS_EQUAL(1, m_checker.m_violations.size());
        STRCMP_CONTAINS(text.c_str(), m_checker.m_violations.front().c_str());
    }

    invariant_checker m_checker;

private:
    std::vector<task_spec> m_steps{{}, {.m_depends_on = {0}}};
};

} // namespace

// Each check finds a violation that is made on purpose.
TEST_GROUP(life_checks){};

TEST(life_checks, a_step_that_never_starts_is_found)
{
    constexpr std::int64_t more_than_any_worker_has_mb = 1 << 20;
    cell_world world({});
    liveness_checker liveness(world, 14s);
    world.run(3s);
    world.submit("vm0", job, {{.m_memory_mb = more_than_any_worker_has_mb}});
    watch(world, liveness, 10s);
    CHECK_TRUE(world.m_submissions[job].m_accepted);
    CHECK_TRUE(liveness.m_violations.empty());
    LONGS_EQUAL(1, liveness.unfinished(world.now_ms()).size());
    watch(world, liveness, 10s);
    LONGS_EQUAL(1, liveness.m_violations.size());
}

TEST(life_checks, a_wait_counts_only_while_the_cell_is_sound)
{
    constexpr std::int64_t more_than_any_worker_has_mb = 1 << 20;
    cell_world world({});
    liveness_checker liveness(world, 14s);
    world.run(3s);
    world.submit("vm0", job, {{.m_memory_mb = more_than_any_worker_has_mb}});
    for (int i = 0; i < 3; ++i)
    {
        watch(world, liveness, 10s);
        world.rows().m_faults.m_response_time = 100ms;
        watch(world, liveness, 1s);
        world.rows().m_faults = {};
    }
    CHECK_TRUE(liveness.m_violations.empty());
}

TEST(life_checks, jobs_that_complete_are_not_reported)
{
    cell_world world({});
    liveness_checker liveness(world, 14s);
    world.run(3s);
    world.submit("vm0", job, {{}});
    watch(world, liveness, 20s);
    CHECK_TRUE(world.all_accepted_are_done());
    CHECK_TRUE(liveness.unfinished(world.now_ms()).empty());
    CHECK_TRUE(liveness.m_violations.empty());
}

TEST(life_checks, a_task_that_runs_twice_is_found)
{
    checked_job checked;
    checked.m_checker.started("w1", task, 1);
    checked.m_checker.started("w2", task, 2);
    checked.check_violation("runs twice");
}

TEST(life_checks, a_start_after_an_end_that_was_taken_note_of_is_found)
{
    checked_job checked;
    checked.m_checker.started("w1", task, 1);
    checked.m_checker.ended("w1", task, "done");
    checked.m_checker.acknowledged_done(task);
    checked.m_checker.started("w1", task, 2);
    checked.check_violation("runs again");
}

TEST(life_checks, a_step_before_its_turn_is_found)
{
    checked_job checked;
    checked.m_checker.started("w1", job + ".0.1.0", 1);
    checked.check_violation("runs before the end of step 0");
}

TEST(life_checks, a_start_of_a_rejected_job_is_found)
{
    checked_job checked;
    checked.m_checker.m_rejected.insert(job);
    checked.m_checker.started("w1", task, 1);
    checked.check_violation("of a rejected job");
}

TEST(life_checks, a_worker_over_its_capacity_is_found)
{
    checked_job checked;
    std::mt19937_64 random;
    worker small("w1", random, checked.m_checker, [](duration, const std::function<void()>&) {});
    small.m_cpu = 1;
    const std::string body =
        R"({"fencing_token":1,"task":")" + task + R"(","run":1,"deadline_ms":1000})";
    small.handle({.m_method = "POST",
                  .m_path = "/run-start",
                  .m_headers = {{"X-Expected-Instance", "w1"}},
                  .m_body = body},
                 [](const outcome<http_response>&) {});
    checked.check_violation("capacity of w1 exceeded");
}
