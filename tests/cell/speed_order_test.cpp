#include "dragonflygap/cell/speed_order.hpp"

#include <cmath>
#include <limits>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant now(100s);

class_speeds third_fast()
{
    class_speeds result;
    result.of(speed_class::fast) = {117, std::log(0.55)};
    result.of(speed_class::slow) = {233, std::log(1.35)};
    return result;
}

/// The urgent steps of the second deployment: stretch 1.5, slack 250 ms, 540 ms of work.
step_need urgent(duration start_delay = 200ms)
{
    return {.m_expected = 540ms,
            .m_chain = 566ms,
            .m_stretch = 1.5,
            .m_slack = 250ms,
            .m_start_delay = start_delay,
            .m_step_deviation = 0.5,
            .m_task_deviation = 0.1};
}

/// Its batch steps: stretch 4, slack 3 s.
step_need batch()
{
    return {.m_expected = 2900ms,
            .m_chain = 3160ms,
            .m_stretch = 4,
            .m_slack = 3s,
            .m_start_delay = 1s,
            .m_step_deviation = 0.5,
            .m_task_deviation = 0.1};
}

step_need times_three(step_need need)
{
    need.m_stretch *= 3;
    need.m_slack *= 3;
    return need;
}

speed_order choose(speed_demand& demand, const step_need& need, instant when = now,
                   const class_speeds& speeds = third_fast())
{
    const auto last_use = times_three(need);
    return demand.choose(speeds, &need, &last_use, when);
}

speed_class first_of(const speed_order& order)
{
    return order.classes().front();
}

} // namespace

TEST_GROUP(speed_order){};

TEST(speed_order, has_no_say_where_all_workers_are_alike)
{
    speed_demand demand;
    const auto order = choose(demand, urgent(), now, {});
    CHECK_FALSE(order.matters());
    for (const auto speed : order.classes())
        LONGS_EQUAL(0, order.position(speed));
}

TEST(speed_order, a_step_that_may_be_late_on_slow_workers_takes_fast_ones_first)
{
    speed_demand demand;
    const auto order = choose(demand, urgent());
    CHECK(first_of(order) == speed_class::fast);
    CHECK(order.classes().back() == speed_class::lagging);
}

TEST(speed_order, steps_with_time_leave_the_fast_workers_for_some_seconds)
{
    speed_demand demand;
    CHECK(first_of(choose(demand, batch())) == speed_class::fast); // Nobody else needs them.
    choose(demand, urgent());
    CHECK(first_of(choose(demand, batch())) != speed_class::fast);
    CHECK(choose(demand, batch()).position(speed_class::slow) <
          choose(demand, batch()).position(speed_class::fast));
    CHECK(first_of(choose(demand, batch(), now + 2900ms)) != speed_class::fast);
    CHECK(first_of(choose(demand, batch(), now + 3100ms)) == speed_class::fast);
    CHECK(first_of(choose(demand, urgent(), now + 3100ms)) == speed_class::fast);
}

// The bound follows from the objective: the same step with more slack may run anywhere.
TEST(speed_order, the_objective_decides_which_workers_are_fast_enough)
{
    auto need = urgent();
    need.m_step_deviation = 0;
    need.m_task_deviation = 0;
    // 1.5 times 566 ms and 250 ms, less 200 ms, for 540 ms of work.
    DOUBLES_EQUAL(std::log(899.0 / 540), certain_log_factor(need), 0.001);
    need.m_age = 200ms;
    need.m_start_delay = {};
    DOUBLES_EQUAL(std::log(899.0 / 540), certain_log_factor(need), 0.001);
    DOUBLES_EQUAL(std::log(899.0 / 540), possible_log_factor(need), 0.001);
    need.m_others = 540ms;
    DOUBLES_EQUAL(std::log(359.0 / 540), certain_log_factor(need), 0.001);
    need.m_age = 2s;
    CHECK(certain_log_factor(need) == -std::numeric_limits<double>::infinity());
    speed_demand demand;
    auto relaxed = urgent();
    relaxed.m_stretch = 4;
    choose(demand, relaxed);
    CHECK(first_of(choose(demand, batch())) == speed_class::fast); // No demand was recorded.
}

// It would take the room of jobs that can still be in time.
TEST(speed_order, a_job_that_is_too_late_for_its_objective_needs_no_fast_worker)
{
    speed_demand demand;
    auto late = urgent();
    late.m_age = 1200ms;
    choose(demand, late);
    CHECK(first_of(choose(demand, batch())) == speed_class::fast);
    choose(demand, urgent());
    CHECK(first_of(choose(demand, late)) != speed_class::fast);
    // Near three times its objective it takes the faster ones, where they aren't needed by others.
    late.m_age = 2700ms;
    CHECK(first_of(choose(demand, late)) == speed_class::fast);
}

// Delayed, but a fast worker can still do it.
TEST(speed_order, a_delayed_step_still_takes_fast_workers)
{
    speed_demand demand;
    auto delayed = urgent();
    delayed.m_age = 600ms;
    CHECK(first_of(choose(demand, delayed)) == speed_class::fast);
}

TEST(speed_order, steps_without_an_objective_take_what_others_leave)
{
    speed_demand demand;
    CHECK(first_of(demand.choose(third_fast(), nullptr, nullptr, now)) == speed_class::fast);
    choose(demand, urgent());
    const auto order = demand.choose(third_fast(), nullptr, nullptr, now);
    CHECK(order.position(speed_class::slow) < order.position(speed_class::fast));
}

TEST(speed_order, a_worker_that_lags_is_last_also_where_the_others_are_alike)
{
    class_speeds speeds;
    speeds.of(speed_class::usual) = {349, 0};
    speeds.of(speed_class::lagging) = {1, 0};
    speed_demand demand;
    for (const auto& need : {urgent(), batch()})
    {
        const auto order = choose(demand, need, now, speeds);
        CHECK_TRUE(order.matters());
        CHECK(order.classes().back() == speed_class::lagging);
        CHECK(order.position(speed_class::usual) < order.position(speed_class::lagging));
    }
}
