#include "dragonflygap/node/caller_task.hpp"

#include "dragonflygap/net/timer_queue.hpp"
#include "dragonflygap/observe/metrics.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

instant g_now; // virtual time

instant test_now()
{
    return g_now;
}

} // namespace

TEST_GROUP(caller_task)
{
    timer_queue m_timers;
    event_loop m_loop{m_timers};
    metrics m_metrics;

    void setup() override
    {
        g_now = instant(1s);
        monotonic_clock::set_source(&test_now);
    }

    void teardown() override
    {
        monotonic_clock::set_source(nullptr);
    }

    void run(duration length)
    {
        const auto until = g_now + length;
        for (auto next = m_timers.next(); next && *next <= until; next = m_timers.next())
        {
            g_now = std::max(g_now, *next);
            m_timers.run_next(g_now);
        }
        g_now = until;
    }
};

// The pipe to a leader whose heartbeats still arrive may be full: a successor stays likely.
TEST(caller_task, a_call_that_can_not_be_sent_is_rejected_in_time)
{
    node::caller_task callers(m_loop, m_metrics,
                              {.m_send_to_leader = [](const cell::caller_call&) { return false; },
                               .m_takeover_expected = [] { return true; }});
    std::optional<cell::caller_answer> answer;
    callers.call({.m_kind = static_cast<int>(cell::call_kind::submit), .m_job = job_id("1")},
                 [&](const cell::caller_answer& received) { answer = received; });
    run(1s);
    CHECK_FALSE(answer.has_value());
    run(2s);
    CHECK_TRUE(answer.has_value());
    CHECK_TRUE(answer->m_status == static_cast<int>(cell::call_status::rejected));
    LONGS_EQUAL(0, callers.open_count());
}

// The leader was frozen while a VM restarted, and then answered a call of the former process: the
// job of another caller counted as rejected, and ran.
TEST(caller_task, an_answer_to_an_earlier_process_of_the_vm_is_ignored)
{
    std::uint64_t number = 0;
    const auto options = [&](std::uint64_t incarnation)
    {
        return node::caller_task_options{.m_send_to_leader =
                                             [&](const cell::caller_call& call)
                                         {
                                             number = call.m_call;
                                             return true;
                                         },
                                         .m_takeover_expected = [] { return false; },
                                         .m_incarnation = incarnation};
    };
    const cell::caller_call submission{.m_kind = static_cast<int>(cell::call_kind::submit),
                                       .m_job = job_id("1")};
    node::caller_task former(m_loop, m_metrics, options(1));
    former.call(submission, [](const cell::caller_answer&) {});
    const auto former_number = number;
    node::caller_task callers(m_loop, m_metrics, options(2));
    int answers = 0;
    callers.call(submission, [&](const cell::caller_answer&) { ++answers; });
    callers.on_answer(
        {.m_call = former_number, .m_status = static_cast<int>(cell::call_status::rejected)});
    LONGS_EQUAL(0, answers);
    callers.on_answer({.m_call = number});
    LONGS_EQUAL(1, answers);
}

// The second leader may have stored the job that the first one rejected, so the rejection isn't
// certain until both have rejected it.
TEST(caller_task, a_rejection_for_a_limit_is_certain_only_once_all_leaders_have_rejected_the_job)
{
    std::uint64_t number = 0;
    node::caller_task callers(m_loop, m_metrics,
                              {.m_send_to_leader =
                                   [&](const cell::caller_call& call)
                               {
                                   number = call.m_call;
                                   return true;
                               },
                               .m_takeover_expected = [] { return false; }});
    std::optional<cell::caller_answer> answer;
    callers.call({.m_kind = static_cast<int>(cell::call_kind::submit), .m_job = job_id("1")},
                 [&](const cell::caller_answer& received) { answer = received; });
    callers.leader_changed();
    const auto over_limit = static_cast<int>(cell::call_status::over_limit);
    callers.on_answer({.m_call = number, .m_status = over_limit, .m_number = 5000});
    CHECK_FALSE(answer.has_value());
    callers.on_answer({.m_call = number, .m_status = over_limit, .m_number = 7000});
    CHECK_TRUE(answer.has_value());
    LONGS_EQUAL(over_limit, answer->m_status);
    LONGS_EQUAL(7000, answer->m_number);
}
