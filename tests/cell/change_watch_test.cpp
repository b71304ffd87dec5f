#include "dragonflygap/cell/change_watch.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

TEST_GROUP(change_watch)
{
    instant m_now{10s};
    change_watch m_watch{{}};

    /// A watch that has read all rows; returns its first waiting read.
    table_read first_waiting_read()
    {
        const auto full = m_watch.next(m_now);
        LONGS_EQUAL(0, full->m_position);
        LONGS_EQUAL(0, to_ms(full->m_wait));
        CHECK_TRUE(m_watch.answered(full->m_number, {7}, m_now));
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
    const auto waiting = first_waiting_read();
    CHECK_TRUE(m_watch.answered(waiting.m_number, {0}, m_now));
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
