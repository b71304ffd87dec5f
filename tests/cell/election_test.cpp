#include "dragonflygap/cell/election.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(10s);
const leader_record other{.m_epoch = 5, .m_vm = vm_id("b"), .m_incarnation = 1};

election make_election()
{
    return {{}, vm_id("a"), start};
}

void hear(election& one, instant now, duration store_age = 0ms, bool resigns = false)
{
    one.heartbeat(5, 1, store_age, resigns, now);
}

} // namespace

TEST_GROUP(election){};

TEST(election, nobody_campaigns_while_a_leader_is_heard)
{
    auto one = make_election();
    for (auto now = start; now < start + 5s; now += 150ms)
    {
        hear(one, now);
        CHECK(election::advice::wait == one.next(now));
    }
}

TEST(election, a_silent_leader_whose_row_stands_still_is_replaced)
{
    auto one = make_election();
    hear(one, start);
    auto now = start + 600ms;
    CHECK(election::advice::read_row == one.next(now));
    one.row_read(other, 9, 0, now);
    CHECK(election::advice::wait == one.next(now + 100ms));
    CHECK(election::advice::campaign == one.next(now + 500ms));
}

TEST(election, the_row_is_watched_before_the_leader_counts_as_silent)
{
    auto one = make_election();
    hear(one, start);
    CHECK(election::advice::read_row == one.next(start + 300ms));
    one.row_read(other, 9, 0, start + 300ms);
    CHECK(election::advice::read_row == one.next(start + 450ms));
    one.row_read(other, 9, 0, start + 450ms);
    CHECK(election::advice::campaign == one.next(start + 700ms));
}

TEST(election, a_late_heartbeat_ends_the_watch)
{
    auto one = make_election();
    hear(one, start);
    one.next(start + 300ms);
    one.row_read(other, 9, 0, start + 300ms);
    hear(one, start + 400ms);
    CHECK(election::advice::wait == one.next(start + 650ms));
}

// This VM is cut off from a leader that goes on writing.
TEST(election, a_row_that_changes_has_a_writer)
{
    auto one = make_election();
    hear(one, start);
    std::uint64_t version = 9;
    for (auto now = start + 600ms; now < start + 10s; now += 200ms)
        switch (one.next(now))
        {
        case election::advice::campaign:
            FAIL("campaigns against a leader that writes");
            break;
        case election::advice::read_row:
            one.row_read(other, ++version, 0, now);
            break;
        case election::advice::wait:
            break;
        }
}

TEST(election, members_of_a_lower_rank_wait_longer)
{
    auto one = make_election();
    hear(one, start);
    const auto now = start + 600ms;
    one.next(now);
    one.row_read(other, 9, 8, now);
    CHECK(election::advice::campaign != one.next(now + 500ms));
}

TEST(election, a_leader_that_resigns_is_replaced_at_once)
{
    auto one = make_election();
    hear(one, start, 0ms, true);
    CHECK(election::advice::read_row == one.next(start + 10ms));
    one.row_read(other, 9, 8, start + 20ms);
    CHECK(election::advice::campaign == one.next(start + 200ms));
}

TEST(election, a_leader_that_the_store_does_not_answer_is_replaced)
{
    auto one = make_election();
    hear(one, start, 2s);
    CHECK(election::advice::read_row == one.next(start));
    one.row_read(other, 9, 0, start);
    hear(one, start + 150ms, 2150ms);
    CHECK(election::advice::campaign == one.next(start + 500ms));
}

TEST(election, nobody_campaigns_without_the_store)
{
    auto one = make_election();
    hear(one, start);
    for (auto now = start + 600ms; now < start + 10s; now += 200ms)
    {
        const auto advice = one.next(now);
        CHECK(election::advice::campaign != advice);
        if (advice == election::advice::read_row)
            one.read_failed(now);
    }
}
