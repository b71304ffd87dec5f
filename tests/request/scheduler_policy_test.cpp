#include "support/scheduler_driver.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;

TEST_GROUP(scheduler_policy)
{
    test::scheduler_driver m_driver;

    void setup() override
    {
        m_driver.classes({{.m_name = class_id("tablet"), .m_urgency = 0, .m_expected = 10ms},
                          {.m_name = class_id("plan"), .m_urgency = 6, .m_expected = 5s}});
        m_driver.targets(8, 8);
    }

    int submit_plans(int count)
    {
        int dispatched = 0;
        for (int i = 0; i < count; ++i)
        {
            m_driver.submit("plan" + std::to_string(m_plans++), "plan", 120s);
            dispatched += static_cast<int>(m_driver.m_dispatched.size());
        }
        return dispatched;
    }

    void run_tablets(int count)
    {
        for (int i = 0; i < count; ++i)
        {
            const auto id = "tablet" + std::to_string(m_tablets++);
            m_driver.submit(id, "tablet");
            m_driver.advance(10ms);
            m_driver.end(id);
        }
    }

    void set_peer(const std::string& vm, const std::string& data_centre, std::uint32_t free)
    {
        m_driver.send(peers_changed{{{.m_vm = vm_id(vm),
                                      .m_data_centre = data_centre_id(data_centre),
                                      .m_free_slots = free,
                                      .m_updated_at = m_driver.m_now}}});
    }

    int m_plans = 0;
    int m_tablets = 0;
};

TEST(scheduler_policy, long_requests_use_all_slots_without_short_requests)
{
    CHECK_EQUAL(64, submit_plans(70));
}

TEST(scheduler_policy, long_requests_leave_slots_free_while_short_requests_arrive)
{
    run_tablets(50);
    CHECK(submit_plans(70) < 64);
    m_driver.submit("t", "tablet");
    CHECK(m_driver.dispatched("t"));
}

TEST(scheduler_policy, reserved_slots_are_released_when_short_requests_stop_arriving)
{
    run_tablets(50);
    submit_plans(70);
    m_driver.advance(31s);
    CHECK_EQUAL(0, m_driver.m_scheduler.load(m_driver.m_now).m_free_slots);
    CHECK_EQUAL(64, m_driver.m_scheduler.load(m_driver.m_now).m_classes.back().m_running);
}

TEST(scheduler_policy, a_class_with_longer_runs_than_declared_loses_its_reserved_slots)
{
    for (int i = 0; i < 40; ++i)
    {
        const auto id = "tablet" + std::to_string(i);
        m_driver.submit(id, "tablet", 60s);
        m_driver.advance(5s);
        m_driver.end(id);
    }
    m_driver.advance(50ms);
    CHECK_EQUAL(64, submit_plans(70));
}

TEST(scheduler_policy, the_slot_share_limits_a_class_while_others_wait)
{
    m_driver.classes(
        {{.m_name = class_id("tablet"), .m_urgency = 6, .m_expected = 1s},
         {.m_name = class_id("plan"), .m_urgency = 0, .m_expected = 1s, .m_slot_share = 0.5}});
    submit_plans(64);
    m_driver.submit("t", "tablet");
    submit_plans(8);
    for (int i = 0; i < 40; ++i)
        m_driver.end("plan" + std::to_string(i));
    m_driver.advance(10ms);
    const auto load = m_driver.m_scheduler.load(m_driver.m_now);
    CHECK_EQUAL(32, load.m_classes.front().m_running);
}

TEST(scheduler_policy, a_request_that_cannot_meet_its_deadline_is_refused_immediately)
{
    submit_plans(64);
    for (int i = 0; i < 200; ++i)
        m_driver.submit("more" + std::to_string(i), "plan", 12s);
    CHECK(m_driver.m_refused["more199"].m_reason == reason::deadline_unreachable);
    CHECK(m_driver.m_refused["more199"].m_verdict == verdict::not_run);
}

TEST(scheduler_policy, a_caller_within_its_share_is_admitted_despite_a_flood)
{
    submit_plans(64);
    for (int i = 0; i < 200; ++i)
        m_driver.submit("more" + std::to_string(i), "plan", 12s, "flood");
    m_driver.submit("quiet", "plan", 12s, "grower");
    CHECK(m_driver.m_refused.empty());
}

TEST(scheduler_policy, the_queue_of_a_class_is_bounded)
{
    m_driver.classes({{.m_name = class_id("plan"), .m_expected = 1ms, .m_max_queued = 100}});
    submit_plans(64 + 100);
    CHECK(m_driver.m_refused.empty());
    submit_plans(1);
    CHECK(m_driver.m_refused.begin()->second.m_reason == reason::queue_full);
}

TEST(scheduler_policy, a_wrong_estimate_does_not_block_a_class_forever)
{
    for (int i = 0; i < 40; ++i)
    {
        m_driver.submit(std::to_string(i), "tablet", 60s);
        m_driver.advance(5s);
        m_driver.end(std::to_string(i));
    }
    m_driver.submit("t", "tablet", 100ms);
    CHECK(m_driver.dispatched("t"));
}

TEST(scheduler_policy, without_free_slots_a_request_is_forwarded_to_a_peer_that_has_some)
{
    submit_plans(64);
    set_peer("peer", "a", 1);
    submit_plans(1);
    CHECK(m_driver.m_forwarded["plan64"] == vm_id("peer"));
    submit_plans(1);
    CHECK(m_driver.m_forwarded.empty());
}

TEST(scheduler_policy, a_peers_answer_frees_its_slot_for_waiting_requests)
{
    submit_plans(64);
    set_peer("peer", "a", 1);
    submit_plans(2);
    m_driver.end("plan64");
    CHECK(m_driver.m_forwarded["plan65"] == vm_id("peer"));
}

TEST(scheduler_policy, an_old_load_digest_is_ignored)
{
    submit_plans(64);
    set_peer("peer", "a", 1);
    m_driver.m_now += 2s;
    submit_plans(1);
    CHECK(m_driver.m_forwarded.empty());
}

TEST(scheduler_policy, a_forwarded_request_is_not_forwarded_again)
{
    submit_plans(64);
    set_peer("peer", "a", 5);
    m_driver.submit("1", "plan", 60s, "c", true, 1);
    CHECK(m_driver.m_forwarded.empty());
}

TEST(scheduler_policy, a_request_refused_by_a_peer_is_queued_and_not_forwarded_again)
{
    submit_plans(64);
    set_peer("peer", "a", 5);
    submit_plans(1);
    m_driver.send(forward_failed{request_id("plan64"), {verdict::not_run, reason::queue_full, ""}});
    CHECK(m_driver.m_failed.empty() && m_driver.m_refused.empty());
    m_driver.m_now += 1s;
    set_peer("peer", "a", 5);
    CHECK(m_driver.m_forwarded.empty());
    m_driver.end("plan0");
    CHECK(m_driver.dispatched("plan64"));
}

TEST(scheduler_policy, a_request_that_a_peer_may_have_run_is_not_run_here)
{
    submit_plans(64);
    set_peer("peer", "a", 5);
    submit_plans(1);
    m_driver.send(
        forward_failed{request_id("plan64"), {verdict::may_have_run, reason::timeout, ""}});
    CHECK(m_driver.m_failed["plan64"].m_verdict == verdict::may_have_run);
}

TEST(scheduler_policy, without_own_targets_a_request_waits_briefly_for_a_free_slot_at_a_peer)
{
    m_driver.targets(0, 0);
    set_peer("p", "a", 0);
    m_driver.submit("1", "tablet");
    m_driver.submit("2", "tablet");
    CHECK(m_driver.m_refused.empty());
    m_driver.m_now += 200ms;
    set_peer("p", "a", 1);
    CHECK_EQUAL(1, m_driver.m_forwarded.size());
    m_driver.advance(200ms);
    CHECK(m_driver.m_refused.empty());
    m_driver.advance(100ms);
    CHECK_EQUAL(1, m_driver.m_refused.size());
    CHECK(m_driver.m_refused.begin()->second.m_reason == reason::no_target);
    CHECK(m_driver.m_refused.begin()->second.m_verdict == verdict::not_run);
}

TEST(scheduler_policy, draining_forwards_queued_requests_and_serves_the_others)
{
    submit_plans(64);
    submit_plans(2);
    set_peer("peer", "a", 0);
    m_driver.m_now += 1ms;
    m_driver.send(drain_started{});
    m_driver.submit("late", "plan", 60s);
    CHECK(m_driver.m_refused["late"].m_reason == reason::draining);
    set_peer("peer", "a", 1);
    CHECK_EQUAL(1, m_driver.m_forwarded.size());
    m_driver.end("plan0");
    CHECK_EQUAL(1, m_driver.m_dispatched.size());
    CHECK_EQUAL(0, m_driver.m_scheduler.load(m_driver.m_now).m_free_slots);
}

TEST_GROUP(peer_choice){};

TEST(peer_choice, a_peer_in_the_same_data_centre_is_preferred)
{
    peer_choice choice({.m_data_centre = data_centre_id("a")});
    const instant now{1000s};
    choice.assign(std::vector<peer_load>{{vm_id("far"), data_centre_id("b"), 90, 0, now},
                                         {vm_id("near"), data_centre_id("a"), 1, 0, now}});
    CHECK(choice.reserve_slot(now)->m_vm == vm_id("near"));
    CHECK(choice.reserve_slot(now)->m_vm == vm_id("far"));
}

TEST(peer_choice, a_reserved_slot_is_released_only_by_a_newer_digest)
{
    peer_choice choice({});
    const instant now{1000s};
    const std::vector<peer_load> peers{{vm_id("p"), data_centre_id("a"), 1, 0, now}};
    choice.assign(peers);
    CHECK(choice.reserve_slot(now) != nullptr);
    choice.assign(peers);
    CHECK(choice.reserve_slot(now) == nullptr);
}
