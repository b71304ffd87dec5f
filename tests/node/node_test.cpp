#include <string>
#include <vector>

#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

std::string job_name(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

void check_no_violations(const cell_world& world)
{
    for (const auto& text : world.m_checker.m_violations)
        FAIL(text.c_str());
}

} // namespace

TEST_GROUP(node){};

TEST(node, a_job_runs_from_its_submission_to_its_end)
{
    cell_world world({});
    world.run(3s);
    CHECK_FALSE(world.leader().empty());
    world.submit("vm1", job_name(1), {{}});
    world.run(200ms);
    CHECK_TRUE(world.m_submissions[job_name(1)].m_accepted);
    world.run(2s);
    STRCMP_EQUAL("completed", world.state("vm2", job_name(1)).c_str());
    STRCMP_EQUAL("410", world.state("vm2", job_name(2)).c_str());
    check_no_violations(world);
}

TEST(node, steps_wait_for_the_steps_before_them)
{
    cell_world world({});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_gang_size = 3}, {.m_gang_size = 2, .m_depends_on = {0}}});
    world.run(3s);
    STRCMP_EQUAL("completed", world.state("vm0", job_name(1)).c_str());
    check_no_violations(world);
}

// Gangs queue on a full cell: each must request tickets for the capacity reserved for it.
TEST(node, gangs_that_fill_their_workers_start_one_after_another)
{
    cell_world world({.m_workers = 6});
    world.run(3s);
    for (int i = 0; i < 8; ++i)
        world.submit("vm0", job_name(i),
                     {{.m_cpu = 6300, .m_run_time = 1s, .m_gang = true, .m_gang_size = 4}});
    world.run(40s);
    LONGS_EQUAL(8, world.completed());
    check_no_violations(world);
}

TEST(node, a_job_that_fails_too_often_is_shown_as_failed)
{
    cell_world world({});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_always_fails = true}});
    world.run(5s);
    STRCMP_EQUAL("failed", world.state("vm1", job_name(1)).c_str());
    check_no_violations(world);
}

TEST(node, every_vm_stays_ready_during_a_store_outage)
{
    cell_world world({});
    world.run(3s);
    world.rows().m_faults.m_down = true;
    world.run(4s);
    for (const auto* vm : {"vm0", "vm1", "vm2"})
        CHECK_TRUE(world.find(vm)->ready());
}

// A third of the writes are applied without an answer. Callers' latency objectives are about 1 s.
TEST(node, lost_answers_of_the_store_delay_no_submission)
{
    cell_world world({});
    world.run(3s);
    world.rows().m_faults.m_lost_reply_rate = 0.33;
    for (int i = 0; i < 40; ++i)
    {
        world.submit(world.leader(), job_name(i), {{}});
        world.run(1s);
        CHECK_TRUE(world.m_submissions[job_name(i)].m_accepted);
    }
    check_no_violations(world);
}

TEST(node, tasks_of_a_worker_that_dies_run_on_others)
{
    cell_world world({});
    world.run(3s);
    for (int i = 0; i < 8; ++i)
        world.submit("vm0", job_name(i), {{.m_cpu = 6000, .m_run_time = 3s}});
    world.run(1s);
    world.at(1).crash("w1.again");
    world.run(20s);
    LONGS_EQUAL(8, world.completed());
    check_no_violations(world);
}

TEST(node, stalled_tasks_are_moved_to_other_workers)
{
    cell_world world({});
    world.run(3s);
    world.at(0).m_faults.m_hangs = true;
    for (int i = 0; i < 12; ++i)
        world.submit("vm0", job_name(i), {{.m_cpu = 5000, .m_run_time = 1s}});
    world.run(12s);
    LONGS_EQUAL(12, world.completed());
    check_no_violations(world);
}

TEST(node, a_member_that_waits_for_its_gang_is_not_treated_as_stalled)
{
    cell_world world({});
    world.run(3s);
    world.submit("vm0", job_name(1),
                 {{.m_run_time = 8s, .m_member_run_time = 1s, .m_gang = true, .m_gang_size = 3}});
    world.run(11s);
    LONGS_EQUAL(1, world.completed());
    for (const auto& [task, starts] : world.m_checker.m_starts)
        LONGS_EQUAL(1, starts);
}

TEST(node, an_unreachable_worker_ends_its_tasks_before_others_run_them)
{
    cell_world world({});
    world.run(3s);
    for (int i = 0; i < 8; ++i)
        world.submit("vm0", job_name(i), {{.m_cpu = 6000, .m_run_time = 9s}});
    world.run(1s);
    for (const auto* vm : {"vm0", "vm1", "vm2"})
        world.cut(vm, cell_world::address_of(2));
    world.run(30s);
    LONGS_EQUAL(8, world.completed());
    check_no_violations(world);
}

TEST(node, submissions_are_rejected_at_once_during_a_store_outage)
{
    cell_world world({});
    world.run(3s);
    world.rows().m_faults.m_down = true;
    world.run(2s);
    world.submit("vm0", job_name(1), {{}});
    world.run(50ms);
    LONGS_EQUAL(503, world.m_submissions[job_name(1)].m_status);
    CHECK_FALSE(world.m_submissions[job_name(1)].m_retry_after.empty());
    world.rows().m_faults.m_down = false;
    world.run(10s);
    LONGS_EQUAL(0, world.completed());
    check_no_violations(world);
}

TEST(node, running_tasks_continue_during_a_store_outage)
{
    cell_world world({});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_run_time = 5s}});
    world.run(1s);
    world.rows().m_faults.m_down = true;
    world.run(6s);
    LONGS_EQUAL(1, world.completed());
    world.rows().m_faults.m_down = false;
    world.run(2s);
    STRCMP_EQUAL("completed", world.state("vm1", job_name(1)).c_str());
    check_no_violations(world);
}

TEST(node, a_cancelled_job_stops_and_stays_cancelled)
{
    cell_world world({});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_run_time = 30s, .m_gang_size = 3}});
    world.run(1s);
    world.cancel("vm1", job_name(1));
    world.run(3s);
    STRCMP_EQUAL("cancelled", world.state("vm2", job_name(1)).c_str());
    LONGS_EQUAL(0, world.at(0).running() + world.at(1).running() + world.at(2).running() +
                       world.at(3).running());
    world.kill(world.leader());
    world.run(12s);
    STRCMP_EQUAL("cancelled", world.state(world.leader(), job_name(1)).c_str());
    check_no_violations(world);
}

// The platform refuses rows of more than 64 KB, and a transaction that is refused is sent again.
TEST(node, a_job_that_is_too_large_for_a_row_does_not_stop_the_others)
{
    cell_world world({});
    world.run(3s);
    int status = 0;
    std::string steps;
    for (int i = 0; i < 700; ++i)
        steps += R"({"count":1,"required_label":")" + std::string(100, 'x') + R"("},)";
    steps.back() = ']';
    world.send("vm0",
               {.m_method = "POST",
                .m_path = "/q/" + job_name(1),
                .m_body = R"({"specification":"","steps":[)" + steps + "}"},
               [&status](const http_response& response) { status = response.m_status; });
    world.run(500ms);
    world.submit("vm1", job_name(2), {{}});
    world.run(5s);
    CHECK_TRUE(world.m_submissions[job_name(2)].m_accepted);
    LONGS_EQUAL(400, status);
}

TEST(node, an_older_configuration_is_never_applied)
{
    cell_world world({});
    world.run(3s);
    world.set_config(9, world.queue_config(9));
    world.run(200ms);
    world.set_config(5, world.queue_config(5));
    world.run(2s);
    for (const auto* vm : {"vm0", "vm1", "vm2"})
        UNSIGNED_LONGS_EQUAL(9, world.find(vm)->config()->m_version);
}

TEST(node, a_vm_cut_off_from_the_store_gets_the_configuration_from_its_leader)
{
    cell_world world({});
    world.run(3s);
    const auto* other = world.leader() == "vm2" ? "vm1" : "vm2";
    world.cut(other, "store");
    world.run(2s);
    world.set_config(7, world.queue_config(7));
    world.run(1s);
    UNSIGNED_LONGS_EQUAL(7, world.find(other)->config()->m_version);
}
