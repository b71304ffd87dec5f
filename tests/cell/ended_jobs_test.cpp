#include "dragonflygap/cell/ended_jobs.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

TEST_GROUP(ended_jobs)
{
    instant m_now{100s};
    ended_jobs m_jobs;
};

TEST(ended_jobs, an_outcome_and_its_customer_are_kept_until_they_are_forgotten)
{
    m_jobs.add(job_id("1"), job_outcome::failed, customer_id("a"), m_now);
    m_jobs.add(job_id("2"), job_outcome::completed, {}, m_now + 1s);
    CHECK(m_jobs.find(job_id("1"))->m_outcome == job_outcome::failed);
    CHECK(m_jobs.find(job_id("1"))->m_customer == customer_id("a"));
    CHECK(m_jobs.find(job_id("2"))->m_customer.empty());
    m_jobs.forget_before(m_now);
    LONGS_EQUAL(2, m_jobs.size());
    m_jobs.forget_before(m_now + 1ms);
    CHECK_FALSE(m_jobs.find(job_id("1")).has_value());
    CHECK(m_jobs.find(job_id("2"))->m_outcome == job_outcome::completed);
}

// Versions of the configuration may bring ever new customers.
TEST(ended_jobs, names_are_kept_only_while_they_have_jobs)
{
    for (int i = 0; i < 1000; ++i)
    {
        const auto name = std::to_string(i);
        m_jobs.add(job_id(name), job_outcome::completed, customer_id("c" + name), m_now);
        m_jobs.add(job_id(name), job_outcome::cancelled, customer_id("c" + name), m_now);
        if (i >= 10)
            m_jobs.forget_before(m_now - 10s);
        m_now += 1s;
        CHECK(m_jobs.find(job_id(name))->m_customer == customer_id("c" + name));
        CHECK(m_jobs.customers() <= 11);
    }
    LONGS_EQUAL(m_jobs.size(), m_jobs.customers());
    m_jobs.forget_before(m_now);
    LONGS_EQUAL(0, m_jobs.size() + m_jobs.customers());
}

TEST(ended_jobs, a_job_that_ends_again_counts_once_for_its_customer)
{
    m_jobs.add(job_id("1"), job_outcome::completed, customer_id("a"), m_now);
    m_jobs.add(job_id("1"), job_outcome::completed, customer_id("b"), m_now);
    CHECK(m_jobs.find(job_id("1"))->m_customer == customer_id("b"));
    LONGS_EQUAL(1, m_jobs.customers());
}
