#include "dragonflygap/cell/change_watch.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

TEST_GROUP(change_watch)
{
    instant m_now{10s};
    change_watch m_watch{{}};

    static read_extent part_up_to(std::uint64_t position)
    {
        return {.m_position = position, .m_rows = 500, .m_up_to_date = false};
    }

    /// A watch that has read all rows; returns its first waiting read.
    table_read first_waiting_read(std::size_t rows = 0)
    {
        const auto full = m_watch.next(m_now);
        LONGS_EQUAL(0, full->m_position);
        LONGS_EQUAL(0, to_ms(full->m_wait));
        CHECK_TRUE(m_watch.answered(full->m_number, {.m_position = 7, .m_rows = rows}, m_now));
        return *m_watch.next(m_now);
    }
};

TEST(change_watch, reads_all_rows_and_then_waits_for_changes)
{
    const auto waiting = first_waiting_read();
    LONGS_EQUAL(7, waiting.m_position);
    CHECK(waiting.m_wait > duration{});
    CHECK_FALSE(waiting.m_new_connection);
    CHECK_FALSE(m_watch.next(m_now + waiting.m_wait).has_value());
    m_now += 500ms;
    CHECK_TRUE(m_watch.answered(waiting.m_number, {9}, m_now));
    LONGS_EQUAL(9, m_watch.next(m_now)->m_position);
}

TEST(change_watch, an_overdue_read_is_repeated_on_a_new_connection_without_waiting)
{
    const auto waiting = first_waiting_read();
    m_now += waiting.m_wait + 300ms;
    const auto probe = m_watch.next(m_now);
    CHECK_TRUE(probe.has_value());
    CHECK_TRUE(probe->m_new_connection);
    LONGS_EQUAL(0, to_ms(probe->m_wait));
    LONGS_EQUAL(7, probe->m_position);
    m_now += 5ms;
    CHECK_TRUE(m_watch.answered(probe->m_number, {8}, m_now));
    CHECK(m_watch.confirmed_at() == m_now - 5ms);
}

// Of a cell of 350 workers: 80 reads a second, as some worker had always just written its
// heartbeat.
TEST(change_watch, a_table_that_changes_all_the_time_is_read_at_intervals)
{
    m_watch = change_watch({.m_min_interval = 150ms});
    int reads = 0;
    for (std::uint64_t position = 10; position < 1010; ++position, m_now += 1ms)
        if (const auto read = m_watch.next(m_now))
        {
            ++reads;
            CHECK_TRUE(
                m_watch.answered(read->m_number, {.m_position = position, .m_rows = 1}, m_now));
        }
    CHECK_COMPARE(reads, <=, 8);
    CHECK_COMPARE(reads, >=, 6);
}

// A store that answers slowly isn't flooded.
TEST(change_watch, repeated_reads_are_limited_and_become_rarer)
{
    first_waiting_read();
    int reads = 0;
    for (int i = 0; i < 2400; ++i, m_now += 1ms)
        reads += m_watch.next(m_now) ? 1 : 0;
    LONGS_EQUAL(2, reads);
}

TEST(change_watch, a_late_answer_does_not_undo_later_changes)
{
    const auto waiting = first_waiting_read();
    m_now += waiting.m_wait + 300ms;
    const auto probe = m_watch.next(m_now);
    CHECK_TRUE(m_watch.answered(probe->m_number, {12}, m_now));
    CHECK_FALSE(m_watch.answered(waiting.m_number, {10}, m_now));
    LONGS_EQUAL(12, m_watch.next(m_now)->m_position);
}

TEST(change_watch, all_rows_are_read_again_after_a_gap_in_the_history)
{
    const auto first = first_waiting_read();
    CHECK_TRUE(m_watch.answered(first.m_number, {.m_position = 8, .m_rows = 1}, m_now += 100ms));
    const auto confirmed_at = m_watch.confirmed_at();
    const auto waiting = *m_watch.next(m_now);
    CHECK_FALSE(m_watch.answered(waiting.m_number, {0}, m_now += 100ms));
    CHECK(m_watch.confirmed_at() == confirmed_at);
    CHECK_FALSE(m_watch.next(m_now).has_value()); // Not in a loop, should the table be empty.
    m_now += 300ms;
    LONGS_EQUAL(0, m_watch.next(m_now)->m_position);
}

TEST(change_watch, a_refused_read_is_repeated_after_a_delay)
{
    const auto waiting = first_waiting_read();
    m_now += 400ms;
    m_watch.failed(waiting.m_number, true, m_now);
    CHECK_FALSE(m_watch.next(m_now).has_value());
    m_now += 300ms;
    CHECK_TRUE(m_watch.next(m_now)->m_new_connection);
}

// A store that resets each connection at once.
TEST(change_watch, reads_that_are_reset_at_once_are_repeated_after_a_delay)
{
    auto read = std::optional(first_waiting_read());
    int reads = 0;
    for (int i = 0; i < 3000; ++i, m_now += 1ms)
    {
        if (read)
            m_watch.failed(read->m_number, false, m_now);
        read = m_watch.next(m_now);
        reads += read ? 1 : 0;
    }
    CHECK_COMPARE(reads, <=, 11);
}

// Incident DRAIN of serra-la-tear-grown: a full answer of the feed was taken for all changes.
TEST(change_watch, an_answer_that_may_be_a_part_confirms_nothing)
{
    const auto first = first_waiting_read(1000);
    const auto confirmed_at = m_now;
    CHECK_TRUE(m_watch.answered(first.m_number, {.m_position = 8, .m_rows = 1}, m_now += 100ms));
    const auto second = m_watch.next(m_now);
    CHECK_TRUE(m_watch.answered(second->m_number, part_up_to(507), m_now += 400ms));
    CHECK(m_watch.confirmed_at() == confirmed_at);
    const auto rest = m_watch.next(m_now);
    LONGS_EQUAL(507, rest->m_position);
    LONGS_EQUAL(0, to_ms(rest->m_wait));
    CHECK_TRUE(m_watch.answered(rest->m_number, {.m_position = 600, .m_rows = 93}, m_now + 5ms));
    CHECK(m_watch.confirmed_at() == m_now);
}

// The history grows with the time since the last read, the table with the number of workers.
TEST(change_watch, a_history_longer_than_the_table_is_not_read_to_its_end)
{
    auto read = first_waiting_read(1100);
    for (const std::uint64_t position : {507, 1007})
    {
        CHECK_TRUE(m_watch.answered(read.m_number, part_up_to(position), m_now += 100ms));
        read = *m_watch.next(m_now);
        LONGS_EQUAL(position, read.m_position);
    }
    CHECK_TRUE(m_watch.answered(read.m_number, part_up_to(1507), m_now += 100ms));
    read = *m_watch.next(m_now);
    LONGS_EQUAL(0, read.m_position);
    const auto sent_at = m_now;
    CHECK_TRUE(m_watch.answered(read.m_number, {.m_position = 9000, .m_rows = 1100}, m_now += 1s));
    CHECK(m_watch.confirmed_at() == sent_at);
    LONGS_EQUAL(9000, m_watch.next(m_now)->m_position);
}

// Read again from the same position, the feed would list the same rows again.
TEST(change_watch, a_part_that_was_read_already_changes_nothing)
{
    const auto waiting = first_waiting_read(5000);
    m_now += waiting.m_wait + 300ms;
    const auto probe = m_watch.next(m_now);
    CHECK_TRUE(m_watch.answered(probe->m_number, part_up_to(507), m_now));
    CHECK_FALSE(m_watch.answered(waiting.m_number, part_up_to(507), m_now));
    LONGS_EQUAL(507, m_watch.next(m_now)->m_position);
}
