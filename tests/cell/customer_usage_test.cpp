#include "dragonflygap/cell/customer_usage.hpp"

#include <string>
#include <utility>
#include <vector>

#include "dragonflygap/cell/customer_gate.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

customer_rules rules(const std::string& name, const resources& limit)
{
    return {.m_name = customer_id(name), .m_limit = limit};
}

/// One listed customer.
struct limited_customer
{
    explicit limited_customer(const resources& limit)
    {
        const std::vector<customer_rules> all{rules("acme", limit)};
        m_usage.set_limits(all);
        m_index = m_usage.find(customer_id("acme"));
    }

    customer_start task(const resources& size) const
    {
        return {.m_customer = m_index, .m_size = size};
    }
    customer_start task(std::int64_t millicores) const
    {
        return task(resources{.m_millicores = millicores});
    }
    int starts(std::int64_t millicores) const { return m_usage.max_starts(task(millicores), 100); }
    void use(std::int64_t millicores) { m_usage.add(m_index, {.m_millicores = millicores}, true); }

    customer_usage m_usage;
    customer_index m_index = no_customer;
};

} // namespace

TEST_GROUP(customer_usage){};

TEST(customer_usage, tasks_start_up_to_the_limit)
{
    limited_customer customer({.m_millicores = 10000});
    LONGS_EQUAL(10, customer.starts(1000));
    customer.use(7000);
    LONGS_EQUAL(3, customer.starts(1000));
    customer.use(3000);
    LONGS_EQUAL(0, customer.starts(1000));
    LONGS_EQUAL(0, customer.starts(1));
}

// A customer whose tasks are larger than its limit could never run one.
TEST(customer_usage, a_task_larger_than_the_limit_starts_alone)
{
    limited_customer customer({.m_millicores = 10000});
    LONGS_EQUAL(1, customer.starts(30000));
    customer.use(5000);
    LONGS_EQUAL(1, customer.starts(30000));
    customer.use(1);
    LONGS_EQUAL(0, customer.starts(30000));
}

// With tasks of 60% of the limit, a customer at 45% would wait for its last run to end.
TEST(customer_usage, from_half_of_the_limit_one_task_may_go_beyond_it)
{
    limited_customer customer({.m_millicores = 10000});
    customer.use(4500);
    LONGS_EQUAL(1, customer.starts(6000));
    LONGS_EQUAL(2, customer.starts(2750));
}

// What max_starts() allows at once has to be what the rule allows one after another.
TEST(customer_usage, starts_at_once_are_those_allowed_one_after_another)
{
    for (std::int64_t size = 1; size <= 25; ++size)
        for (std::int64_t used = 0; used <= 25; ++used)
            for (const std::int64_t limit : {1, 9, 10, 20})
            {
                limited_customer customer({.m_millicores = limit});
                customer.use(used);
                int expected = 0;
                for (auto now = used;
                     now + size <= limit || (2 * now <= limit && now + size - size <= limit);
                     now += size)
                    ++expected;
                LONGS_EQUAL(expected, customer.starts(size));
            }
}

TEST(customer_usage, a_gang_starts_whole_or_not_at_all)
{
    limited_customer customer({.m_millicores = 10000});
    CHECK_TRUE(customer.m_usage.fits_gang(customer.task(1000), 11)); // its last task is above
    CHECK_FALSE(customer.m_usage.fits_gang(customer.task(1000), 12));
    CHECK_FALSE(customer.m_usage.ever_fits_gang(customer.task(1000), 12));
    customer.use(6000);
    CHECK_TRUE(customer.m_usage.fits_gang(customer.task(1000), 4));
    CHECK_FALSE(customer.m_usage.fits_gang(customer.task(1000), 5));
    CHECK_TRUE(customer.m_usage.ever_fits_gang(customer.task(1000), 5));
}

TEST(customer_usage, each_limited_dimension_holds_by_itself)
{
    limited_customer customer({.m_millicores = 10000, .m_memory_mb = 1000});
    const resources size{.m_millicores = 1000, .m_memory_mb = 300, .m_accelerators = 8};
    LONGS_EQUAL(3, customer.m_usage.max_starts(customer.task(size), 100));
    customer.m_usage.add(customer.m_index, {.m_memory_mb = 1001}, true);
    LONGS_EQUAL(0, customer.starts(1000));
}

TEST(customer_usage, zero_is_no_limit_and_jobs_without_a_customer_have_none)
{
    limited_customer customer({});
    customer.use(1000000);
    LONGS_EQUAL(100, customer.starts(1000));
    LONGS_EQUAL(100, customer.m_usage.max_starts({.m_size = {.m_millicores = 1}}, 100));
    LONGS_EQUAL(100, customer_usage().max_starts({.m_size = {.m_millicores = 1}}, 100));
}

// A leader that knows no configuration would start without a limit.
TEST(customer_usage, nothing_starts_for_a_customer_before_the_configuration_is_known)
{
    customer_usage usage;
    const customer_start task{.m_customer = usage.index_of(customer_id("acme")),
                              .m_size = {.m_millicores = 1},
                              .m_stored_limit = {.m_millicores = 1000}};
    LONGS_EQUAL(0, usage.max_starts(task, 1));
    CHECK_FALSE(usage.fits_gang(task, 1));
    usage.set_limits({});
    LONGS_EQUAL(1, usage.max_starts(task, 1));
}

TEST(customer_usage, a_customer_that_is_no_longer_listed_has_the_strictest_limit_known)
{
    limited_customer customer({.m_millicores = 10000, .m_memory_mb = 500});
    auto task = customer.task(resources{.m_millicores = 1000, .m_memory_mb = 100});
    task.m_stored_limit = {.m_millicores = 3000};
    LONGS_EQUAL(5, customer.m_usage.max_starts(task, 100)); // as listed
    customer.m_usage.set_limits({});
    LONGS_EQUAL(3, customer.m_usage.max_starts(task, 100));
    task.m_stored_limit = {.m_millicores = 20000};
    LONGS_EQUAL(5, customer.m_usage.max_starts(task, 100));
}

TEST(customer_usage, what_may_run_unknown_counts_for_every_customer)
{
    limited_customer customer({.m_millicores = 10000});
    customer.m_usage.set_unknown({.m_millicores = 6000}, {.m_millicores = 4000});
    LONGS_EQUAL(4, customer.starts(1000)); // It has no restored tasks.
    customer.m_usage.set_restored({{}, {.m_millicores = 3000}});
    LONGS_EQUAL(1, customer.starts(1000));
    customer.m_usage.set_restored({{}, {.m_millicores = 30000}});
    LONGS_EQUAL(0, customer.starts(1000));
}

TEST(customer_usage, claims_of_the_same_or_a_higher_priority_are_left_to_those_who_made_them)
{
    limited_customer customer({.m_millicores = 10000});
    customer.m_usage.add_claim(customer.m_index, 1, {.m_millicores = 8000});
    auto task = customer.task(1000);
    task.m_priority = 0;
    LONGS_EQUAL(10, customer.m_usage.max_starts(task, 100));
    task.m_priority = 1;
    LONGS_EQUAL(2, customer.m_usage.max_starts(task, 100));
    task.m_ignores_claims = true;
    LONGS_EQUAL(10, customer.m_usage.max_starts(task, 100));
    customer.m_usage.remove_claim(customer.m_index, 1, {.m_millicores = 8000});
    LONGS_EQUAL(10, customer.starts(1000));
}

// A step that isn't woken would wait for its next regular visit.
TEST(customer_usage, whatever_lets_more_start_is_a_change)
{
    limited_customer customer({.m_millicores = 10000});
    auto changed = [&, last = customer.m_usage.changes(customer.m_index)]() mutable
    { return std::exchange(last, customer.m_usage.changes(customer.m_index)) != last; };
    customer.use(1000);
    customer.m_usage.add_claim(customer.m_index, 1, {.m_millicores = 1000});
    CHECK_FALSE(changed());
    customer.m_usage.remove(customer.m_index, {.m_millicores = 1000}, true);
    CHECK_TRUE(changed());
    customer.m_usage.remove_claim(customer.m_index, 1, {.m_millicores = 1000});
    CHECK_TRUE(changed());
    customer.m_usage.set_unknown({.m_millicores = 1}, {});
    CHECK_TRUE(changed());
    customer.m_usage.set_unknown({.m_millicores = 1}, {});
    CHECK_FALSE(changed());
    customer.m_usage.set_restored({{}, {.m_millicores = 3000}});
    CHECK_TRUE(changed());
    customer.m_usage.set_limits({});
    CHECK_TRUE(changed());
}

namespace
{

constexpr customer_index acme = 1;

/// Passes in which the limit holds back a step of one customer.
struct held_passes
{
    void pass(bool gang, bool under_half, instant since)
    {
        m_gate.begin_pass(m_now);
        m_gate.hold(acme, {.m_since = since, .m_gang = gang, .m_under_half = under_half});
    }
    /// Until a time from the start on.
    void run_until(duration end, bool gang, bool under_half)
    {
        for (; m_now < m_start + end; m_now += 100ms)
            pass(gang, under_half, m_start);
        pass(gang, under_half, m_start);
    }

    const instant m_start{10s};
    instant m_now = m_start;
    customer_gate m_gate;
};

} // namespace

TEST_GROUP(customer_gate){};

TEST(customer_gate, later_steps_of_the_customer_wait_in_that_pass)
{
    held_passes held;
    held.m_gate.begin_pass(held.m_now);
    CHECK_FALSE(held.m_gate.is_closed(acme));
    held.pass(true, false, held.m_start);
    CHECK_TRUE(held.m_gate.is_closed(acme));
    CHECK_FALSE(held.m_gate.is_closed(acme + 1));
    CHECK_FALSE(held.m_gate.is_closed(no_customer));
    held.m_gate.begin_pass(held.m_now);
    CHECK_FALSE(held.m_gate.is_closed(acme));
}

// A gang of 90% of the limit waits while 30% are in use. Without this the customer's small jobs
// wait beside free capacity, although it uses less than half of its limit.
TEST(customer_gate, steps_of_a_customer_that_uses_little_may_overtake_a_gang_for_a_while)
{
    held_passes held;
    held.run_until(1400ms, true, true);
    CHECK_FALSE(held.m_gate.may_overtake(acme));
    held.run_until(1500ms, true, true);
    CHECK_TRUE(held.m_gate.may_overtake(acme));
    held.run_until(1600ms, true, false);
    CHECK_FALSE(held.m_gate.may_overtake(acme));
    held.run_until(3500ms, true, true);
    CHECK_TRUE(held.m_gate.may_overtake(acme));
    held.run_until(10s, true, true);
    CHECK_FALSE(held.m_gate.may_overtake(acme)); // It would starve.
}

// Runs that last for hours may never leave the gang its place.
TEST(customer_gate, a_gang_keeps_others_waiting_in_turns)
{
    held_passes held;
    held.run_until(29900ms, true, false);
    CHECK_TRUE(held.m_gate.is_closed(acme));
    held.run_until(30s, true, false);
    CHECK_FALSE(held.m_gate.is_closed(acme));
    held.run_until(60s, true, false);
    CHECK_TRUE(held.m_gate.is_closed(acme));
    // Other steps are held back only while there is no place for them either.
    held_passes narrow;
    narrow.run_until(30s, false, false);
    CHECK_TRUE(narrow.m_gate.is_closed(acme));
}

TEST(customer_gate, time_in_which_no_step_was_held_back_does_not_count)
{
    held_passes held;
    held.run_until(1400ms, true, true);
    held.m_gate.begin_pass(held.m_now);
    held.m_gate.begin_pass(held.m_now);
    held.run_until(1600ms, true, true);
    CHECK_FALSE(held.m_gate.may_overtake(acme));
}
