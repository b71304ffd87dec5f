#include "cell/support/stub_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

const approval_cost advice{50, 1, 2500};

} // namespace

TEST_GROUP(stall){};

// The approved workers would be enough if empty, but long-running tasks occupy them.
TEST(stall, a_gang_requests_approval_of_free_workers_if_approved_ones_run_long_running_tasks)
{
    stub_cell cell;
    cell.list(60, 20);
    cell.submit("gang", {.m_count = 4, .m_size = {.m_millicores = 3500}, .m_gang = true},
                {.m_priority = 1, .m_approval = advice});
    cell.run(30ms); // The first approval call was made.
    CHECK(cell.m_calls > 0);
    const auto named = cell.m_max_named;
    // Before the answer, long-running tasks of higher priority take all workers but ten.
    cell.submit("service", {.m_count = 50,
                            .m_size = {.m_millicores = 2000},
                            .m_max_per_worker = 1,
                            .m_long_running = true});
    cell.run(20s);
    LONGS_EQUAL(50, cell.started("service"));
    CHECK(named < 60);
    LONGS_EQUAL(4, cell.started("gang"));
}

// The same if the approved workers are leaving.
TEST(stall, a_gang_requests_approval_of_free_workers_while_approved_ones_leave)
{
    stub_cell cell;
    cell.list(60);
    std::set<worker_id> known;
    cell.m_approves = [&](const worker_id& id)
    {
        known.insert(id);
        return true;
    };
    cell.submit("gang", {.m_count = 4, .m_size = {.m_millicores = 3500}, .m_gang = true},
                {.m_priority = 1, .m_approval = advice});
    cell.run(30ms);
    CHECK(known.size() >= 6 && known.size() < 50);
    for (auto& info : cell.m_listed)
        info.m_leaving = known.count(info.m_id) != 0;
    cell.feed(workers_listed{cell.m_listed});
    cell.run(5s);
    LONGS_EQUAL(4, cell.started("gang"));
}

// Of a large site: a gang of 128 whose 133 approved workers were busy waited for their room for 40
// s, as the 100 free workers that one call can name wouldn't have held the rest of it.
TEST(stall, a_wide_gang_requests_approval_of_free_workers_that_take_more_than_one_call)
{
    stub_cell cell;
    cell.list(100);
    int number = 0;
    cell.m_approves = [&](const worker_id&) { return number++ % 3 == 0; };
    cell.submit("base", {.m_count = 100, .m_size = {.m_millicores = 3500}, .m_max_per_worker = 1});
    cell.run(200ms);
    LONGS_EQUAL(100, cell.started("base"));
    // When empty, its 33 approved workers would hold it more than three times.
    cell.submit("gang", {.m_count = 40, .m_size = {.m_millicores = 1000}, .m_gang = true},
                {.m_priority = 1, .m_approval = advice});
    cell.run(1s);
    for (int i = 100; i < 400; ++i)
        cell.m_listed.push_back({.m_id = stub_cell::name(i),
                                 .m_service = service_id("pool"),
                                 .m_address = endpoint{"10.0.0.1", 80},
                                 .m_capacity = {.m_millicores = 1500, .m_memory_mb = 4000}});
    cell.feed(workers_listed{cell.m_listed});
    cell.run(10s);
    LONGS_EQUAL(40, cell.started("gang"));
}

// Long-running tasks leave too little capacity for the gang, so workers must not stay drained for
// it.
TEST(stall, workers_drained_for_a_gang_that_cannot_fit_run_other_tasks)
{
    stub_cell cell;
    cell.list(8, 4);
    cell.submit("service", {.m_count = 4,
                            .m_size = {.m_millicores = 1000},
                            .m_label = "special",
                            .m_max_per_worker = 1,
                            .m_long_running = true});
    cell.run(200ms);
    LONGS_EQUAL(4, cell.started("service"));
    cell.submit(
        "gang",
        {.m_count = 4, .m_size = {.m_millicores = 3500}, .m_gang = true, .m_label = "special"});
    cell.run(200ms);
    cell.submit("small", {.m_count = 4, .m_size = {.m_millicores = 1000}, .m_label = "special"});
    cell.run(30s);
    LONGS_EQUAL(4, cell.started("small"));
}

// The wall clock jumps forward and back again. The occurrence became due during the jump, and the
// next event of its job must not remove it from the ready steps.
TEST(stall, an_occurrence_is_not_lost_when_the_clock_steps_back)
{
    stub_cell cell;
    cell.list(2);
    job_request request;
    request.m_steps.push_back({.m_size = {.m_millicores = 1000}});
    request.m_steps.push_back({.m_size = {.m_millicores = 1000}, .m_depends_on = {0}});
    request.m_occurrences = 1;
    request.m_first_due_ms = cell.m_unix_ms + 2000;
    cell.submit("timed", request);
    cell.run(100ms);
    cell.m_unix_ms += 4000;
    cell.run(100ms);
    LONGS_EQUAL(1, cell.started("timed"));
    cell.m_unix_ms -= 4000;
    cell.run(10ms);
    cell.end("timed", end_kind::done);
    cell.run(20s);
    LONGS_EQUAL(2, cell.started("timed"));
}

// A single lost answer of an idle worker closed it until its idle renewal 10 s later.
TEST(stall, a_lost_answer_of_an_idle_worker_is_retried_soon)
{
    stub_cell cell;
    cell.list(1);
    cell.feed(renewal_answered{stub_cell::name(0), cell.m_now,
                               fail(verdict::may_have_run, reason::timeout, "")});
    cell.submit("next", {.m_size = {.m_millicores = 1000}});
    cell.run(4s);
    LONGS_EQUAL(1, cell.started("next"));
}

// Another process answered at the worker's old address; then the worker is listed at a new one.
TEST(stall, a_replaced_worker_is_used_when_listed_at_a_new_address)
{
    stub_cell cell;
    cell.list(1);
    cell.feed(renewal_answered{stub_cell::name(0), cell.m_now,
                               fail(verdict::not_run, reason::not_found, "")});
    cell.m_listed.front().m_address = endpoint{"10.0.0.2", 80};
    cell.feed(workers_listed{cell.m_listed});
    cell.submit("next", {.m_size = {.m_millicores = 1000}});
    cell.run(20s);
    LONGS_EQUAL(1, cell.started("next"));
}

// The step's tickets lapse before they can be used. It must not claim the capacity again in
// the same pass.
TEST(stall, a_step_whose_tickets_always_lapse_does_not_block_steps_before_it)
{
    stub_cell cell;
    cell.m_valid_ms = 200;
    cell.list(1);
    cell.submit("lapsing", {.m_size = {.m_millicores = 3000}, .m_expected_ms = 60000},
                {.m_priority = 1, .m_approval = {50, 1, 200}});
    cell.run(500ms);
    cell.submit("plain", {.m_size = {.m_millicores = 3000}}, {.m_priority = 1});
    cell.run(10s);
    CHECK(cell.started("plain") + cell.started("lapsing") > 0);
}

// Members of an earlier run still exist, so the gang can't start and must not claim capacity or
// request tickets.
TEST(stall, a_gang_that_is_still_being_stopped_claims_no_capacity)
{
    recovered_state found;
    job_request request;
    request.m_steps.push_back({.m_count = 2, .m_size = {.m_millicores = 3000}, .m_gang = true});
    queue_rules queue{
        .m_name = queue_id("queue"), .m_service = service_id("pool"), .m_approval = advice};
    found.m_jobs.push_back(
        {{std::string(job_table), "gang"}, 1, pack(job_record{queue, request, 0})});
    stub_cell cell(std::move(found));
    cell.m_workers[stub_cell::name(0)].m_running[{job_id("gang"), 0, 0, 0}] = 5;
    cell.list(2);
    cell.run(300ms); // A member was adopted.
    cell.submit("plain", {.m_size = {.m_millicores = 3000}});
    cell.run(4s);
    LONGS_EQUAL(1, cell.started("plain"));
}

TEST(stall, a_gang_that_is_still_being_stopped_requests_no_tickets)
{
    recovered_state found;
    job_request request;
    request.m_steps.push_back({.m_count = 2, .m_size = {.m_millicores = 3000}, .m_gang = true});
    queue_rules queue{
        .m_name = queue_id("queue"), .m_service = service_id("pool"), .m_approval = advice};
    found.m_jobs.push_back(
        {{std::string(job_table), "gang"}, 1, pack(job_record{queue, request, 0})});
    stub_cell cell(std::move(found));
    cell.m_workers[stub_cell::name(0)].m_running[{job_id("gang"), 0, 0, 0}] = 5;
    cell.list(2);
    cell.run(4s);
    CHECK_COMPARE(cell.m_calls, <=, 2);
}

// The gang needs 150 workers, a call names at most 100, and the first call's tickets lapse before
// the second is answered.
TEST(stall, a_gang_of_more_workers_than_one_call_names_gets_its_tickets)
{
    stub_cell cell;
    cell.list(200);
    cell.set_vm_count(10);
    cell.m_valid_ms = 1500;
    cell.submit("wide", {.m_count = 150, .m_size = {.m_millicores = 3500}, .m_gang = true},
                {.m_approval = {572, 8.06, 1500}});
    cell.run(30s);
    LONGS_EQUAL(150, cell.started("wide"));
}

// The same with the ticket validity of the large sites.
TEST(stall, a_gang_of_more_workers_than_one_call_names_starts_with_usual_tickets)
{
    stub_cell cell;
    cell.list(200);
    cell.set_vm_count(10);
    cell.submit("wide", {.m_count = 150, .m_size = {.m_millicores = 3500}, .m_gang = true},
                {.m_approval = {572, 8.06, 2500}});
    cell.run(30s);
    LONGS_EQUAL(150, cell.started("wide"));
}

// Three members fit on an empty worker, but only one is allowed there: one worker must be drained
// per member.
TEST(stall, enough_workers_are_drained_for_a_gang_of_one_member_per_worker)
{
    stub_cell cell;
    cell.list(8);
    cell.submit("base", {.m_count = 8, .m_size = {.m_millicores = 3500}, .m_max_per_worker = 1});
    cell.run(200ms);
    LONGS_EQUAL(8, cell.started("base"));
    cell.submit(
        "gang",
        {.m_count = 4, .m_size = {.m_millicores = 1000}, .m_gang = true, .m_max_per_worker = 1});
    cell.run(200ms);
    std::size_t closed = 0;
    for (const auto& [id, worker] : cell.m_coordinator.workers())
        closed += worker.m_pass.m_closed ? 1 : 0;
    LONGS_EQUAL(4, closed);
}

// Capacity claimed for tasks that have started meanwhile must not be counted twice.
TEST(stall, capacity_claimed_for_started_tasks_is_released)
{
    stub_cell cell;
    cell.list(2);
    cell.submit("base", {.m_count = 1, .m_size = {.m_millicores = 4000}});
    cell.run(200ms);
    cell.submit("step", {.m_count = 6, .m_size = {.m_millicores = 1000}},
                {.m_priority = 1, .m_approval = {400, 1, 2500}});
    for (int i = 0; i < 300; ++i)
    {
        cell.run(10ms);
        if (i == 100)
            cell.end("base", end_kind::done);
        for (const auto& [id, worker] : cell.m_coordinator.workers())
            CHECK((worker.free() - worker.m_claimed).m_millicores >= 0);
    }
}

// If slower calls accepted longer waits, they would keep the only VM from short urgent ones.
TEST(stall, short_urgent_calls_are_not_starved_by_long_ones)
{
    stub_cell cell;
    cell.list(60);
    for (int i = 0; i < 60; ++i)
        cell.submit("dear-" + std::to_string(i), {.m_size = {.m_millicores = 1000}},
                    {.m_priority = 2, .m_approval = {572, 8.06, 2500}});
    cell.run(300ms);
    cell.submit("cheap", {.m_size = {.m_millicores = 1000}}, {.m_approval = {9.36, 0.13, 2500}});
    cell.run(6s);
    LONGS_EQUAL(1, cell.started("cheap"));
}

// The same with the VMs of a large site, where both kinds are long calls.
TEST(stall, medium_urgent_calls_are_not_starved_by_long_ones)
{
    stub_cell cell;
    cell.list(60);
    cell.set_vm_count(35);
    for (int i = 0; i < 1000; ++i)
        cell.submit("dear-" + std::to_string(i), {.m_size = {.m_millicores = 10}},
                    {.m_priority = 2, .m_approval = {572, 8.06, 2500}});
    cell.run(1500ms);
    cell.submit("urgent", {.m_count = 20, .m_size = {.m_millicores = 3000}},
                {.m_priority = 0, .m_approval = {130, 1.82, 2500}});
    cell.run(6s);
    LONGS_EQUAL(20, cell.started("urgent"));
}
