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
