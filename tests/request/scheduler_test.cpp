#include "dragonflygap/request/scheduler.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

TEST_GROUP(scheduler)
{
    scheduler m_scheduler{{}};
    instant m_now{1000s};

    void setup() override
    {
        m_scheduler.handle(classes_changed{{{.m_name = class_id("tablet"), .m_urgency = 0},
                                            {.m_name = class_id("plan"), .m_urgency = 6}},
                                           {}},
                           m_now);
        m_scheduler.handle(targets_changed{{{.m_id = target_id("t"), .m_slots = 2}}}, m_now);
    }

    std::vector<scheduler_action> submit(const std::string& id, const std::string& name,
                                         duration deadline = 1s)
    {
        return m_scheduler.handle(request_submitted{{.m_id = request_id(id),
                                                     .m_class = class_id(name),
                                                     .m_arrived_at = m_now,
                                                     .m_deadline = m_now + deadline}},
                                  m_now);
    }
};

TEST(scheduler, never_uses_more_than_the_slots_of_a_target)
{
    CHECK_EQUAL(1, submit("1", "plan").size());
    CHECK_EQUAL(1, submit("2", "plan").size());
    CHECK(submit("3", "plan").empty());
}

TEST(scheduler, a_free_slot_goes_to_the_most_urgent_class)
{
    submit("1", "plan");
    submit("2", "plan");
    submit("3", "plan");
    submit("4", "tablet");
    const auto actions = m_scheduler.handle(request_ended{request_id("1"), {}}, m_now);
    CHECK_EQUAL(1, actions.size());
    CHECK(std::get<dispatch_request>(actions.front()).m_id == request_id("4"));
}

TEST(scheduler, a_request_whose_deadline_passes_in_the_queue_is_refused_as_not_run)
{
    submit("1", "plan", 10s);
    submit("2", "plan", 10s);
    submit("3", "plan");
    m_now += 2s;
    const auto actions = m_scheduler.handle(scheduler_tick{}, m_now);
    CHECK_EQUAL(1, actions.size());
    const auto& refused = std::get<refuse_request>(actions.front());
    CHECK(refused.m_failure.m_verdict == verdict::not_run);
    CHECK(refused.m_failure.m_reason == reason::deadline_passed);
}
