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

void receive_heartbeat(election& member, instant now, duration store_age = 0ms,
                       bool resigns = false)
{
    member.heartbeat(5, 1, store_age, resigns, now);
}

} // namespace

TEST_GROUP(election){};

TEST(election, no_member_campaigns_while_heartbeats_arrive)
{
    auto member = make_election();
    for (auto now = start; now < start + 5s; now += 150ms)
    {
        receive_heartbeat(member, now);
        CHECK(election::advice::wait == member.next(now));
    }
}

TEST(election, a_silent_leader_with_an_unchanged_row_is_replaced)
{
    auto member = make_election();
    receive_heartbeat(member, start);
    auto now = start + 600ms;
    CHECK(election::advice::read_row == member.next(now));
    member.row_read(other, 9, 0, now);
    CHECK(election::advice::wait == member.next(now + 100ms));
    CHECK(election::advice::campaign == member.next(now + 500ms));
}

TEST(election, the_row_is_watched_before_the_leader_counts_as_silent)
{
    auto member = make_election();
    receive_heartbeat(member, start);
    CHECK(election::advice::read_row == member.next(start + 300ms));
    member.row_read(other, 9, 0, start + 300ms);
    CHECK(election::advice::read_row == member.next(start + 450ms));
    member.row_read(other, 9, 0, start + 450ms);
    CHECK(election::advice::campaign == member.next(start + 700ms));
}

TEST(election, a_late_heartbeat_ends_the_watch)
{
    auto member = make_election();
    receive_heartbeat(member, start);
    member.next(start + 300ms);
    member.row_read(other, 9, 0, start + 300ms);
    receive_heartbeat(member, start + 400ms);
    CHECK(election::advice::wait == member.next(start + 650ms));
}

// The leader is still active, but its heartbeats don't reach this VM.
TEST(election, a_leader_whose_row_changes_is_not_replaced)
{
    auto member = make_election();
    receive_heartbeat(member, start);
    std::uint64_t version = 9;
    for (auto now = start + 600ms; now < start + 10s; now += 200ms)
        switch (member.next(now))
        {
        case election::advice::campaign:
            FAIL("campaigns against a leader that writes");
            break;
        case election::advice::read_row:
            member.row_read(other, ++version, 0, now);
            break;
        case election::advice::wait:
            break;
        }
}

TEST(election, members_of_a_lower_rank_wait_longer)
{
    auto member = make_election();
    receive_heartbeat(member, start);
    const auto now = start + 600ms;
    member.next(now);
    member.row_read(other, 9, 8, now);
    CHECK(election::advice::campaign != member.next(now + 500ms));
}

TEST(election, a_leader_that_resigns_is_replaced_at_once)
{
    auto member = make_election();
    receive_heartbeat(member, start, 0ms, true);
    CHECK(election::advice::read_row == member.next(start + 10ms));
    member.row_read(other, 9, 8, start + 20ms);
    CHECK(election::advice::campaign == member.next(start + 200ms));
}

TEST(election, a_leader_that_the_store_does_not_answer_is_replaced)
{
    auto member = make_election();
    receive_heartbeat(member, start, 2s);
    CHECK(election::advice::read_row == member.next(start));
    member.row_read(other, 9, 0, start);
    receive_heartbeat(member, start + 150ms, 2150ms);
    CHECK(election::advice::campaign == member.next(start + 500ms));
}

TEST(election, no_member_campaigns_without_the_store)
{
    auto member = make_election();
    receive_heartbeat(member, start);
    for (auto now = start + 600ms; now < start + 10s; now += 200ms)
    {
        const auto advice = member.next(now);
        CHECK(election::advice::campaign != advice);
        if (advice == election::advice::read_row)
            member.read_failed(now);
    }
}
