#include "placement/support/job_manager_fixture.hpp"

using namespace dragonflygap;
using namespace dragonflygap::placement;
using namespace dragonflygap::placement::test;

TEST_GROUP_BASE(job_manager, job_manager_fixture){};

TEST(job_manager, a_gang_that_fits_only_in_part_starts_no_task_and_requests_capacity_from_peers)
{
    report_idle_workers();
    submit(job_kind::gang, 3, 3000);
    CHECK(m_starts.empty());
    CHECK_EQUAL(3, m_capacity_requests.front().m_count);
}

TEST(job_manager, as_many_batch_tasks_start_as_fit)
{
    report_idle_workers();
    submit(job_kind::batch, 3, 3000);
    CHECK_EQUAL(2, m_starts.size());
}

TEST(job_manager, the_tasks_of_a_service_go_to_different_workers)
{
    report_idle_workers();
    submit(job_kind::service, 2, 1000);
    CHECK_EQUAL(2, m_starts.size());
    CHECK(m_starts[0].m_worker.m_info.m_id != m_starts[1].m_worker.m_info.m_id);
}

TEST(job_manager, a_worker_gets_no_tasks_before_its_first_report)
{
    submit(job_kind::batch, 1, 1000);
    CHECK(m_starts.empty());
    report_idle_workers();
    advance(1s);
    CHECK_EQUAL(1, m_starts.size());
}

TEST(job_manager, a_refused_start_is_retried_with_growing_backoff)
{
    report_idle_workers();
    submit(job_kind::batch, 1, 1000);
    for (int i = 0; i < 600; ++i)
    {
        if (i % 20 == 0)
            report_idle_workers();
        advance(100ms);
        answer_start(m_starts.back(), fail(verdict::not_run, reason::target_refused, ""));
    }
    // Delays of 1, 2, 4, 8, 16 and 32 s, then part of one of 60 s.
    CHECK(m_starts.size() >= 5);
    CHECK(m_starts.size() <= 8);
}

TEST(job_manager, an_unanswered_start_is_resolved_by_the_reports_of_its_worker)
{
    report_idle_workers();
    submit(job_kind::batch, 1, 1000);
    answer_start(m_starts[0], fail(verdict::may_have_run, reason::timeout, ""));
    report_idle_workers();
    advance(3s);
    CHECK_EQUAL(1, m_starts.size());
    report_idle_workers();
    advance(3s);
    report_idle_workers();
    advance(3s);
    CHECK_EQUAL(2, m_starts.size());
    CHECK(m_starts[1].m_task.m_task != m_starts[0].m_task.m_task);
}

TEST(job_manager, a_task_of_a_silent_worker_restarts_only_after_its_lease_has_certainly_expired)
{
    report_idle_workers();
    submit(job_kind::service, 1, 1000);
    answer_start(m_starts[0], running(m_starts[0]));
    const auto silent = m_starts[0].m_worker.m_info.m_id.m_value;
    const auto* other = silent == "w1" ? "w2" : "w1";
    instant last_renewal = m_now;
    const auto runs = [this]
    { return m_manager.jobs().at(job_id("j")).m_tasks[0].m_state == job_task_state::running; };
    for (int i = 0; i < 600 && runs(); ++i)
    {
        m_renewals.clear();
        advance(100ms);
        for (const auto& renewal : m_renewals)
            if (runs() && renewal.m_worker.m_info.m_id.m_value == silent)
                last_renewal = m_now;
        if (i % 20 == 0)
        {
            report(other, {});
            run(worker_reported{worker_id(silent), m_renewal_calls[silent],
                                fail(verdict::may_have_run, reason::target_silent, "")});
        }
    }
    CHECK(!runs());
    CHECK(m_now - last_renewal >= worker_tasks_options{}.m_task_lease);
}

TEST(job_manager, a_batch_task_that_fails_at_each_attempt_ends_as_failed)
{
    report_idle_workers();
    submit(job_kind::batch, 1, 1000);
    for (int i = 0; i < 300; ++i)
    {
        if (i % 20 == 0)
            report_idle_workers();
        advance(100ms);
        auto failed = running(m_starts.back());
        failed.m_state = platform::task_state::failed;
        answer_start(m_starts.back(), failed);
    }
    CHECK_EQUAL(job_spec{}.m_max_attempts, m_starts.size());
    CHECK(m_manager.jobs().at(job_id("j")).m_tasks[0].m_state == job_task_state::failed);
}

TEST(job_manager, an_ended_task_is_acknowledged_only_once_its_end_is_stored)
{
    report_idle_workers();
    submit(job_kind::batch, 1, 1000);
    answer_start(m_starts[0], running(m_starts[0]));
    const auto worker = m_starts[0].m_worker.m_info.m_id.m_value;
    advance(1s);
    m_lose_commit_replies = true;
    auto done = running(m_starts[0]);
    done.m_state = platform::task_state::finished;
    report(worker.c_str(), {done});
    m_renewals.clear();
    advance(3s);
    for (const auto& renewal : m_renewals)
        CHECK(renewal.m_acknowledged.empty());
    m_lose_commit_replies = false;
    report_idle_workers();
    advance(1s);
    report(worker.c_str(), {done});
    m_renewals.clear();
    advance(3s);
    report_idle_workers();
    advance(3s);
    CHECK(std::ranges::any_of(m_renewals, [](const renew_worker& renewal)
                              { return !renewal.m_acknowledged.empty(); }));
}
