#include "dragonflygap/request/target_set.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

TEST_GROUP(target_set)
{
    target_set m_targets{{}};
    instant m_now{1000s};

    void setup() override
    {
        assign(6);
    }

    void assign(int count)
    {
        std::vector<target> list;
        for (int i = 0; i < count; ++i)
            list.push_back({.m_id = id(i), .m_slots = 8});
        m_targets.assign(list);
    }

    static target_id id(int i)
    {
        return target_id("t" + std::to_string(i));
    }

    void fail_repeatedly(int i)
    {
        for (int n = 0; n < 5; ++n)
            m_targets.record_failure(id(i), m_now);
    }
};

TEST(target_set, a_target_that_fails_repeatedly_is_ejected)
{
    fail_repeatedly(0);
    CHECK_EQUAL(1, m_targets.ejected());
    CHECK_EQUAL(40, m_targets.slots());
}

TEST(target_set, a_target_that_fails_occasionally_is_not_ejected)
{
    for (int n = 0; n < 50; ++n)
    {
        m_targets.record_failure(id(0), m_now);
        m_targets.record_success(id(0));
    }
    CHECK_EQUAL(0, m_targets.ejected());
}

TEST(target_set, never_ejects_more_than_the_configured_share)
{
    for (int i = 0; i < 6; ++i)
        fail_repeatedly(i);
    CHECK_EQUAL(2, m_targets.ejected());
}

TEST(target_set, the_only_target_is_never_ejected)
{
    assign(1);
    fail_repeatedly(0);
    CHECK_EQUAL(8, m_targets.slots());
}

TEST(target_set, an_ejected_target_returns_after_probation)
{
    fail_repeatedly(0);
    m_targets.tick(m_now + 5s);
    CHECK_EQUAL(41, m_targets.slots());
    for (int n = 0; n < 3; ++n)
        m_targets.record_success(id(0));
    CHECK_EQUAL(48, m_targets.slots());
}

TEST(target_set, a_failure_in_probation_ejects_for_twice_as_long)
{
    fail_repeatedly(0);
    m_now += 5s;
    m_targets.tick(m_now);
    m_targets.record_failure(id(0), m_now);
    m_targets.tick(m_now + 9s);
    CHECK_EQUAL(40, m_targets.slots());
    m_targets.tick(m_now + 10s);
    CHECK_EQUAL(41, m_targets.slots());
}
