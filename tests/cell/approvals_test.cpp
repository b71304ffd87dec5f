#include "dragonflygap/cell/approvals.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(10s);

} // namespace

TEST_GROUP(approvals){};

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
