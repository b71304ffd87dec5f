#include "dragonflygap/cell/commit_chain.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(10s);
const row_name leader_row{std::string(leader_table), std::string(leader_key)};

commit_chain make_chain()
{
    return {{}, {.m_epoch = 3, .m_vm = vm_id("a")}, 7};
}

outcome<transaction_result> conflict(const leader_record& row, std::uint64_t version)
{
    return transaction_result{.m_conflicts = {{leader_row, version, pack(row)}}};
}

} // namespace

TEST_GROUP(commit_chain){};

TEST(commit_chain, each_transaction_depends_on_the_one_before)
{
    auto chain = make_chain();
    const auto& first = chain.begin({}, start);
    UNSIGNED_LONGS_EQUAL(7, first.m_conditions.back().m_version);
    CHECK(commit_chain::status::committed ==
          chain.finish(transaction_result{.m_committed = true, .m_version = 12}, start));
    const auto& second = chain.begin({}, start + 1s);
    UNSIGNED_LONGS_EQUAL(12, second.m_conditions.back().m_version);
}

TEST(commit_chain, an_unknown_one_is_sent_again_as_it_was)
{
    auto chain = make_chain();
    const auto sent = chain.begin({}, start).m_writes.back().m_value;
    CHECK(commit_chain::status::retry ==
          chain.finish(fail(verdict::may_have_run, reason::target_silent, ""), start));
    CHECK_FALSE(chain.idle(start + 1s));
    CHECK_TRUE(chain.retry_at().has_value());
    CHECK(sent == chain.again(start).m_writes.back().m_value);
}

TEST(commit_chain, a_conflict_with_its_own_row_means_that_it_took_effect)
{
    auto chain = make_chain();
    chain.begin({}, start);
    chain.finish(fail(verdict::may_have_run, reason::target_silent, ""), start);
    chain.again(start);
    CHECK(commit_chain::status::committed == chain.finish(conflict(chain.record(), 9), start));
    UNSIGNED_LONGS_EQUAL(9, chain.begin({}, start + 1s).m_conditions.back().m_version);
}

TEST(commit_chain, another_epoch_in_the_row_ends_it)
{
    auto chain = make_chain();
    chain.begin({}, start);
    CHECK(commit_chain::status::deposed ==
          chain.finish(conflict({.m_epoch = 4, .m_vm = vm_id("b")}, 9), start));
}

TEST(commit_chain, one_that_was_only_refused_is_dropped_and_one_that_may_have_run_is_not)
{
    auto chain = make_chain();
    chain.begin({}, start);
    CHECK(commit_chain::status::refused ==
          chain.finish(fail(verdict::not_run, reason::target_refused, ""), start));
    CHECK_FALSE(chain.idle(start + 30ms));
    chain.begin({}, start + 1s);
    chain.finish(fail(verdict::may_have_run, reason::target_silent, ""), start + 1s);
    chain.again(start);
    CHECK(commit_chain::status::retry ==
          chain.finish(fail(verdict::not_run, reason::target_refused, ""), start + 2s));
}

// The store did it, and its answer was lost: the connection tells nothing more.
TEST(commit_chain, the_row_tells_of_a_transaction_whose_answer_is_lost)
{
    auto chain = make_chain();
    chain.begin({}, start);
    CHECK_TRUE(*chain.check_at() > start + 20ms);
    CHECK_TRUE(*chain.check_at() < start + 200ms);
    chain.check_sent(start + 60ms);
    CHECK_FALSE(chain.check_at().has_value());
    CHECK(commit_chain::status::committed ==
          chain.found(stored_row{leader_row, 9, pack(chain.record())}, start + 65ms));
    // The answer comes after all.
    CHECK_FALSE(chain.expects(chain.number()));
    UNSIGNED_LONGS_EQUAL(9, chain.begin({}, start + 1s).m_conditions.back().m_version);
}

TEST(commit_chain, a_transaction_that_a_quick_store_has_not_done_is_tried_again)
{
    auto chain = make_chain();
    const auto sent = chain.begin({}, start).m_writes.back().m_value;
    chain.check_sent(start + 60ms);
    CHECK(commit_chain::status::pending ==
          chain.found(stored_row{leader_row, 7, "as before"}, start + 65ms));
    CHECK_TRUE(*chain.retry_at() <= start + 65ms);
    CHECK(sent == chain.again(start + 70ms).m_writes.back().m_value);
}

// Its writes wait in one queue: more of them would make it slower.
TEST(commit_chain, a_slow_store_is_not_asked_for_the_same_write_twice)
{
    auto chain = make_chain();
    chain.begin({}, start);
    chain.check_sent(start + 60ms);
    chain.found(stored_row{leader_row, 7, "as before"}, start + 300ms);
    CHECK_FALSE(chain.retry_at().has_value());
    CHECK_TRUE(chain.check_at().has_value());
}

TEST(commit_chain, another_leader_found_in_the_row_ends_it)
{
    auto chain = make_chain();
    chain.begin({}, start);
    chain.check_sent(start + 60ms);
    const leader_record other{.m_epoch = 4, .m_vm = vm_id("b")};
    CHECK(commit_chain::status::deposed ==
          chain.found(stored_row{leader_row, 9, pack(other)}, start + 65ms));
}

TEST(commit_chain, only_so_many_tries_are_on_their_way)
{
    auto chain = make_chain();
    chain.begin({}, start);
    int tries = 1;
    for (auto now = start; now < start + 10s; now += 10ms)
        if (const auto check = chain.check_at(); check && now >= *check)
        {
            chain.check_sent(now);
            chain.found(stored_row{leader_row, 7, "as before"}, now);
        }
        else if (const auto due = chain.retry_at(); due && now >= *due)
        {
            chain.again(now);
            ++tries;
        }
    LONGS_EQUAL(commit_chain_options{}.m_most_tries, tries);
}

// One try was refused, of the other nothing is known: the jobs in it may be stored.
TEST(commit_chain, a_refused_try_does_not_settle_the_others)
{
    auto chain = make_chain();
    chain.begin({}, start);
    chain.again(start + 200ms);
    CHECK(commit_chain::status::pending ==
          chain.finish(fail(verdict::not_run, reason::target_refused, ""), start + 210ms));
    CHECK(commit_chain::status::retry ==
          chain.finish(fail(verdict::may_have_run, reason::target_silent, ""), start + 1500ms));
}

TEST(commit_chain, a_store_that_is_slow_for_everything_is_checked_less_often)
{
    auto chain = make_chain();
    auto now = start;
    for (std::uint64_t version = 8; version < 28; ++version, now += 520ms)
    {
        chain.begin({}, now);
        chain.finish(transaction_result{.m_committed = true, .m_version = version}, now + 500ms);
    }
    chain.begin({}, now);
    CHECK_TRUE(*chain.check_at() >= now + 1s);
    // One quick answer shows that it is over.
    chain.finish(transaction_result{.m_committed = true, .m_version = 30}, now + 10ms);
    chain.begin({}, now + 30ms);
    CHECK_TRUE(*chain.check_at() < now + 300ms);
}
