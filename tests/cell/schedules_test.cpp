#include <malloc.h>

#include "cell/support/stub_cell.hpp"

using namespace simulated;

namespace
{

constexpr int minutes_per_month = 43200;
constexpr std::int64_t minute_ms = 60000;

job_request schedule(int occurrences, std::int64_t first_due_ms, std::int64_t interval_ms)
{
    job_request request;
    request.m_steps.push_back({.m_size = {.m_millicores = 500}, .m_expected_ms = 500});
    request.m_occurrences = occurrences;
    request.m_first_due_ms = first_due_ms;
    request.m_interval_ms = interval_ms;
    return request;
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

int answers(const stub_cell& cell, call_status status)
{
    return static_cast<int>(std::count_if(cell.m_answered.begin(), cell.m_answered.end(),
                                          [status](const answer_call& answer)
                                          { return answer.m_status == status; }));
}

/// What the next leader reads of the jobs.
recovered_state state_after(const stub_cell& leader)
{
    recovered_state found{.m_self = {.m_epoch = 3, .m_vm = vm_id("vm")},
                          .m_predecessor_gone = true};
    for (const auto& [name, value] : leader.m_rows)
        if (name.m_table == job_table)
            found.m_jobs.push_back({name, 1, value});
        else if (name.m_table == progress_table)
            found.m_progress.push_back({name, 1, value});
    return found;
}

/// Lets a job run for some tenths of a second. Then the wall clock is set back, so that no other
/// occurrence begins while the last ones end.
void serve(stub_cell& cell, int tenths)
{
    cell.list(2);
    for (int i = 0; i < tenths; ++i)
    {
        cell.run(100ms);
        cell.end("job", end_kind::done);
    }
    const auto unix_ms = cell.m_unix_ms;
    for (int i = 0; i < 2; ++i)
    {
        cell.m_unix_ms = 0;
        cell.run(200ms);
        cell.end("job", end_kind::done);
    }
    cell.run(200ms);
    cell.m_unix_ms = unix_ms;
}

} // namespace

TEST_GROUP(schedules){};

// Review case 1: each occurrence of a schedule had a state from the beginning, so that 17 ordinary
// schedules were over the memory of the leader, and of each successor.
TEST(schedules, of_a_month_cost_a_leader_little_memory)
{
    constexpr int teams = 24;
    constexpr std::size_t bytes_per_job = 20000;
    const auto before = heap_bytes();
    stub_cell cell;
    cell.list(2);
    for (int i = 0; i < teams; ++i)
        cell.submit("job-" + std::to_string(i),
                    schedule(minutes_per_month, cell.m_unix_ms + minute_ms, minute_ms));
    cell.run(1s);
    LONGS_EQUAL(teams, answers(cell, call_status::accepted));
    CHECK_COMPARE(heap_bytes() - before, <, teams * bytes_per_job);
    stub_cell next(state_after(cell));
    LONGS_EQUAL(teams, next.m_coordinator.live_jobs());
    CHECK_COMPARE(heap_bytes() - before, <, 2 * teams * bytes_per_job);
}

// The state of an occurrence ends with it, so a schedule costs no more after weeks.
TEST(schedules, run_each_occurrence_once_over_leaders)
{
    constexpr int occurrences = 60;
    stub_cell first;
    first.submit("job", schedule(occurrences, first.m_unix_ms, 100));
    serve(first, 30);
    const auto* job = first.m_coordinator.find_job(job_id("job"));
    CHECK_TRUE(job != nullptr && job->open_occurrences().empty());
    stub_cell second(state_after(first));
    second.m_unix_ms = first.m_unix_ms;
    const auto* restored = second.m_coordinator.find_job(job_id("job"));
    CHECK_TRUE(restored != nullptr && restored->open_occurrences().empty());
    LONGS_EQUAL(job->next_undone(0), restored->next_undone(0));
    serve(second, 40);
    LONGS_EQUAL(occurrences, first.started("job") + second.started("job"));
    STRCMP_EQUAL("completed", std::string(second.m_coordinator.state_of(job_id("job"))).c_str());
}

// All occurrences are due at once: they begin as others end, and leave room to other jobs.
TEST(schedules, that_fall_due_at_once_leave_room_to_other_jobs)
{
    coordinator_options options;
    stub_cell cell({}, options);
    cell.list(2);
    cell.submit("burst", schedule(minutes_per_month, cell.m_unix_ms, 0));
    cell.run(100ms);
    CHECK_COMPARE(cell.m_coordinator.ready_steps(), <, options.m_max_ready_steps);
    cell.submit("urgent", schedule(1, cell.m_unix_ms, 0));
    cell.submit("small", step_spec{.m_size = {.m_millicores = 100}, .m_expected_ms = 10});
    cell.run(100ms);
    LONGS_EQUAL(3, answers(cell, call_status::accepted));
    for (int i = 0; i < 5; ++i)
    {
        cell.end("burst", end_kind::done);
        cell.run(100ms);
    }
    CHECK_TRUE(cell.started("burst") >= 16 * 5);
}

// The sum of all jobs is limited, so that every successor can hold them too.
TEST(schedules, that_do_not_fit_in_memory_are_rejected)
{
    coordinator_options options;
    options.m_memory_mb = 32;
    stub_cell cell({}, options);
    auto request = schedule(minutes_per_month, cell.m_unix_ms + minute_ms, minute_ms);
    request.m_payload = std::string(4000, 'x');
    constexpr int many = 4000;
    for (int i = 0; i < many; ++i)
        cell.submit("job-" + std::to_string(i), request);
    const auto rejected = answers(cell, call_status::rejected);
    CHECK_TRUE(rejected > 0 && rejected < many);
    CHECK_TRUE(cell.m_coordinator.memory().used() <= cell.m_coordinator.memory().limit());
    for (const auto& answer : cell.m_answered)
        CHECK_TRUE(answer.m_status != call_status::rejected || answer.m_retry_after_ms >= 2000);
    cell.run(30s);
    LONGS_EQUAL(many - rejected, answers(cell, call_status::accepted));
    stub_cell next(state_after(cell), options);
    LONGS_EQUAL(many - rejected, next.m_coordinator.live_jobs());
    CHECK_TRUE(next.m_coordinator.memory().used() <= next.m_coordinator.memory().limit());
}

// A VM with less memory may lead next.
TEST(schedules, are_accepted_by_the_memory_of_the_smallest_vm)
{
    stub_cell cell;
    const auto own = cell.m_coordinator.memory().limit();
    cell.feed(members_changed{{vm_id("vm")}, 64});
    LONGS_EQUAL(own / 4, cell.m_coordinator.memory().limit());
    cell.feed(members_changed{{vm_id("vm")}, 1024});
    LONGS_EQUAL(own, cell.m_coordinator.memory().limit());
}
