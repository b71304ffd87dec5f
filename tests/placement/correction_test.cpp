#include <string>
#include <vector>

#include "dragonflygap/placement/fit_check.hpp"
#include "dragonflygap/placement/usage_estimator.hpp"
#include "dragonflygap/placement/worker_health.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;

TEST_GROUP(worker_health)
{
    worker_health m_health{{.m_failures_to_eject = 3, .m_initial_ejection = 30s}};
    worker_id m_bad{"w0"};
    instant m_now{1000s};

    void setup() override
    {
        for (int i = 0; i < 10; ++i)
            m_health.add(worker_id("w" + std::to_string(i)));
    }

    void fail(const worker_id& worker, int times)
    {
        for (int i = 0; i < times; ++i)
            m_health.record_failure(worker, job_id("j" + std::to_string(i)), m_now);
    }
};

TEST(worker_health, a_worker_that_fails_the_tasks_of_several_jobs_is_ejected_for_a_while)
{
    fail(m_bad, 3);
    CHECK(!m_health.usable(m_bad, m_now + 29s));
    CHECK(m_health.usable(m_bad, m_now + 30s));
}

TEST(worker_health, a_job_that_fails_everywhere_ejects_no_worker)
{
    for (int i = 0; i < 20; ++i)
        m_health.record_failure(m_bad, job_id("broken"), m_now);
    CHECK(m_health.usable(m_bad, m_now));
}

TEST(worker_health, a_task_on_probation_decides_whether_the_worker_is_ejected_again)
{
    fail(m_bad, 3);
    m_now += 30s;
    m_health.record_start(m_bad, m_now);
    CHECK(!m_health.usable(m_bad, m_now));
    m_health.record_failure(m_bad, job_id("j"), m_now);
    CHECK(!m_health.usable(m_bad, m_now + 59s));
    m_now += 60s;
    m_health.record_start(m_bad, m_now);
    m_health.record_success(m_bad);
    CHECK(m_health.usable(m_bad, m_now));
    CHECK_EQUAL(0, m_health.ejected());
}

TEST(worker_health, a_minimum_share_of_the_workers_is_never_ejected)
{
    for (int i = 0; i < 10; ++i)
        fail(worker_id("w" + std::to_string(i)), 9);
    CHECK_EQUAL(3, m_health.ejected());
}

TEST_GROUP(usage_estimator)
{
    usage_estimator m_estimator{{.m_half_life = 60s, .m_overload_delay = 5s}};
    worker_id m_worker{"w"};
    instant m_now{1000s};

    static platform::task_report task(const std::string& name, std::int64_t used)
    {
        return {.m_task = task_id(name), .m_size = {1000, 1000, 0}, .m_usage = {used, 1000, 0}};
    }
};

TEST(usage_estimator, overuse_rises_immediately_and_decays_slowly)
{
    CHECK_EQUAL(500,
                m_estimator.report(m_worker, std::vector{task("a", 1500)}, m_now).m_millicores);
    m_now += 60s;
    CHECK_EQUAL(250,
                m_estimator.report(m_worker, std::vector{task("a", 1000)}, m_now).m_millicores);
}

TEST(usage_estimator, unused_capacity_of_a_task_does_not_offset_the_overuse_of_another)
{
    const std::vector tasks{task("a", 1500), task("b", 100)};
    CHECK_EQUAL(500, m_estimator.report(m_worker, tasks, m_now).m_millicores);
}

TEST(usage_estimator, the_worst_overuser_of_an_overloaded_worker_is_stopped)
{
    const std::vector tasks{task("a", 1200), task("b", 1900), task("c", 900)};
    const resources capacity{3000, 3000, 0};
    CHECK(!m_estimator.find_overuser(m_worker, capacity, tasks, m_now).has_value());
    CHECK(m_estimator.find_overuser(m_worker, capacity, tasks, m_now + 5s) == task_id("b"));
    CHECK(!m_estimator.find_overuser(m_worker, {4000, 3000, 0}, tasks, m_now + 20s).has_value());
}

TEST_GROUP(fit_check)
{
    std::vector<placement_worker> m_cell{{.m_id = worker_id("a"),
                                          .m_data_centre = data_centre_id("dc1"),
                                          .m_capacity = {4000, 100, 0}},
                                         {.m_id = worker_id("b"),
                                          .m_data_centre = data_centre_id("dc1"),
                                          .m_capacity = {100, 4000, 0}}};
    job_spec m_spec{.m_team = team_id("looms"), .m_size = {50, 50, 0}};

    std::string why(const std::optional<resources>& quota = std::nullopt)
    {
        return never_fits_reason(m_spec, m_cell, quota).value_or("fits");
    }
};

TEST(fit_check, a_job_that_fits_is_not_refused)
{
    CHECK(why() == "fits");
}

TEST(fit_check, the_refusal_names_the_dimension_or_the_rule)
{
    m_spec.m_size.m_millicores = 5000;
    CHECK(why() == "size.millicores is 5000, the largest worker has 4000");
    m_spec.m_size = {500, 500, 0};
    CHECK(why() ==
          "no single worker has the millicores, memory_mb and accelerators of size together");
    m_spec.m_rules.m_data_centre = data_centre_id("dc9");
    CHECK(why() == "rules.data_centre: no worker is in dc9");
}

TEST(fit_check, a_gang_larger_than_the_cell_or_the_quota_is_refused)
{
    m_spec.m_kind = job_kind::gang;
    m_spec.m_count = 5;
    CHECK(why().starts_with("the gang's 5 tasks"));
    m_spec.m_count = 3;
    CHECK(why(resources{100, 1000, 0}).starts_with("team looms has a quota of 100 millicores"));
}
