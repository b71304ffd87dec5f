#include "dragonflygap/cell/approvals.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(10s);

approval_balancer make_balancer()
{
    approval_balancer balancer({});
    balancer.set_members({vm_id("a"), vm_id("b"), vm_id("c"), vm_id("d")});
    return balancer;
}

} // namespace

TEST_GROUP(approvals){};

// Calls of half a second and of ten milliseconds share the VMs.
TEST(approvals, short_calls_do_not_wait_behind_long_ones)
{
    auto balancer = make_balancer();
    std::set<vm_id> used;
    for (int i = 0; i < 8; ++i)
        if (const auto via = balancer.choose(500ms, 10s, start))
        {
            used.insert(*via);
            balancer.record_call(*via, 500ms, start);
        }
    LONGS_EQUAL(2, used.size());
    const auto quick = balancer.choose(10ms, 10s, start);
    CHECK_TRUE(quick.has_value());
    LONGS_EQUAL(0, to_ms(balancer.queue_delay(*quick, start)));
}

TEST(approvals, no_vm_is_chosen_if_the_wait_is_too_long)
{
    auto balancer = make_balancer();
    for (const auto* vm : {"a", "b", "c", "d"})
        balancer.record_call(vm_id(vm), 2s, start);
    CHECK_FALSE(balancer.choose(10ms, 300ms, start).has_value());
    CHECK_TRUE(balancer.choose(10ms, 300ms, start + 1800ms).has_value());
}

TEST(approvals, a_removed_member_is_not_chosen)
{
    auto balancer = make_balancer();
    balancer.set_members({vm_id("b")});
    STRCMP_EQUAL("b", balancer.choose(500ms, 1s, start)->m_value.c_str());
    balancer.set_members({});
    CHECK_FALSE(balancer.choose(500ms, 1s, start).has_value());
}

TEST(approvals, a_lapsed_ticket_is_not_used)
{
    step_approval approved;
    approved.m_tickets[7] = {"t", start + 1s};
    CHECK_TRUE(approved.find_valid_ticket(7, start) != nullptr);
    CHECK_TRUE(approved.find_valid_ticket(7, start + 1s) == nullptr);
}

TEST(approvals, each_ticket_is_counted_once_as_used_or_unused)
{
    step_approval approved;
    approved.m_tickets[1] = {"a", start + 1s};
    approved.m_tickets[2] = {"b", start + 1s};
    approved.m_tickets[3] = {"c", start + 2s};
    CHECK_TRUE(approved.mark_used(1));
    CHECK_FALSE(approved.mark_used(1));
    CHECK_FALSE(approved.mark_used(4));
    LONGS_EQUAL(0, approved.drop_lapsed(start));
    LONGS_EQUAL(1, approved.drop_lapsed(start + 1s));
    LONGS_EQUAL(0, approved.drop_lapsed(start + 1s));
    LONGS_EQUAL(1, approved.drop_lapsed(instant::max()));
}

// A number is given to another worker once its first one was removed.
TEST(approvals, a_removed_workers_decision_is_forgotten)
{
    step_approval approved;
    approved.approve(1);
    approved.deny(2);
    approved.deny(1);
    CHECK_TRUE(approved.is_approved(1));
    LONGS_EQUAL(1, approved.denied_count());
    approved.m_tickets[1] = {"a", start + 1s};
    approved.forget(1);
    approved.forget(2);
    CHECK_FALSE(approved.is_known(1));
    CHECK_FALSE(approved.is_known(2));
    CHECK_TRUE(approved.find_valid_ticket(1, start) == nullptr);
    CHECK_TRUE(approved.no_answer());
}

// Seen in run scale-1 of a large site: 565 of 570 calls went through one VM that was considered
// idle because its earlier calls had timed out; 216 of them timed out too.
TEST(approvals, an_unresponsive_member_is_not_treated_as_idle)
{
    auto balancer = make_balancer();
    const auto silent = balancer.choose(10ms, 300ms, start);
    CHECK_TRUE(silent.has_value());
    balancer.record_call(*silent, 10ms, start);
    balancer.set_unresponsive(*silent, start + 2s);
    for (int i = 0; i < 20; ++i)
    {
        const auto next = balancer.choose(10ms, 300ms, start + 2s);
        CHECK_TRUE(next.has_value());
        CHECK_TRUE(*next != *silent);
        balancer.record_call(*next, 10ms, start + 2s);
    }
    balancer.set_members({*silent});
    CHECK_FALSE(balancer.choose(10ms, 300ms, start + 2s).has_value());
    CHECK_TRUE(balancer.choose(10ms, 300ms, start + 3s).has_value());
}
