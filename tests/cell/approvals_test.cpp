#include "dragonflygap/cell/approvals.hpp"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(10s);

approval_desk make_desk()
{
    approval_desk desk({});
    desk.set_members({vm_id("a"), vm_id("b"), vm_id("c"), vm_id("d")});
    return desk;
}

} // namespace

TEST_GROUP(approvals){};

// Load pattern: plans whose approval takes half a second among lookups of ten milliseconds.
TEST(approvals, short_calls_do_not_wait_behind_long_ones)
{
    auto desk = make_desk();
    std::set<vm_id> used;
    for (int i = 0; i < 8; ++i)
        if (const auto through = desk.choose(500ms, 10s, start))
        {
            used.insert(*through);
            desk.asked(*through, 500ms, start);
        }
    LONGS_EQUAL(2, used.size());
    const auto quick = desk.choose(10ms, 10s, start);
    CHECK_TRUE(quick.has_value());
    LONGS_EQUAL(0, to_ms(desk.wait(*quick, start)));
}

TEST(approvals, nobody_is_asked_where_the_wait_is_too_long)
{
    auto desk = make_desk();
    for (const auto* vm : {"a", "b", "c", "d"})
        desk.asked(vm_id(vm), 2s, start);
    CHECK_FALSE(desk.choose(10ms, 300ms, start).has_value());
    CHECK_TRUE(desk.choose(10ms, 300ms, start + 1800ms).has_value());
}

TEST(approvals, a_member_that_is_gone_is_not_asked)
{
    auto desk = make_desk();
    desk.set_members({vm_id("b")});
    STRCMP_EQUAL("b", desk.choose(500ms, 1s, start)->m_value.c_str());
    desk.set_members({});
    CHECK_FALSE(desk.choose(500ms, 1s, start).has_value());
}

TEST(approvals, a_lapsed_ticket_is_not_used)
{
    step_approval approved;
    approved.m_tickets[worker_id("w")] = {"t", start + 1s};
    CHECK_TRUE(approved.usable(worker_id("w"), start) != nullptr);
    CHECK_TRUE(approved.usable(worker_id("w"), start + 1s) == nullptr);
}

TEST(approvals, a_ticket_is_told_once_as_used_or_unused)
{
    step_approval approved;
    approved.m_tickets[worker_id("a")] = {"a", start + 1s};
    approved.m_tickets[worker_id("b")] = {"b", start + 1s};
    approved.m_tickets[worker_id("c")] = {"c", start + 2s};
    CHECK_TRUE(approved.mark_used(worker_id("a")));
    CHECK_FALSE(approved.mark_used(worker_id("a")));
    CHECK_FALSE(approved.mark_used(worker_id("unknown")));
    LONGS_EQUAL(0, approved.take_unused(start));
    LONGS_EQUAL(1, approved.take_unused(start + 1s));
    LONGS_EQUAL(0, approved.take_unused(start + 1s));
    LONGS_EQUAL(1, approved.take_unused(instant::max()));
}

// Seen in scale-1 of a large site: of 570 calls 565 went through one VM that was taken for idle, as
// its earlier ones had timed out; 216 of them timed out too.
TEST(approvals, a_member_that_left_a_call_unanswered_is_not_taken_for_idle)
{
    auto desk = make_desk();
    const auto silent = desk.choose(10ms, 300ms, start);
    CHECK_TRUE(silent.has_value());
    desk.asked(*silent, 10ms, start);
    desk.set_silent(*silent, start + 2s);
    for (int i = 0; i < 20; ++i)
    {
        const auto next = desk.choose(10ms, 300ms, start + 2s);
        CHECK_TRUE(next.has_value());
        CHECK_TRUE(*next != *silent);
        desk.asked(*next, 10ms, start + 2s);
    }
    desk.set_members({*silent});
    CHECK_FALSE(desk.choose(10ms, 300ms, start + 2s).has_value());
    CHECK_TRUE(desk.choose(10ms, 300ms, start + 3s).has_value());
}
