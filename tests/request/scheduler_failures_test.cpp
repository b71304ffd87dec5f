#include "support/scheduler_driver.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

TEST_GROUP(scheduler_failures)
{
    test::scheduler_driver m_driver;

    void setup() override
    {
        m_driver.classes({{.m_name = class_id("check"), .m_expected = 100ms}});
        m_driver.targets(2, 1);
    }
};

TEST(scheduler_failures, a_request_that_did_not_run_is_retried_at_another_target)
{
    m_driver.submit("1", "check", 10s, "c", false);
    const auto first = m_driver.m_dispatched["1"].m_target;
    m_driver.fail("1", verdict::not_run, reason::target_unreachable);
    CHECK(m_driver.m_failed.empty());
    m_driver.advance(1s);
    CHECK(m_driver.dispatched("1"));
    CHECK_EQUAL(2, m_driver.m_dispatched["1"].m_attempt);
    CHECK(m_driver.m_dispatched["1"].m_target != first);
}

TEST(scheduler_failures, a_non_idempotent_request_that_may_have_run_is_not_retried)
{
    m_driver.submit("1", "check", 10s, "c", false);
    m_driver.fail("1", verdict::may_have_run, reason::target_failed);
    CHECK(m_driver.m_failed["1"].m_verdict == verdict::may_have_run);
    m_driver.advance(1s);
    CHECK(m_driver.m_dispatched.empty());
}

TEST(scheduler_failures, an_idempotent_request_is_not_retried_while_it_may_still_run)
{
    m_driver.submit("1", "check");
    m_driver.fail("1", verdict::may_have_run, reason::target_silent, false);
    CHECK_EQUAL(1, m_driver.m_failed.size());
}

TEST(scheduler_failures, a_failure_after_an_attempt_that_may_have_run_is_not_reported_as_not_run)
{
    m_driver.submit("1", "check");
    m_driver.fail("1", verdict::may_have_run, reason::target_failed);
    m_driver.advance(1s);
    CHECK(m_driver.dispatched("1"));
    m_driver.fail("1", verdict::not_run, reason::bad_request);
    CHECK(m_driver.m_failed["1"].m_verdict == verdict::may_have_run);
}

TEST(scheduler_failures, a_slot_that_may_still_be_busy_is_held_until_it_is_freed)
{
    m_driver.submit("1", "check");
    m_driver.submit("2", "check");
    m_driver.fail("1", verdict::may_have_run, reason::target_silent, false);
    m_driver.submit("3", "check");
    CHECK(m_driver.m_dispatched.empty());
    m_driver.send(slot_freed{request_id("1")});
    CHECK(m_driver.dispatched("3"));
}

TEST(scheduler_failures, retries_stay_within_their_budget)
{
    int retried = 0;
    for (int i = 0; i < 200; ++i)
    {
        const auto id = std::to_string(i);
        m_driver.submit(id, "check");
        m_driver.fail(id, verdict::not_run, reason::target_refused);
        retried += m_driver.m_failed.empty() ? 1 : 0;
        m_driver.send(request_cancelled{request_id(id)});
    }
    CHECK(retried <= 20 + 200 / 10);
    CHECK(retried >= 20);
}

TEST(scheduler_failures, a_target_that_is_removed_and_added_again_keeps_its_busy_slots)
{
    m_driver.submit("1", "check");
    m_driver.submit("2", "check");
    m_driver.targets(0, 1);
    m_driver.targets(2, 1);
    m_driver.submit("3", "check");
    CHECK(m_driver.m_dispatched.empty());
}

TEST(scheduler_failures, a_leaving_target_gets_no_new_requests)
{
    m_driver.targets(2, 4, true);
    m_driver.submit("1", "check");
    CHECK(m_driver.m_refused["1"].m_reason == reason::no_target);
}

TEST(scheduler_failures, a_cancelled_request_is_aborted_once_and_not_answered_again)
{
    m_driver.submit("1", "check");
    m_driver.send(request_cancelled{request_id("1")});
    CHECK_EQUAL(1, m_driver.m_aborted.size());
    m_driver.send(request_cancelled{request_id("1")});
    CHECK(m_driver.m_aborted.empty());
    m_driver.fail("1", verdict::may_have_run, reason::cancelled);
    CHECK(m_driver.m_failed.empty());
    CHECK_EQUAL(0, m_driver.m_scheduler.open_requests());
}

TEST(scheduler_failures, thousands_of_cancelled_requests_are_removed_from_the_queue)
{
    m_driver.classes({{.m_name = class_id("check"), .m_expected = 1ms, .m_max_queued = 10000}});
    for (int i = 0; i < 8000; ++i)
        m_driver.submit(std::to_string(i), "check", 3600s);
    for (int i = 0; i < 8000; ++i)
        m_driver.send(request_cancelled{request_id(std::to_string(i))});
    CHECK_EQUAL(2, m_driver.m_scheduler.open_requests());
    CHECK_EQUAL(0, m_driver.m_scheduler.load(m_driver.m_now).m_classes.front().m_queued);
}
