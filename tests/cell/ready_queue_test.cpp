#include "dragonflygap/cell/ready_queue.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant now(10s);

std::shared_ptr<job_state> make_job(const std::string& id, std::int64_t expected_ms = 1000)
{
    job_record record;
    record.m_queue = {.m_stretch = 2, .m_slack_ms = 500};
    record.m_request.m_steps = {{.m_count = 2, .m_expected_ms = expected_ms},
                                {.m_count = 1, .m_expected_ms = 500, .m_depends_on = {0}}};
    auto job = std::make_shared<job_state>(job_id(id), record);
    job->m_since = now;
    return job;
}

step_rank rank(const job_state& job, int priority, duration time = {},
               lateness late = lateness::on_time)
{
    return {priority, late, now + time, {job.id(), 0, 0}};
}

} // namespace

TEST_GROUP(ready_queue){};

TEST(ready_queue, orders_steps_by_priority_then_lateness_then_time)
{
    ready_queue queue;
    const auto a = make_job("a");
    const auto b = make_job("b");
    const auto c = make_job("c");
    const auto d = make_job("d");
    queue.insert(rank(*a, 1, 1s), a);
    queue.insert(rank(*b, 1, 2s), b);
    queue.insert(rank(*c, 1, 0s, lateness::late), c);
    queue.insert(rank(*d, 0, 9s), d);
    LONGS_EQUAL(4, queue.size());
    STRCMP_EQUAL("d", queue.at(0).m_job->id().m_value.c_str());
    STRCMP_EQUAL("a", queue.at(1).m_job->id().m_value.c_str());
    STRCMP_EQUAL("b", queue.at(2).m_job->id().m_value.c_str());
    STRCMP_EQUAL("c", queue.at(3).m_job->id().m_value.c_str());
    queue.erase(rank(*a, 1, 1s));
    CHECK_FALSE(queue.contains(rank(*a, 1, 1s)));
    CHECK_TRUE(queue.contains(rank(*b, 1, 2s)));
    LONGS_EQUAL(3, queue.size());
}

TEST(ready_queue, a_step_is_looked_at_when_it_is_new_woken_or_its_time_comes)
{
    ready_queue queue;
    const auto a = make_job("a");
    queue.insert(rank(*a, 1), a);
    CHECK(queue.wake_at(0) <= now);
    queue.set_wake_at(0, now + 1s);
    CHECK(queue.wake_at(0) > now);
    queue.wake(rank(*a, 1));
    CHECK(queue.wake_at(0) <= now);
    queue.set_wake_at(0, now + 1s);
    queue.insert(rank(*a, 1), a); // Some of its tasks wait again.
    LONGS_EQUAL(1, queue.size());
    CHECK(queue.wake_at(0) <= now);
    queue.wake(rank(*make_job("unknown"), 1));
}

// Objective: twice the chain of 1.5 s, and 0.5 s more.
TEST(ready_queue, a_job_is_late_when_its_remaining_work_ends_after_its_objective)
{
    const auto job = make_job("a");
    LONGS_EQUAL(3500, to_ms(objective_of(*job)));
    LONGS_EQUAL(1500, to_ms(remaining_work(*job)));
    CHECK(lateness_of(*job, now + 2s) == lateness::on_time);
    CHECK(lateness_of(*job, now + 2100ms) == lateness::late);
    CHECK(lateness_of(*job, now + 9100ms) == lateness::very_late);
    job->set_step_done(0, 0);
    LONGS_EQUAL(500, to_ms(remaining_work(*job)));
    CHECK(lateness_of(*job, now + 2900ms) == lateness::on_time);
}

TEST(ready_queue, long_running_and_scheduled_jobs_are_never_late)
{
    job_record lasting;
    lasting.m_request.m_steps = {{.m_count = 1, .m_long_running = true}};
    CHECK(lateness_of(job_state(job_id("a"), lasting), now + 1h) == lateness::on_time);
    job_record scheduled;
    scheduled.m_request.m_steps = {{.m_count = 1, .m_expected_ms = 10}};
    scheduled.m_request.m_occurrences = 2;
    CHECK(lateness_of(job_state(job_id("b"), scheduled), now + 1h) == lateness::on_time);
}
