#include "dragonflygap/platform/call_gate.hpp"

#include <map>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::platform;

namespace
{

constexpr instant start_time{1000s};

std::size_t started(const std::vector<gate_action>& actions)
{
    std::size_t count = 0;
    for (const auto& action : actions)
        count += std::holds_alternative<start_call>(action) ? 1 : 0;
    return count;
}

std::size_t rejected(const std::vector<gate_action>& actions)
{
    return actions.size() - started(actions);
}

} // namespace

TEST_GROUP(call_gate)
{
    call_gate m_gate{{.m_max_in_flight = 2, .m_max_waiting = 4, .m_writes_per_s = 10}};
    instant m_now = start_time;
    gate_call_id m_last = 0;

    auto request_call(call_priority priority = call_priority::normal)
    {
        return m_gate.handle(call_requested{++m_last, call_kind::write, priority}, m_now);
    }

    auto finish(gate_call_id id, bool healthy)
    {
        return m_gate.handle(call_finished{id, healthy}, m_now);
    }

    void open_breaker()
    {
        for (int i = 0; i < 5; ++i)
        {
            request_call();
            finish(m_last, false);
        }
    }
};

TEST(call_gate, limits_the_calls_in_flight)
{
    CHECK_EQUAL(1, started(request_call()));
    CHECK_EQUAL(1, started(request_call()));
    CHECK_EQUAL(0, started(request_call()));
    CHECK_EQUAL(1, started(finish(1, true)));
}

TEST(call_gate, a_full_queue_rejects_at_once)
{
    for (int i = 0; i < 6; ++i)
        request_call();
    CHECK_EQUAL(1, rejected(request_call()));
}

TEST(call_gate, five_failures_in_a_row_pause_all_calls)
{
    open_breaker();
    CHECK(m_gate.open(m_now));
    CHECK_EQUAL(1, rejected(request_call()));
}

TEST(call_gate, after_the_pause_one_call_probes_and_its_success_closes_the_breaker)
{
    open_breaker();
    m_now += 100ms;
    CHECK_EQUAL(1, started(request_call()));
    const auto probe = m_last;
    CHECK_EQUAL(0, started(request_call()));
    CHECK_EQUAL(1, started(finish(probe, true)));
}

TEST(call_gate, a_failed_probe_pauses_for_longer_but_never_over_a_second)
{
    open_breaker();
    duration max_pause{};
    for (int i = 0; i < 12; ++i)
    {
        m_now += 1s;
        CHECK_EQUAL(1, started(request_call()));
        finish(m_last, false);
        CHECK(m_gate.open(m_now));
        duration pause{};
        while (m_gate.open(m_now + pause))
            pause += 1ms;
        max_pause = std::max(max_pause, pause);
    }
    CHECK(max_pause <= duration(1s));
    CHECK(max_pause > duration(200ms));
}

TEST(call_gate, leases_have_reserved_tokens_when_other_calls_have_used_the_rest)
{
    std::size_t count = 0;
    for (int i = 0; i < 20; ++i)
    {
        count += started(request_call());
        finish(m_last, true);
    }
    CHECK(count < 10);
    CHECK_EQUAL(1, started(request_call(call_priority::lease)));
}

TEST(call_gate, a_call_that_waits_over_a_second_for_a_token_is_rejected)
{
    for (int i = 0; i < 12; ++i)
        request_call();
    m_now += 2s;
    CHECK(rejected(m_gate.handle(gate_tick{}, m_now)) > 0);
}

TEST(call_gate, never_exceeds_its_share_and_starts_or_rejects_every_call_once)
{
    CHECK(rc::check("random calls",
                    []
                    {
                        constexpr double writes_per_s = 20;
                        call_gate gate({.m_max_in_flight = 3, .m_writes_per_s = writes_per_s});
                        gate.handle(vm_count_changed{2}, start_time);
                        instant now = start_time;
                        gate_call_id last = 0;
                        std::map<gate_call_id, int> outcome_count;
                        std::vector<gate_call_id> running;
                        std::size_t count = 0;
                        const auto record = [&](const std::vector<gate_action>& actions)
                        {
                            for (const auto& action : actions)
                            {
                                const auto* start = std::get_if<start_call>(&action);
                                const auto id =
                                    start ? start->m_id : std::get<reject_call>(action).m_id;
                                RC_ASSERT(++outcome_count[id] == 1);
                                if (start != nullptr)
                                    running.push_back(id);
                                count += start != nullptr ? 1 : 0;
                            }
                            RC_ASSERT(running.size() <= 3);
                        };
                        const auto steps =
                            *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 4));
                        for (const int step : steps)
                        {
                            now += duration(10ms);
                            if (step < 2 || running.empty())
                                record(gate.handle(call_requested{++last, call_kind::write}, now));
                            else
                            {
                                const auto id = running.back();
                                running.pop_back();
                                record(gate.handle(call_finished{id, step == 2}, now));
                            }
                        }
                        // Two entry VMs share: half of the rate, after the first second's burst.
                        RC_ASSERT(count <= writes_per_s + writes_per_s / 2 * 2 + 1);
                        now += 5s;
                        record(gate.handle(gate_tick{}, now));
                        RC_ASSERT(gate.waiting() == 0u || gate.in_flight() == 3);
                    }));
}
