#include "dragonflygap/request/class_queue.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

TEST_GROUP(class_queue)
{
    class_queue m_queue;
    class_queue::weights m_weights;

    tracked_request_ptr push(const std::string& caller)
    {
        auto request = std::make_shared<tracked_request>();
        request->m_request.m_caller = caller_id(caller);
        m_queue.push(request, m_weights);
        return request;
    }

    int pop_and_count(const std::string& caller, int count)
    {
        int result = 0;
        for (int i = 0; i < count; ++i)
        {
            const auto request = m_queue.pop();
            request->m_stage = stage::running;
            result += request->m_request.m_caller == caller_id(caller) ? 1 : 0;
        }
        return result;
    }
};

TEST(class_queue, a_flood_of_one_caller_does_not_delay_another)
{
    for (int i = 0; i < 1000; ++i)
        push("flood");
    push("quiet");
    CHECK_EQUAL(1, pop_and_count("quiet", 2));
}

TEST(class_queue, callers_are_served_in_proportion_to_their_weights)
{
    m_weights[caller_id("sales-desk")] = 3;
    for (int i = 0; i < 100; ++i)
    {
        push("sales-desk");
        push("other");
    }
    const int popped = pop_and_count("sales-desk", 40);
    CHECK(popped >= 29 && popped <= 31);
}

TEST(class_queue, a_caller_is_charged_for_requests_that_overrun)
{
    for (int i = 0; i < 100; ++i)
    {
        push("long");
        push("usual");
    }
    m_queue.charge(caller_id("long"), 20);
    CHECK(pop_and_count("long", 20) <= 1);
}

TEST(class_queue, a_removed_request_is_never_popped)
{
    const auto first = push("a");
    const auto second = push("a");
    first->m_stage = stage::ended;
    m_queue.on_removed(*first);
    CHECK_EQUAL(1, m_queue.size());
    CHECK(m_queue.pop() == second);
    CHECK(m_queue.pop() == nullptr);
}

TEST(class_queue, a_requeued_request_is_popped_once)
{
    const auto request = push("a");
    push("a");
    request->m_stage = stage::forwarded;
    m_queue.on_removed(*request);
    request->m_stage = stage::waiting;
    m_queue.push(request, m_weights, true);
    CHECK(m_queue.pop() == request);
    request->m_stage = stage::running;
    CHECK(m_queue.pop() != request);
    CHECK_EQUAL(0, m_queue.size());
}
