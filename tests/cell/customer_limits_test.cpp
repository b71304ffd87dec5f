#include "cell/support/customer_cell.hpp"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

constexpr approval_cost advice{50, 1, 2500};
constexpr std::int64_t no_limit = 0;

/// In which a job is to start if its customer uses less than half of its limit.
constexpr duration start_time = 3s;

int waiting_for_limit(const stub_cell& cell)
{
    int result = 0;
    for (const auto& wait : cell.m_coordinator.report_waits(1000, 0).m_steps)
        result += wait.m_cause == waiting_cause::customer_limit ? 1 : 0;
    return result;
}

} // namespace

TEST_GROUP(customer_limits){};

TEST(customer_limits, tasks_of_a_customer_run_up_to_its_limit)
{
    customer_cell cell(5);
    cell.set_limits({{"acme", 5000}, {"open", no_limit}});
    cell.submit_tasks("acme", 12, 1000);
    cell.submit_tasks("open", 11, 1000);
    cell.run(500ms);
    LONGS_EQUAL(5, cell.jobs_running("acme"));
    LONGS_EQUAL(11, cell.jobs_running("open"));
    LONGS_EQUAL(7, waiting_for_limit(cell.leader()));
    cell.end_all("acme");
    cell.run(500ms);
    LONGS_EQUAL(5, cell.jobs_running("acme"));
    cell.end_all("acme");
    cell.run(500ms);
    LONGS_EQUAL(2, cell.jobs_running("acme"));
}

// Held steps that only a regular visit notices would leave a customer's limit unused for as long.
TEST(customer_limits, a_step_is_woken_when_its_customer_uses_less_or_gets_a_higher_limit)
{
    customer_cell cell(5);
    cell.set_limits({{"acme", 5000}});
    cell.submit_tasks("acme", 20, 1000);
    cell.run(500ms);
    LONGS_EQUAL(5, cell.jobs_running("acme"));
    cell.end("acme", 2);
    cell.run(50ms);
    LONGS_EQUAL(5, cell.jobs_running("acme"));
    cell.set_limits({{"acme", 8000}});
    cell.run(30ms);
    LONGS_EQUAL(8, cell.jobs_running("acme"));
}

// Several steps with one limit may start tasks in the same pass, or after calls made before.
TEST(customer_limits, hold_where_steps_need_approval)
{
    customer_cell cell(8);
    cell.set_limits({{"acme", 5000}});
    for (int i = 0; i < 6; ++i)
        cell.submit("acme", "wide-" + std::to_string(i),
                    {.m_count = 4, .m_size = {.m_millicores = 1000}}, {.m_approval = advice});
    for (int i = 0; i < 6; ++i)
    {
        cell.run(3s);
        LONGS_EQUAL(i < 4 ? 5000 : 4000, cell.used("acme"));
        cell.end_all("acme");
        if (i == 4)
            break;
    }
}

// A task that is counted only once it runs would let others start beside it.
TEST(customer_limits, hold_while_start_orders_are_on_their_way)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 3000}});
    cell.leader().m_holds_starts = true;
    cell.submit_tasks("acme", 10, 1000);
    cell.run(1s);
    LONGS_EQUAL(3, cell.leader().m_held_starts.size());
    cell.leader().m_holds_starts = false;
    cell.run(1s);
    LONGS_EQUAL(3, cell.jobs_running("acme"));
}

TEST(customer_limits, hold_while_runs_are_being_stopped)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 4000}});
    cell.submit("acme", "first", {.m_count = 4, .m_size = {.m_millicores = 1000}});
    cell.run(200ms);
    LONGS_EQUAL(4, cell.running("first"));
    for (int i = 0; i < 4; ++i)
        cell.worker(i).m_orders_fail = true;
    cell.leader().feed(job_cancelled{1000, job_id("first")});
    cell.submit("acme", "second", {.m_count = 4, .m_size = {.m_millicores = 1000}});
    cell.run(2s);
    LONGS_EQUAL(4, cell.running("first"));
    LONGS_EQUAL(0, cell.running("second"));
    for (int i = 0; i < 4; ++i)
        cell.worker(i).m_orders_fail = false;
    cell.run(3s);
    LONGS_EQUAL(0, cell.running("first"));
    LONGS_EQUAL(4, cell.running("second"));
}

// An order without an answer may have been carried out.
TEST(customer_limits, hold_beside_runs_of_unknown_outcome)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 3000}});
    auto& leader = cell.leader();
    leader.m_intercepts_start = [&](const send_start& order) -> std::optional<outcome<start_result>>
    {
        if (order.m_order.m_task.m_job != job_id("lost"))
            return std::nullopt;
        auto& worker = leader.m_workers[order.m_worker.m_id];
        worker.m_running[order.m_order.m_task] = order.m_order.m_run;
        worker.m_orders_fail = true;
        return outcome<start_result>(stub_cell::no_answer());
    };
    cell.submit("acme", "lost", {.m_size = {.m_millicores = 2000}});
    cell.run(200ms);
    LONGS_EQUAL(1, cell.running("lost"));
    cell.submit_tasks("acme", 4, 1000);
    cell.run(1s);
    LONGS_EQUAL(1, cell.jobs_running("acme") - cell.running("lost"));
}

TEST(customer_limits, a_task_larger_than_the_limit_runs_alone)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 2000}});
    cell.submit_tasks("acme", 3, 3500);
    for (int i = 0; i < 3; ++i)
    {
        cell.run(500ms);
        LONGS_EQUAL(1, cell.jobs_running("acme"));
        cell.end_all("acme");
    }
}

TEST(customer_limits, a_step_starts_as_many_tasks_as_there_is_room_for)
{
    customer_cell cell(16);
    cell.set_limits({{"acme", 3000}});
    cell.submit("acme", "wide", {.m_count = 20, .m_size = {.m_millicores = 1000}},
                {.m_approval = advice});
    cell.run(2s);
    LONGS_EQUAL(3, cell.running("wide"));
    // It asks for the three, not for all 20, and not again while the limit holds it back.
    CHECK_COMPARE(cell.leader().m_max_named, <=, 8);
    const auto calls = cell.leader().m_calls;
    cell.run(3s);
    LONGS_EQUAL(calls, cell.leader().m_calls);
    cell.end_all("acme");
    cell.run(2s);
    LONGS_EQUAL(3, cell.running("wide"));
}

// Without the wait behind it, a gang would never find its part of the limit free.
TEST(customer_limits, small_tasks_do_not_starve_a_gang_of_their_customer)
{
    customer_cell cell(8);
    cell.set_limits({{"acme", 10000}});
    cell.submit_tasks("acme", 10, 1000);
    cell.run(500ms);
    cell.submit("acme", "gang",
                {.m_count = 5, .m_size = {.m_millicores = 1000}, .m_gang = true});
    int late = 0;
    for (int i = 0; i < 40 && cell.running("gang") == 0; ++i)
    {
        // Each 100 ms one task ends and two are submitted.
        cell.leader().end("acme-" + std::to_string(i % 10), end_kind::done);
        for (int k = 0; k < 2; ++k)
            cell.submit("acme", "late-" + std::to_string(++late),
                        {.m_size = {.m_millicores = 1000}});
        cell.run(100ms);
    }
    LONGS_EQUAL(5, cell.running("gang"));
    CHECK_COMPARE(late, <=, 12);
}

// The gang needs almost the whole limit, which other tasks use a third of for long.
TEST(customer_limits, a_customer_that_uses_less_than_half_starts_a_job_in_time)
{
    for (const auto& approval : {approval_cost{}, advice})
    {
        customer_cell cell(8);
        cell.set_limits({{"acme", 10000}});
        const queue_rules queue{.m_approval = approval};
        cell.submit_tasks("acme", 3, 1000, queue);
        cell.run(1s);
        LONGS_EQUAL(3, cell.jobs_running("acme"));
        cell.submit("acme", "gang",
                    {.m_count = 9, .m_size = {.m_millicores = 1000}, .m_gang = true}, queue);
        cell.run(100ms);
        cell.submit("acme", "small", {.m_size = {.m_millicores = 1000}}, queue);
        cell.run(start_time - 100ms);
        LONGS_EQUAL(1, cell.running("small"));
        LONGS_EQUAL(0, cell.running("gang"));
    }
}

// Claims of steps that wait for approval hold back others only while something else runs.
TEST(customer_limits, an_approval_that_is_never_given_keeps_no_other_step_waiting)
{
    customer_cell cell(8);
    cell.leader().m_approves = [](const worker_id& id) { return id != stub_cell::name(0); };
    cell.set_limits({{"acme", 6000}});
    for (int i = 0; i < 4; ++i)
        cell.submit("acme", "unsuited-" + std::to_string(i),
                    {.m_count = 30, .m_size = {.m_millicores = 1000}, .m_label = "special"},
                    {.m_approval = advice});
    cell.submit("acme", "small", {.m_size = {.m_millicores = 1000}}, {.m_approval = advice});
    cell.run(start_time);
    LONGS_EQUAL(1, cell.running("small"));
}

// Steps beyond their customer's limit ask for nothing and keep nothing.
TEST(customer_limits, a_backlog_at_its_limit_does_not_make_other_customers_wait)
{
    customer_cell cell(16);
    cell.set_limits({{"acme", 4000}, {"other", no_limit}});
    for (int i = 0; i < 400; ++i)
        cell.submit("acme", "acme-" + std::to_string(i),
                    {.m_count = 2, .m_size = {.m_millicores = 1000}, .m_gang = i % 4 == 0},
                    {.m_approval = advice});
    cell.run(5s);
    LONGS_EQUAL(4000, cell.used("acme"));
    const auto calls = cell.leader().m_calls;
    cell.run(3s);
    LONGS_EQUAL(calls, cell.leader().m_calls);
    const auto pass = cell.leader().m_coordinator.report_waits(0, 0).m_pass;
    LONGS_EQUAL(0, pass.m_workers_closed);
    LONGS_EQUAL(0, pass.m_millicores_reserved);
    cell.submit("other", "gang", {.m_count = 40, .m_size = {.m_millicores = 1000}, .m_gang = true},
                {.m_approval = advice});
    cell.run(1s);
    LONGS_EQUAL(40, cell.running("gang"));
}

TEST(customer_limits, nothing_starts_above_a_limit_that_was_lowered_and_nothing_is_stopped)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 8000}});
    cell.submit_tasks("acme", 20, 1000);
    cell.run(500ms);
    LONGS_EQUAL(8, cell.jobs_running("acme"));
    cell.set_limits({{"acme", 3000}});
    for (int i = 7; i >= 3; --i)
    {
        cell.end("acme", 1);
        cell.run(500ms);
        LONGS_EQUAL(i, cell.jobs_running("acme"));
    }
    cell.end("acme", 1);
    cell.run(500ms);
    LONGS_EQUAL(3, cell.jobs_running("acme"));
    cell.set_limits({{"acme", 5000}});
    cell.run(500ms);
    LONGS_EQUAL(5, cell.jobs_running("acme"));
}

// A gang that was accepted before doesn't keep the customer's other jobs waiting for ever.
TEST(customer_limits, a_gang_above_a_limit_that_was_lowered_keeps_no_others_waiting)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 8000}});
    cell.submit_tasks("acme", 4, 1000);
    cell.run(200ms);
    cell.submit("acme", "gang", {.m_count = 8, .m_size = {.m_millicores = 1000}, .m_gang = true});
    cell.run(100ms);
    cell.set_limits({{"acme", 5000}});
    cell.submit("acme", "small", {.m_size = {.m_millicores = 1000}});
    cell.run(500ms);
    LONGS_EQUAL(1, cell.running("small"));
    LONGS_EQUAL(0, cell.running("gang"));
}

TEST(customer_limits, jobs_of_a_removed_customer_run_under_the_limit_stored_with_them)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 3000}, {"other", 1000}});
    cell.submit_tasks("acme", 8, 1000);
    cell.run(100ms);
    cell.set_limits({{"other", 1000}});
    cell.end_all("acme");
    cell.run(500ms);
    LONGS_EQUAL(3, cell.jobs_running("acme"));
    cell.end_all("acme");
    cell.run(100ms);
    // The next leader has never known the customer.
    cell.change_leader();
    cell.send_config();
    cell.list();
    cell.run(1s);
    LONGS_EQUAL(2, cell.jobs_running("acme"));
    cell.submit("acme", "new", {.m_size = {.m_millicores = 1000}});
    LONGS_EQUAL(call_status::rejected, cell.leader().m_answered.back().m_status);
}

// A limit may rise, so the caller may come back.
TEST(customer_limits, a_gang_that_could_never_start_is_rejected)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 3000}});
    const step_spec gang{.m_count = 5, .m_size = {.m_millicores = 1000}, .m_gang = true};
    cell.submit("acme", "gang", gang);
    LONGS_EQUAL(1, cell.leader().m_answered.size());
    LONGS_EQUAL(call_status::rejected, cell.leader().m_answered.back().m_status);
    CHECK_COMPARE(cell.leader().m_answered.back().m_retry_after_ms, >, 0);
    CHECK_TRUE(cell.leader().m_coordinator.find_job(job_id("gang")) == nullptr);
    cell.set_limits({{"acme", 5000}});
    cell.submit("acme", "gang", gang);
    cell.run(500ms);
    LONGS_EQUAL(5, cell.running("gang"));
}

// Its limit isn't known, so nothing of it could be started, and no limit would be stored.
TEST(customer_limits, a_job_of_a_customer_that_the_leader_does_not_list_is_rejected)
{
    customer_cell cell(4);
    cell.submit("acme", "early", {.m_size = {.m_millicores = 1000}});
    LONGS_EQUAL(call_status::rejected, cell.leader().m_answered.back().m_status);
    CHECK_COMPARE(cell.leader().m_answered.back().m_retry_after_ms, >, 0);
    cell.set_limits({{"acme", 3000}});
    cell.submit("acme", "early", {.m_size = {.m_millicores = 1000}});
    cell.run(200ms);
    LONGS_EQUAL(1, cell.running("early"));
}
