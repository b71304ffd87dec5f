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
    CHECK(sent == chain.again().m_writes.back().m_value);
}

TEST(commit_chain, a_conflict_with_its_own_row_means_that_it_took_effect)
{
    auto chain = make_chain();
    chain.begin({}, start);
    chain.finish(fail(verdict::may_have_run, reason::target_silent, ""), start);
    chain.again();
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
    chain.again();
    CHECK(commit_chain::status::retry ==
          chain.finish(fail(verdict::not_run, reason::target_refused, ""), start + 2s));
}
