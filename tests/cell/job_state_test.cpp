#include "dragonflygap/cell/job_state.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

/// Two scheduled steps; the second depends on the first.
job_state make_job(int occurrences, int width)
{
    job_record record;
    record.m_request.m_occurrences = occurrences;
    record.m_request.m_interval_ms = 1000;
    record.m_request.m_steps.push_back({.m_count = width});
    record.m_request.m_steps.push_back({.m_count = 1, .m_depends_on = {0}});
    return {job_id("job"), record};
}

} // namespace

TEST_GROUP(job_state){};

TEST(job_state, a_later_leader_restores_the_progress)
{
    auto job = make_job(3, 4);
    job.set_step_done(0, 0);
    job.set_done({job.id(), 0, 1, 0});
    job.set_done({job.id(), 1, 0, 2});
    job.find({job.id(), 1, 0, 3})->m_checkpoint = "saved";
    job.find({job.id(), 1, 0, 1})->m_failed_runs = {7, 9};

    auto later = make_job(3, 4);
    later.restore(*unpack<progress_record>(pack(job.progress())));
    LONGS_EQUAL(4, later.step(0, 0).m_done);
    LONGS_EQUAL(1, later.step(0, 1).m_done);
    LONGS_EQUAL(1, later.step(1, 0).m_done);
    LONGS_EQUAL(3, later.step(1, 0).m_waiting);
    LONGS_EQUAL(4, later.step(2, 0).m_waiting);
    STRCMP_EQUAL("saved", later.find({job.id(), 1, 0, 3})->m_checkpoint.c_str());
    LONGS_EQUAL(2, later.find({job.id(), 1, 0, 1})->m_failed_runs.size());
    CHECK_FALSE(later.all_done());
}

TEST(job_state, a_job_is_done_when_every_occurrence_is_done)
{
    auto job = make_job(2, 1);
    for (int k = 0; k < 2; ++k)
    {
        CHECK_FALSE(job.all_done());
        job.set_step_done(k, 0);
        job.set_step_done(k, 1);
        job.set_step_done(k, 1); // Reported again.
    }
    CHECK_TRUE(job.all_done());
}

// A row holds 64 KiB, and the progress of a long schedule of wide steps has to fit.
TEST(job_state, the_progress_of_a_long_schedule_stays_small)
{
    constexpr int occurrences = 1000;
    constexpr std::size_t row_bytes = 65536;
    auto job = make_job(occurrences, 30);
    for (int k = 0; k + 1 < occurrences; ++k)
    {
        job.set_step_done(k, 0);
        job.set_step_done(k, 1);
    }
    CHECK_TRUE(pack(job.progress()).size() < row_bytes);
}

// Without it, a schedule that repeats each minute stops its cell after four days: the store refuses
// the row, and with it every transaction of the leader.
TEST(job_state, the_progress_of_the_longest_schedule_fits_in_a_row)
{
    constexpr int occurrences = 100000;
    constexpr std::size_t row_bytes = 65536;
    auto job = make_job(occurrences, 1);
    for (int k = 0; k + 1 < occurrences; ++k)
    {
        job.set_step_done(k, 0);
        job.set_step_done(k, 1);
    }
    job.set_step_done(occurrences - 1, 0);
    const auto stored = pack(job.progress());
    CHECK_COMPARE(stored.size(), <, row_bytes);
    auto later = make_job(occurrences, 1);
    later.restore(*unpack<progress_record>(stored));
    for (int k = 0; k < occurrences; ++k)
    {
        LONGS_EQUAL(1, later.step(k, 0).m_done);
        LONGS_EQUAL(k + 1 < occurrences ? 1 : 0, later.step(k, 1).m_done);
    }
}

TEST(job_state, the_progress_of_a_wide_step_fits_in_a_row)
{
    constexpr int width = 10000;
    constexpr std::size_t row_bytes = 65536;
    auto job = make_job(1, width);
    for (int i = 0; i < width; ++i)
        if (i % 10 != 0)
            job.set_done({job.id(), 0, 0, i});
    job.find({job.id(), 0, 0, 20})->m_checkpoint = "saved";
    job.find({job.id(), 0, 0, 21})->m_failed_runs = {7};
    const auto stored = pack(job.progress());
    CHECK_COMPARE(stored.size(), <, row_bytes);
    auto later = make_job(1, width);
    later.restore(*unpack<progress_record>(stored));
    LONGS_EQUAL(job.step(0, 0).m_done, later.step(0, 0).m_done);
    for (int i = 0; i < width; ++i)
        CHECK_EQUAL(i % 10 != 0, later.find({job.id(), 0, 0, i})->m_status == task_status::done);
    STRCMP_EQUAL("saved", later.find({job.id(), 0, 0, 20})->m_checkpoint.c_str());
    LONGS_EQUAL(1, later.find({job.id(), 0, 0, 21})->m_failed_runs.size());
}

// Otherwise each leader stops a long task with a short estimate as often as the one before.
TEST(job_state, a_later_leader_knows_at_least_as_many_stops_of_a_task_that_stood_still)
{
    auto job = make_job(2, 3);
    job.step(1, 0).m_tasks[2].m_stalls = 4;
    auto later = make_job(2, 3);
    later.restore(*unpack<progress_record>(pack(job.progress())));
    LONGS_EQUAL(0, later.step(0, 0).stalls(2));
    LONGS_EQUAL(4, later.step(1, 0).stalls(2));
    ++later.step(1, 0).m_tasks[2].m_stalls;
    auto last = make_job(2, 3);
    last.restore(*unpack<progress_record>(pack(later.progress())));
    LONGS_EQUAL(5, last.step(1, 0).stalls(2));
}

TEST(job_state, progress_that_does_not_fit_the_job_is_ignored)
{
    progress_record progress;
    progress.m_tasks.push_back({9, 0, task_progress::whole_step, true, {}, {}});
    progress.m_tasks.push_back({0, 9, task_progress::whole_step, true, {}, {}});
    progress.m_tasks.push_back({0, 0, 99, true, {}, {}});
    progress.m_done.push_back({.m_step = 9, .m_last_occurrence = 9});
    progress.m_done.push_back({.m_step = 0, .m_first_occurrence = 5, .m_last_occurrence = 1000});
    progress.m_done.push_back({.m_step = 0, .m_first_index = 5, .m_last_index = 1000});
    progress.m_stalls.push_back({9, 0, 1});
    progress.m_stalls.push_back({0, 9, 1});
    progress.m_stalls.push_back({0, 0, -1});
    auto job = make_job(1, 2);
    job.restore(progress);
    LONGS_EQUAL(2, job.step(0, 0).m_waiting);
    LONGS_EQUAL(0, job.step(0, 0).stalls(0));
}
