#include "cell/support/stub_cell.hpp"

using namespace simulated;

namespace
{

step_spec wide_step(int tasks)
{
    return {.m_count = tasks,
            .m_size = {.m_millicores = 1},
            .m_expected_ms = 90000,
            .m_checkpoints = true};
}

int answers(const stub_cell& cell, call_status status)
{
    return static_cast<int>(std::count_if(cell.m_answered.begin(), cell.m_answered.end(),
                                          [status](const answer_call& answer)
                                          { return answer.m_status == status; }));
}

std::string state(const stub_cell& cell, const std::string& id)
{
    return std::string(cell.m_coordinator.state_of(job_id(id)));
}

std::function<bool(const transaction&)> refuse_progress_of(const std::string& id)
{
    return [id](const transaction& change)
    {
        return std::any_of(change.m_writes.begin(), change.m_writes.end(),
                           [&id](const transaction::write& write) {
                               return write.m_row.m_table == progress_table &&
                                      write.m_row.m_key == id;
                           });
    };
}

} // namespace

TEST_GROUP(rejected_commits){};

// Review case 2: the leader sent a transaction with a row that is too large again and again, so
// nothing of the whole cell was stored while the tasks ran.
TEST(rejected_commits, a_wide_step_of_checkpoints_is_stored_with_all_others)
{
    constexpr int tasks = 3000;
    stub_cell cell;
    cell.list(1);
    cell.m_workers[stub_cell::name(0)].m_checkpoint = "00000bb87a21d94b";
    cell.submit("wide", wide_step(tasks));
    cell.submit("other", step_spec{.m_size = {.m_millicores = 100}, .m_expected_ms = 100000});
    cell.run(3s);
    LONGS_EQUAL(tasks, cell.started("wide"));
    cell.end("wide", end_kind::done, 30);
    cell.run(1s);
    LONGS_EQUAL(0, cell.m_rejected_commits);
    cell.submit("late", step_spec{.m_size = {.m_millicores = 100}});
    cell.feed(job_cancelled{1000, job_id("other")});
    cell.run(1s);
    LONGS_EQUAL(4, answers(cell, call_status::accepted));
    STRCMP_EQUAL("cancelled", state(cell, "other").c_str());
    recovered_state found{.m_self = {.m_epoch = 3, .m_vm = vm_id("vm")}};
    for (const auto& [name, value] : cell.m_rows)
        if (name.m_table == job_table)
            found.m_jobs.push_back({name, 1, value});
        else if (name.m_table == progress_table)
            found.m_progress.push_back({name, 1, value});
    stub_cell next(found);
    const auto& step = next.m_coordinator.find_job(job_id("wide"))->step(0, 0);
    LONGS_EQUAL(30, step.m_done);
    LONGS_EQUAL(tasks - 30,
                std::count_if(step.m_tasks.begin(), step.m_tasks.end(),
                              [](const task_state& task) { return !task.m_checkpoint.empty(); }));
    // No row of an ended job stays.
    cell.feed(job_cancelled{1001, job_id("wide")});
    cell.run(1s);
    for (const auto& [name, value] : cell.m_rows)
        CHECK_FALSE(name.m_table == progress_table && name.m_key.starts_with("wide"));
}

TEST(rejected_commits, a_job_that_cannot_be_stored_stops_no_other)
{
    constexpr int others = 40;
    stub_cell cell;
    cell.list(4);
    cell.submit("job-20-refused", wide_step(3));
    cell.run(200ms);
    cell.m_refuses = refuse_progress_of("job-20-refused");
    for (int i = 10; i < 10 + others; ++i)
        cell.submit("job-" + std::to_string(i),
                    step_spec{.m_count = 2, .m_size = {.m_millicores = 100}});
    cell.run(200ms);
    LONGS_EQUAL(1 + others, answers(cell, call_status::accepted));
    cell.end("job-20-refused", end_kind::done, 1);
    for (int i = 10; i < 10 + others; ++i)
        cell.end("job-" + std::to_string(i), end_kind::done);
    cell.run(1500ms);
    for (int i = 10; i < 10 + others; ++i)
        STRCMP_EQUAL("completed", state(cell, "job-" + std::to_string(i)).c_str());
    STRCMP_EQUAL("running", state(cell, "job-20-refused").c_str());
    // Its ends can't be kept, so it fails, and its callers learn that.
    cell.run(30s);
    STRCMP_EQUAL("failed", state(cell, "job-20-refused").c_str());
    for (const auto& [id, worker] : cell.m_workers)
        LONGS_EQUAL(0, worker.m_running.size());
    cell.submit("last", step_spec{.m_size = {.m_millicores = 100}});
    cell.run(200ms);
    LONGS_EQUAL(1, cell.started("last"));
}

// Checkpoints save work that can be done again.
TEST(rejected_commits, a_job_goes_on_without_checkpoints_that_are_refused)
{
    stub_cell cell;
    cell.list(1);
    cell.m_workers[stub_cell::name(0)].m_checkpoint = "saved";
    cell.submit("job", wide_step(3));
    cell.run(2500ms);
    cell.m_refuses = [](const transaction& change)
    {
        return std::any_of(change.m_writes.begin(), change.m_writes.end(),
                           [](const transaction::write& write)
                           { return write.m_value.find("saved") != std::string::npos; });
    };
    cell.end("job", end_kind::done, 1);
    cell.run(500ms);
    LONGS_EQUAL(1, cell.m_rejected_commits);
    cell.end("job", end_kind::done);
    cell.run(500ms);
    STRCMP_EQUAL("completed", state(cell, "job").c_str());
}

TEST(rejected_commits, a_submission_that_cannot_be_stored_is_rejected)
{
    stub_cell cell;
    cell.list(1);
    cell.m_refuses = [](const transaction& change)
    {
        return std::any_of(change.m_writes.begin(), change.m_writes.end(),
                           [](const transaction::write& write)
                           { return write.m_row.m_key == "refused"; });
    };
    for (const auto* id : {"a", "refused", "z"})
        cell.submit(id, step_spec{.m_size = {.m_millicores = 100}});
    cell.run(500ms);
    LONGS_EQUAL(1, answers(cell, call_status::rejected));
    LONGS_EQUAL(2, answers(cell, call_status::accepted));
    LONGS_EQUAL(0, cell.started("refused"));
    LONGS_EQUAL(1, cell.started("z"));
}

// A refusal of the leader's own row says nothing about a job.
TEST(rejected_commits, no_job_fails_while_the_store_refuses_everything)
{
    stub_cell cell;
    cell.list(1);
    cell.submit("job", wide_step(3));
    cell.run(300ms);
    cell.m_refuses = [](const transaction&) { return true; };
    cell.end("job", end_kind::done, 1);
    cell.run(20s);
    STRCMP_EQUAL("running", state(cell, "job").c_str());
    cell.m_refuses = {};
    cell.run(10s);
    cell.end("job", end_kind::done);
    cell.run(1s);
    STRCMP_EQUAL("completed", state(cell, "job").c_str());
}

// About 30 bytes a worker.
TEST(rejected_commits, the_list_of_a_large_cell_is_stored)
{
    constexpr int workers = 5000;
    stub_cell cell;
    cell.list(workers);
    cell.run(500ms);
    cell.submit("job", step_spec{.m_size = {.m_millicores = 100}});
    cell.run(500ms);
    LONGS_EQUAL(1, cell.started("job"));
    LONGS_EQUAL(0, cell.m_rejected_commits);
}
