#include <algorithm>
#include <utility>

#include "cell/support/stub_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

const task_key only_task{job_id("job"), 0, 0, 0};

/// A job of an earlier leader with a single step.
recovered_state stored_job(step_spec step)
{
    const queue_rules queue{.m_name = queue_id("queue"), .m_service = service_id("pool")};
    job_request request;
    request.m_steps.push_back(std::move(step));
    recovered_state found;
    found.m_jobs.push_back(
        {{std::string(job_table), "job"}, 1, pack(job_record{queue, request, 0})});
    return found;
}

const worker_state& known(const stub_cell& cell, int number)
{
    return cell.m_coordinator.workers().at(stub_cell::name(number));
}

/// Answers the renewal that waits at a worker.
void answer_renewal(stub_cell& cell, int number, worker_report report)
{
    report.m_clock_ms = to_ms(cell.m_now.time_since_epoch());
    report.m_started_at = std::max<std::uint64_t>(report.m_started_at, 1);
    cell.feed(renewal_answered{stub_cell::name(number), known(cell, number).m_renewal_sent_at,
                               std::move(report)});
    check_runs(cell.m_coordinator);
}

ended_task end_of(std::uint64_t number, std::uint64_t run, end_kind kind)
{
    return {.m_number = number, .m_task = only_task, .m_run = run, .m_end_kind = kind};
}

std::string state_of(const stub_cell& cell)
{
    return std::string(cell.m_coordinator.state_of(job_id("job")));
}

} // namespace

TEST_GROUP(missing_run){};

// Found by reading after incident LOST: the first run made room for the second, but the task still
// named it, so that the run which was left was stopped and the task was started once more.
TEST(missing_run, a_task_of_two_runs_at_a_worker_goes_on_with_the_later_one)
{
    stub_cell cell(stored_job({.m_size = {.m_millicores = 1000}}));
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_silent = true;
    cell.list(1);
    answer_renewal(
        cell, 0,
        {.m_running = {{.m_task = only_task, .m_run = 1}, {.m_task = only_task, .m_run = 2}}});
    worker.m_running[only_task] = 2;
    worker.m_ended = {end_of(++worker.m_last_end, 1, end_kind::stopped)};
    answer_renewal(cell, 0,
                   {.m_running = {{.m_task = only_task, .m_run = 2}}, .m_ended = worker.m_ended});
    worker.m_silent = false;
    cell.run(100ms);
    LONGS_EQUAL(0, cell.started("job"));
    cell.end("job", end_kind::done);
    cell.run(100ms);
    STRCMP_EQUAL("completed", state_of(cell).c_str());
}

// The same, but the later run had ended.
TEST(missing_run, a_task_whose_later_run_ended_goes_on_with_the_earlier_one)
{
    stub_cell cell(stored_job({.m_size = {.m_millicores = 1000}}));
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_running[only_task] = 1;
    worker.m_ended = {end_of(++worker.m_last_end, 2, end_kind::lapsed)};
    cell.list(1);
    cell.run(100ms);
    LONGS_EQUAL(0, cell.started("job"));
    cell.end("job", end_kind::done);
    cell.run(100ms);
    STRCMP_EQUAL("completed", state_of(cell).c_str());
}

// A former leader, cut off from its successor, started the task on a worker that the successor
// reached only after it had started the task elsewhere. A third start overwrote that run, whose
// room stayed counted as used: a task that needs the whole worker never ran.
TEST(missing_run, a_task_starts_on_a_worker_only_after_its_earlier_run_there_has_ended)
{
    constexpr std::uint64_t former_run = 5;
    stub_cell cell(stored_job({.m_size = {.m_millicores = 1000}}));
    cell.m_workers[stub_cell::name(1)].m_silent = true;
    cell.list(2);
    cell.run(10s); // The leases of the former leader are over.
    LONGS_EQUAL(1, cell.started("job"));
    answer_renewal(cell, 1, {.m_running = {{.m_task = only_task, .m_run = former_run}}});
    cell.m_listed.front().m_leaving = true; // Only worker 1 accepts tasks.
    cell.feed(workers_listed{cell.m_listed});
    cell.end("job", end_kind::failed);
    cell.run(300ms);
    LONGS_EQUAL(1, cell.started("job"));
    answer_renewal(cell, 1, {.m_ended = {end_of(1, former_run, end_kind::stopped)}});
    cell.m_workers[stub_cell::name(1)].m_silent = false;
    cell.run(300ms);
    LONGS_EQUAL(2, cell.started("job"));
    answer_renewal(
        cell, 1,
        {.m_ended = {end_of(2, known(cell, 1).m_placements.at(only_task).m_run, end_kind::done)}});
    cell.submit("whole", {.m_size = {.m_millicores = 4000}});
    cell.run(10s);
    LONGS_EQUAL(1, cell.started("whole"));
}

// The answers of two renewals were computed within the same millisecond of the worker's clock, and
// the older one, without the run's end, arrived last.
TEST(missing_run, a_run_reported_after_its_end_is_restarted)
{
    stub_cell cell;
    cell.list(1);
    cell.submit("job", {.m_size = {.m_millicores = 1000}, .m_long_running = true});
    cell.run(100ms);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    const auto run = worker.m_running.at(only_task);
    worker.m_silent = true;
    cell.run(50ms);
    worker.m_running.clear();
    answer_renewal(cell, 0, {.m_ended = {end_of(++worker.m_last_end, run, end_kind::failed)}});
    answer_renewal(cell, 0,
                   {.m_running = {{.m_task = only_task, .m_run = run, .m_progress_percent = 100}}});
    worker.m_silent = false;
    cell.run(10s);
    LONGS_EQUAL(2, cell.started("job"));
}

// The worker restarted while the store was writing the effects of its ends. The number that was
// then acknowledged belonged to its former life, so that it forgot an end of its new life unseen.
TEST(missing_run, a_restarted_worker_reports_its_ends_until_they_are_stored)
{
    constexpr std::uint64_t former_ends = 57;
    stub_cell cell;
    cell.list(1);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_last_end = former_ends - 1;
    cell.submit("former", {.m_size = {.m_millicores = 1000}});
    cell.run(100ms);
    cell.end("former", end_kind::done);
    while (known(cell, 0).m_ends_seen != former_ends)
        cell.run(10ms);
    CHECK(known(cell, 0).m_ends_stored != former_ends);
    worker = {.m_started_at = 2};
    answer_renewal(cell, 0, {.m_started_at = 2});
    cell.submit("job", {.m_size = {.m_millicores = 1000}});
    cell.run(100ms);
    cell.end("job", end_kind::done);
    cell.run(5s);
    LONGS_EQUAL(1, cell.started("job"));
    STRCMP_EQUAL("completed", state_of(cell).c_str());
}

// A renewal sent to the worker's former address, where another process answers by now, was answered
// after the worker had been listed at its new one.
TEST(missing_run, a_worker_at_a_new_address_is_kept_when_its_former_address_answers_late)
{
    stub_cell cell;
    cell.list(1);
    cell.submit("job", {.m_size = {.m_millicores = 1000}});
    cell.run(100ms);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_silent = true;
    cell.run(50ms); // A renewal waits at the former address.
    const auto sent = known(cell, 0).m_renewal_sent_at;
    worker = {.m_started_at = 2};
    cell.m_listed.front().m_address = endpoint{"10.0.0.2", 80};
    cell.feed(workers_listed{cell.m_listed});
    cell.run(50ms);
    cell.feed(
        renewal_answered{stub_cell::name(0), sent, fail(verdict::not_run, reason::not_found, "")});
    cell.feed(workers_listed{cell.m_listed});
    cell.run(20s);
    LONGS_EQUAL(2, cell.started("job"));
}
