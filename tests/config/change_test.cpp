#include "dragonflygap/config/change.hpp"

#include <deque>

#include <rapidcheck.h>

#include "dragonflygap/emulator/table_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::config;

namespace
{

enum class table_fault
{
    none,
    down,           ///< Rejected, no effect.
    reply_lost,     ///< Took effect, reply lost.
    effect_delayed, ///< No reply; takes effect before the next commit.
};

/// A table that replies immediately and injects a fault into each commit.
struct faulty_table
{
    emulator::table_store m_store;
    std::deque<table_fault> m_faults;
    std::vector<std::vector<platform::row_write>> m_delayed;

    outcome<platform::commit_result> commit(const std::vector<platform::row_write>& writes)
    {
        const auto fault = m_faults.empty() ? table_fault::none : m_faults.front();
        if (!m_faults.empty())
            m_faults.pop_front();
        if (fault == table_fault::down)
            return fail(verdict::not_run, reason::platform_unavailable, "");
        for (const auto& delayed : std::exchange(m_delayed, {}))
            m_store.commit(delayed);
        if (fault == table_fault::effect_delayed)
        {
            m_delayed.push_back(writes);
            return fail(verdict::may_have_run, reason::timeout, "");
        }
        auto result = m_store.commit(writes);
        if (fault == table_fault::reply_lost)
            return fail(verdict::may_have_run, reason::timeout, "");
        return result;
    }

    revision current() const
    {
        const auto head = m_store.scan(head_key);
        if (head.empty())
            return {};
        const auto rows = m_store.scan(history_key(parse_head(head.front().m_value)));
        return decode_revision(rows.front().m_value).value();
    }
};

constexpr instant start_time{1000s};

outcome<revision> apply(faulty_table& table, const std::string& id, std::uint64_t expected)
{
    change subject({.m_id = id, .m_expected = expected, .m_text = "text of " + id});
    instant now = start_time;
    std::deque<change_action> pending;
    const auto enqueue = [&](std::vector<change_action> actions)
    { pending.insert(pending.end(), actions.begin(), actions.end()); };
    enqueue(subject.handle(change_started{}, now));
    for (;;)
    {
        const auto action = pending.front();
        pending.pop_front();
        now += 100ms;
        if (const auto* settled = std::get_if<change_settled>(&action))
            return settled->m_result;
        if (const auto* read = std::get_if<read_change_rows>(&action))
            enqueue(subject.handle(change_rows_read{table.m_store.scan(read->m_prefix)}, now));
        if (const auto* commit = std::get_if<commit_change>(&action))
            enqueue(subject.handle(change_committed{table.commit(commit->m_writes)}, now));
    }
}

} // namespace

TEST_GROUP(change)
{
    faulty_table m_table;
};

TEST(change, the_first_document_becomes_revision_one)
{
    CHECK_EQUAL(1, apply(m_table, "a", 0)->m_number);
    CHECK_EQUAL(2, apply(m_table, "b", 1)->m_number);
}

TEST(change, the_loser_of_a_race_gets_a_conflict_that_names_the_active_revision)
{
    apply(m_table, "a", 0);
    const auto lost = apply(m_table, "b", 0);
    CHECK(!lost.has_value());
    CHECK(lost.error().m_reason == reason::conflict);
    CHECK(lost.error().m_verdict == verdict::not_run);
    CHECK(lost.error().m_detail.find("version 1") != std::string::npos);
}

TEST(change, a_commit_whose_reply_was_lost_is_recognised_by_its_change_id)
{
    m_table.m_faults = {table_fault::reply_lost};
    CHECK_EQUAL(1, apply(m_table, "a", 0)->m_number);
    CHECK_EQUAL(1, m_table.current().m_number);
}

TEST(change, a_lost_reply_is_resolved_from_the_history_after_a_later_change)
{
    change subject({.m_id = "a", .m_expected = 0, .m_text = "t"});
    const auto read = [&](const std::vector<change_action>& actions)
    {
        const auto& prefix = std::get<read_change_rows>(actions.front()).m_prefix;
        return subject.handle(change_rows_read{m_table.m_store.scan(prefix)}, start_time);
    };
    const auto commit = read(read(subject.handle(change_started{}, start_time)));
    m_table.m_store.commit(std::get<commit_change>(commit.front()).m_writes);
    const auto again = subject.handle(
        change_committed{fail(verdict::may_have_run, reason::timeout, "")}, start_time);
    apply(m_table, "b", 1);
    const auto settled = read(read(again));
    CHECK_EQUAL(1, std::get<change_settled>(settled.front()).m_result->m_number);
}

TEST(change, a_change_fails_as_not_run_while_the_platform_is_down)
{
    m_table.m_faults = {table_fault::down};
    change subject({.m_id = "a", .m_expected = 0, .m_text = "t"});
    subject.handle(change_started{}, start_time);
    const auto actions = subject.handle(
        change_rows_read{fail(verdict::not_run, reason::platform_unavailable, "")}, start_time);
    CHECK(std::get<change_settled>(actions.front()).m_result.error().m_verdict == verdict::not_run);
}

TEST(change, the_reported_result_always_matches_the_table)
{
    CHECK(rc::check("random faults of racing changes",
                    []
                    {
                        faulty_table table;
                        std::uint64_t expected = 0;
                        for (int i = 0; i < 20; ++i)
                        {
                            const auto faults = *rc::gen::container<std::vector<int>>(
                                *rc::gen::inRange(0, 4), rc::gen::inRange(0, 4));
                            for (const int fault : faults)
                                table.m_faults.push_back(static_cast<table_fault>(fault));
                            const auto before = table.current().m_number;
                            const auto id = std::to_string(i);
                            const auto result = apply(table, id, expected);
                            for (const auto& delayed : std::exchange(table.m_delayed, {}))
                                table.m_store.commit(delayed);
                            const auto now = table.current();
                            RC_ASSERT(now.m_number >= before);
                            if (result)
                                RC_ASSERT(now.m_change == id);
                            else if (result.error().m_verdict == verdict::not_run)
                                RC_ASSERT(now.m_change != id);
                            expected =
                                *rc::gen::inRange<std::uint64_t>(0, 3) == 0 ? before : now.m_number;
                        }
                    }));
}
