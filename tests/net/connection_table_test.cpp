#include "dragonflygap/net/connection_table.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

using connection_id = connection_table::connection_id;

constexpr http_limits limits{.m_max_connections = 4, .m_max_buffered_bytes = 1000};
constexpr std::size_t max_idle = 3;

instant at(duration since_start)
{
    return instant{} + 1h + since_start;
}

} // namespace

TEST_GROUP(connection_table)
{
    connection_table m_table{limits, max_idle};

    connection_id open(duration when, connection_phase phase = connection_phase::idle)
    {
        const auto id = m_table.open(at(when));
        m_table.enter(id, phase, at(when));
        return id;
    }

    void check_expired(duration when, std::size_t expected)
    {
        LONGS_EQUAL(expected, m_table.expired(at(when)).size());
    }
};

TEST(connection_table, a_connection_that_waits_for_its_handler_never_gives_way)
{
    open(0s, connection_phase::handling);
    const auto idle = open(1s);
    const auto sending = open(2s, connection_phase::body);
    const auto waiting = m_table.longest_waiting(10);
    LONGS_EQUAL(2, waiting.size());
    LONGS_EQUAL(idle, waiting[0]);
    LONGS_EQUAL(sending, waiting[1]);
}

TEST(connection_table, the_connection_that_waits_the_longest_gives_way_first_in_whatever_phase)
{
    const auto sending = open(0s, connection_phase::head);
    const auto idle = open(1s);
    const auto reading = open(2s, connection_phase::response);
    CHECK_FALSE(m_table.full());
    open(3s, connection_phase::handling);
    CHECK_TRUE(m_table.full());
    LONGS_EQUAL(sending, m_table.longest_waiting(1).front());
    m_table.progress(sending, at(4s));
    LONGS_EQUAL(idle, m_table.longest_waiting(1).front());
    m_table.close(idle);
    LONGS_EQUAL(reading, m_table.longest_waiting(1).front());
    CHECK_FALSE(m_table.full());
}

TEST(connection_table, only_idle_connections_count_towards_their_limit)
{
    const auto first = open(0s);
    open(1s);
    open(2s);
    open(3s, connection_phase::handling);
    LONGS_EQUAL(0, m_table.excess_idle());
    open(4s);
    LONGS_EQUAL(1, m_table.excess_idle());
    LONGS_EQUAL(first, m_table.longest_idle(1).front());
}

// Clients at the limit of a body must not keep out those that send a few KB.
TEST(connection_table, the_largest_request_gives_way_to_a_smaller_one)
{
    const auto large = open(0s, connection_phase::body);
    const auto larger = open(1s, connection_phase::body);
    const auto small = open(2s);
    m_table.hold(large, 400);
    m_table.hold(larger, 590);
    CHECK_FALSE(m_table.over_limit(larger));
    m_table.hold(small, 11);
    LONGS_EQUAL(larger, *m_table.over_limit(small));
    m_table.close(larger);
    CHECK_FALSE(m_table.over_limit(small));
    LONGS_EQUAL(411, m_table.held_bytes());
}

TEST(connection_table, a_request_gives_way_itself_if_it_is_the_largest_that_can)
{
    const auto handled = open(0s, connection_phase::body);
    m_table.hold(handled, 900);
    m_table.enter(handled, connection_phase::handling, at(1s));
    const auto small = open(1s, connection_phase::body);
    m_table.hold(small, 50);
    const auto next = open(2s, connection_phase::body);
    m_table.hold(next, 60);
    LONGS_EQUAL(next, *m_table.over_limit(next));
}

// An operator's list of all jobs may be larger than what all connections may hold.
TEST(connection_table, what_is_held_by_one_connection_alone_is_never_too_much)
{
    const auto only = open(0s, connection_phase::response);
    m_table.hold(only, 5000);
    CHECK_FALSE(m_table.over_limit(only));
    const auto other = open(1s);
    m_table.hold(other, 1);
    LONGS_EQUAL(only, *m_table.over_limit(other));
}

TEST(connection_table, each_phase_has_its_time_limit)
{
    const connection_phase phases[] = {connection_phase::idle, connection_phase::head,
                                       connection_phase::body, connection_phase::response};
    const duration timeouts[] = {limits.m_idle_timeout, limits.m_head_timeout,
                                 limits.m_body_timeout, limits.m_response_timeout};
    const http_limit names[] = {http_limit::idle_timeout, http_limit::head_timeout,
                                http_limit::body_timeout, http_limit::response_timeout};
    for (std::size_t i = 0; i < std::size(phases); ++i)
    {
        connection_table table(limits, max_idle);
        const auto id = table.open(at(0s));
        table.enter(id, phases[i], at(0s));
        LONGS_EQUAL(0, table.expired(at(timeouts[i] - 1ms)).size());
        LONGS_EQUAL(0, table.expired(at(timeouts[i])).size());
        const auto expired = table.expired(at(timeouts[i] + 500ms));
        LONGS_EQUAL(1, expired.size());
        LONGS_EQUAL(id, expired[0].m_connection);
        CHECK(names[i] == expired[0].m_limit);
    }
}

TEST(connection_table, a_request_may_be_handled_for_any_time)
{
    open(0s, connection_phase::handling);
    check_expired(1h, 0);
    check_expired(2h, 0);
}

// A process that was paused sees the time pass before it reads what has arrived meanwhile.
TEST(connection_table, bytes_that_arrived_during_a_pause_are_read_before_the_limit_applies)
{
    const auto id = open(0s, connection_phase::head);
    check_expired(20s, 0);
    m_table.enter(id, connection_phase::handling, at(20s));
    m_table.enter(id, connection_phase::idle, at(21s));
    check_expired(21s, 0);
}

TEST(connection_table, a_client_that_goes_on_to_read_its_response_is_not_late)
{
    const auto id = open(0s, connection_phase::response);
    for (int i = 1; i < 10; ++i)
    {
        m_table.progress(id, at(i * 10s));
        check_expired(i * 10s + 9s, 0);
    }
}
