#include "cell/support/prompt_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

const approval_cost advice{50, 1, 2500};

} // namespace

TEST_GROUP(stall){};

// Enough workers would be approved were they empty, but lasting tasks keep them.
TEST(stall, a_gang_asks_about_free_workers_once_approved_ones_are_taken_for_good)
{
    prompt_cell cell;
    cell.list(60, 20);
    cell.submit("gang", {.m_count = 4, .m_size = {.m_millicores = 3500}, .m_gang = true},
                {.m_priority = 1, .m_approval = advice});
    cell.run(30ms); // it has asked about the first workers
    CHECK(cell.m_calls > 0);
    const auto named = cell.m_most_named;
    // Before the answer lasting tasks of a more urgent queue take all workers but ten.
    cell.submit("service", {.m_count = 50,
                            .m_size = {.m_millicores = 2000},
                            .m_max_per_worker = 1,
                            .m_long_running = true});
    cell.run(20s);
    LONGS_EQUAL(50, cell.started("service"));
    CHECK(named < 60);
    LONGS_EQUAL(4, cell.started("gang"));
}

// The same, where the approved workers leave.
TEST(stall, a_gang_asks_about_free_workers_while_approved_ones_leave)
{
    prompt_cell cell;
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

// A gang for which lasting tasks leave too little room drains workers that it can never have.
TEST(stall, workers_drained_for_a_gang_that_cant_fit_serve_others)
{
    prompt_cell cell;
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

// The clock of the machine steps forward and back: the occurrence's turn is taken at the step, and
// what was ready is dropped by the next event of its job.
TEST(stall, an_occurrence_is_not_lost_when_the_clock_steps_back)
{
    prompt_cell cell;
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

// One lost answer of an idle worker closes it until its idle renewal, 10 s later.
TEST(stall, an_idle_worker_that_missed_one_answer_is_asked_again_soon)
{
    prompt_cell cell;
    cell.list(1);
    cell.feed(renewal_answered{prompt_cell::name(0), cell.m_now,
                               fail(verdict::may_have_run, reason::timeout, "")});
    cell.submit("next", {.m_size = {.m_millicores = 1000}});
    cell.run(4s);
    LONGS_EQUAL(1, cell.started("next"));
}

// Another process answered at a worker's old address; then the worker is listed at a new one.
TEST(stall, a_worker_taken_for_gone_is_used_when_listed_at_a_new_address)
{
    prompt_cell cell;
    cell.list(1);
    cell.feed(renewal_answered{prompt_cell::name(0), cell.m_now,
                               fail(verdict::not_run, reason::not_found, "")});
    cell.m_listed.front().m_address = endpoint{"10.0.0.2", 80};
    cell.feed(workers_listed{cell.m_listed});
    cell.submit("next", {.m_size = {.m_millicores = 1000}});
    cell.run(20s);
    LONGS_EQUAL(1, cell.started("next"));
}

// A step whose tickets lapse before they can be used claims the room again in the same visit.
TEST(stall, a_step_whose_tickets_always_lapse_doesnt_keep_room_from_those_before_it)
{
    prompt_cell cell;
    cell.m_valid_ms = 200;
    cell.list(1);
    cell.submit("lapsing", {.m_size = {.m_millicores = 3000}, .m_expected_ms = 60000},
                {.m_priority = 1, .m_approval = {50, 1, 200}});
    cell.run(500ms);
    cell.submit("plain", {.m_size = {.m_millicores = 3000}}, {.m_priority = 1});
    cell.run(10s);
    CHECK(cell.started("plain") + cell.started("lapsing") > 0);
}

// Members of an earlier run are still there: the gang can't start, and needn't keep room or ask.
TEST(stall, a_gang_that_is_still_being_stopped_keeps_no_room)
{
    recovered_state found;
    job_request request;
    request.m_steps.push_back({.m_count = 2, .m_size = {.m_millicores = 3000}, .m_gang = true});
    queue_rules queue{
        .m_name = queue_id("queue"), .m_service = service_id("pool"), .m_approval = advice};
    found.m_jobs.push_back(
        {{std::string(job_table), "gang"}, 1, pack(job_record{queue, request, 0})});
    prompt_cell cell(std::move(found));
    cell.m_workers[prompt_cell::name(0)].m_running[{job_id("gang"), 0, 0, 0}] = 5;
    cell.list(2);
    cell.run(300ms); // a member was adopted
    cell.submit("plain", {.m_size = {.m_millicores = 3000}});
    cell.run(4s);
    LONGS_EQUAL(1, cell.started("plain"));
}

TEST(stall, a_gang_that_is_still_being_stopped_asks_for_no_tickets)
{
    recovered_state found;
    job_request request;
    request.m_steps.push_back({.m_count = 2, .m_size = {.m_millicores = 3000}, .m_gang = true});
    queue_rules queue{
        .m_name = queue_id("queue"), .m_service = service_id("pool"), .m_approval = advice};
    found.m_jobs.push_back(
        {{std::string(job_table), "gang"}, 1, pack(job_record{queue, request, 0})});
    prompt_cell cell(std::move(found));
    cell.m_workers[prompt_cell::name(0)].m_running[{job_id("gang"), 0, 0, 0}] = 5;
    cell.list(2);
    cell.run(4s);
    CHECK_COMPARE(cell.m_calls, <=, 2);
}

// 150 workers are needed, a call names 100 at most, and a second one outlasts the first's tickets.
TEST(stall, a_gang_of_more_workers_than_one_call_names_gets_its_tickets)
{
    prompt_cell cell;
    cell.list(200);
    cell.have_vms(10);
    cell.m_valid_ms = 1500;
    cell.submit("wide", {.m_count = 150, .m_size = {.m_millicores = 3500}, .m_gang = true},
                {.m_approval = {572, 8.06, 1500}});
    cell.run(30s);
    LONGS_EQUAL(150, cell.started("wide"));
}

// The same with the validity of the large sites.
TEST(stall, a_gang_of_more_workers_than_one_call_names_starts_with_usual_tickets)
{
    prompt_cell cell;
    cell.list(200);
    cell.have_vms(10);
    cell.submit("wide", {.m_count = 150, .m_size = {.m_millicores = 3500}, .m_gang = true},
                {.m_approval = {572, 8.06, 2500}});
    cell.run(30s);
    LONGS_EQUAL(150, cell.started("wide"));
}

// Three members fit on an empty worker, but one is allowed: as many workers must be drained as the
// gang has members.
TEST(stall, a_gang_of_one_member_per_worker_is_kept_enough_workers)
{
    prompt_cell cell;
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

// Places kept for tasks that have started meanwhile aren't counted twice.
TEST(stall, places_of_started_tasks_arent_kept_any_more)
{
    prompt_cell cell;
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
            CHECK((worker.free() - worker.m_pass.m_reserved).m_millicores >= 0);
    }
}

// Calls that accept a longer wait the dearer they are would keep the only VM from cheap urgent
// ones.
TEST(stall, cheap_urgent_calls_arent_shut_out_by_dear_ones)
{
    prompt_cell cell;
    cell.list(60);
    for (int i = 0; i < 60; ++i)
        cell.submit("dear-" + std::to_string(i), {.m_size = {.m_millicores = 1000}},
                    {.m_priority = 2, .m_approval = {572, 8.06, 2500}});
    cell.run(300ms);
    cell.submit("cheap", {.m_size = {.m_millicores = 1000}}, {.m_approval = {9.36, 0.13, 2500}});
    cell.run(6s);
    LONGS_EQUAL(1, cell.started("cheap"));
}

// The same with as many VMs as the large sites have, where both are long calls.
TEST(stall, middling_urgent_calls_arent_shut_out_by_dear_ones)
{
    prompt_cell cell;
    cell.list(60);
    cell.have_vms(35);
    for (int i = 0; i < 1000; ++i)
        cell.submit("dear-" + std::to_string(i), {.m_size = {.m_millicores = 10}},
                    {.m_priority = 2, .m_approval = {572, 8.06, 2500}});
    cell.run(1500ms);
    cell.submit("urgent", {.m_count = 20, .m_size = {.m_millicores = 3000}},
                {.m_priority = 0, .m_approval = {130, 1.82, 2500}});
    cell.run(6s);
    LONGS_EQUAL(20, cell.started("urgent"));
}
