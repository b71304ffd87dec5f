#include "placement/support/job_manager_fixture.hpp"

using namespace dragonflygap;
using namespace dragonflygap::placement;
using namespace dragonflygap::placement::test;

TEST_GROUP_BASE(job_manager_recovery, job_manager_fixture){};

TEST(job_manager_recovery, a_submission_whose_reply_was_lost_is_recognised_as_stored)
{
    report_idle_workers();
    m_lose_commit_replies = true;
    submit(job_kind::batch, 1, 1000);
    CHECK(m_submission_answers.empty());
    m_lose_commit_replies = false;
    advance(1s);
    CHECK_EQUAL(1, m_submission_answers.size());
    CHECK(m_submission_answers[0].m_result.has_value());
}

TEST(job_manager_recovery, an_unconfirmed_submission_is_reported_as_possibly_stored)
{
    report_idle_workers();
    m_lose_commit_replies = true;
    submit(job_kind::batch, 1, 1000);
    advance(10s);
    CHECK(m_submission_answers.at(0).m_result.error().m_verdict == verdict::may_have_run);
}

TEST(job_manager_recovery, a_successor_adopts_running_tasks_and_starts_only_waiting_ones)
{
    report_idle_workers();
    submit(job_kind::batch, 3, 3000);
    for (const auto& start : std::vector(m_starts))
        answer_start(start, running(start));
    advance(1s);
    const auto first = m_starts;
    // The first owner is gone; its successor reads the same rows and queries the same workers.
    m_manager = job_manager({.m_data_centre = centre, .m_writer = "b.1"});
    m_starts.clear();
    own({worker_named("w1"), worker_named("w2")});
    advance(1s);
    for (const auto& start : first)
        report(start.m_worker.m_info.m_id.m_value.c_str(), {running(start)});
    advance(3s);
    CHECK(m_starts.empty());
    auto done = running(first[0]);
    done.m_state = platform::task_state::finished;
    report(first[0].m_worker.m_info.m_id.m_value.c_str(), {done});
    advance(1s);
    CHECK_EQUAL(1, m_starts.size());
}

TEST(job_manager_recovery, the_service_of_a_leaving_worker_is_stopped_and_started_elsewhere)
{
    report_idle_workers();
    submit(job_kind::service, 1, 1000);
    answer_start(m_starts[0], running(m_starts[0]));
    const auto left = m_starts[0].m_worker.m_info.m_id.m_value;
    auto leaving = worker_named(left.c_str());
    leaving.m_leaving = true;
    own({leaving, worker_named(left == "w1" ? "w2" : "w1")});
    advance(200ms);
    CHECK_EQUAL(1, m_stops.size());
    auto stopped = running(m_starts[0]);
    stopped.m_state = platform::task_state::stopped;
    report(left.c_str(), {stopped});
    advance(2s);
    CHECK_EQUAL(2, m_starts.size());
    CHECK(m_starts[1].m_worker.m_info.m_id.m_value != left);
}

TEST(job_manager_recovery, a_cancelled_job_stops_its_running_tasks_and_starts_no_others)
{
    report_idle_workers();
    submit(job_kind::batch, 3, 3000);
    for (const auto& start : std::vector(m_starts))
        answer_start(start, running(start));
    advance(1s);
    parts_written written;
    for (const auto& row : m_table.scan("jobs/"))
    {
        auto part = *decode_part(row);
        part.m_cancelled = true;
        written.m_homes.push_back(part.m_home);
        m_table.commit(std::vector<platform::row_write>{
            {.m_key = row.m_key, .m_expected_version = row.m_version, .m_value = encode(part)}});
    }
    run(written);
    const auto starts = m_starts.size();
    advance(1s);
    CHECK_EQUAL(2, m_stops.size());
    CHECK_EQUAL(starts, m_starts.size());
}

TEST(job_manager_recovery, a_job_larger_than_every_worker_is_refused)
{
    report_idle_workers();
    submit(job_kind::batch, 1, 5000);
    CHECK(m_submission_answers.at(0).m_result.error().m_reason == reason::never_fits);
    CHECK(m_table.scan("jobs/").empty());
}

TEST(job_manager_recovery, an_urgent_task_starts_in_a_full_cell_once_its_victim_has_ended)
{
    report_idle_workers();
    submit(job_kind::batch, 2, 4000);
    CHECK_EQUAL(2, m_starts.size());
    for (int i = 0; i < 2; ++i)
    {
        const auto start = m_starts[static_cast<std::size_t>(i)];
        answer_start(start, running(start));
    }
    run(job_submitted{2,
                      {.m_id = job_id("u"),
                       .m_name = "u",
                       .m_team = team_id("t"),
                       .m_urgent = true,
                       .m_size = {.m_millicores = 3000, .m_memory_mb = 10}}});
    advance(1s);
    CHECK_EQUAL(1, m_stops.size());
    CHECK_EQUAL(2, m_starts.size());
    const auto worker = m_stops.front().m_worker.m_info.m_id;
    report(worker.m_value.c_str(), {{.m_task = m_stops.front().m_task,
                                     .m_job = job_id("j"),
                                     .m_state = platform::task_state::stopped}});
    advance(200ms);
    CHECK_EQUAL(3, m_starts.size());
    CHECK(m_starts.back().m_task.m_job == job_id("u"));
    CHECK(m_starts.back().m_worker.m_info.m_id == worker);
}

TEST(job_manager_recovery, a_team_holds_no_more_than_its_quota)
{
    report_idle_workers();
    run(teams_changed{{{.m_name = team_id("t"), .m_quota = {3500, 1000, 0}}}});
    submit(job_kind::batch, 3, 1500);
    CHECK_EQUAL(2, m_starts.size());
}

TEST(job_manager_recovery, a_job_that_never_fits_is_refused_with_the_dimension)
{
    submit(job_kind::batch, 1, 5000);
    CHECK(m_submission_answers.front().m_result.error().m_reason == reason::never_fits);
    CHECK(m_submission_answers.front().m_result.error().m_detail ==
          "size.millicores is 5000, the largest worker has 4000");
}

TEST(job_manager_recovery, a_successor_starts_no_task_of_a_row_before_its_own_write_is_confirmed)
{
    submit(job_kind::batch, 1, 1000); // no worker has reported yet, so the task waits
    m_manager = job_manager({.m_data_centre = centre, .m_writer = "b.1"});
    m_renewal_calls.clear();
    m_answered_calls.clear();
    m_lose_commit_replies = true;
    own({worker_named("w1"), worker_named("w2")});
    report_idle_workers();
    advance(1s);
    CHECK(m_starts.empty());
    m_lose_commit_replies = false;
    report_idle_workers();
    advance(1s);
    CHECK_EQUAL(1, m_starts.size());
}
