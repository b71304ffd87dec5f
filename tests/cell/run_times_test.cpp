#include "dragonflygap/cell/run_times.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const queue_rules batch{.m_name = queue_id("batch"), .m_service = service_id("pool")};

step_spec step_of(int count, std::int64_t estimate_ms)
{
    return {.m_count = count, .m_expected_ms = estimate_ms};
}

/// Workers that run steps, each task on a worker of its own.
struct fleet
{
    explicit fleet(int workers) : m_speeds(workers, 1.0) {}

    /// The workers in turn, in another order each time.
    int next()
    {
        if (m_turn.empty())
        {
            m_turn.resize(m_speeds.size());
            std::iota(m_turn.begin(), m_turn.end(), 0);
            std::shuffle(m_turn.begin(), m_turn.end(), m_random);
        }
        const int worker = m_turn.back();
        m_turn.pop_back();
        return worker;
    }

    duration time_on(int worker, double work_ms)
    {
        const double noise = std::exp(m_task_deviation * m_normal(m_random));
        return duration(std::llround(1000 * noise * work_ms / m_speeds[worker]));
    }

    /// Runs a step's tasks on as many workers, each of which gets about as many; ends them in order of
    /// their time.
    void run_step(const step_spec& spec, double work_ms, const queue_rules& queue = batch)
    {
        std::multimap<duration, int> ends;
        for (int i = 0; i < spec.m_count; ++i)
        {
            const int worker = next();
            ends.emplace(time_on(worker, work_ms), worker);
        }
        step_times step;
        auto left = ends.size();
        for (const auto& [time, worker] : ends)
            m_times.add({.m_queue = queue,
                         .m_spec = spec,
                         .m_worker = static_cast<worker_number>(worker),
                         .m_began = m_now,
                         .m_time = time},
                        --left == 0, step, m_now + time);
        m_now += 100ms;
    }

    /// The true work is the estimate times (1 + error), or the other way round.
    void run_steps(int steps, int count, double min_error = 0, double max_error = 0)
    {
        for (int i = 0; i < steps; ++i)
        {
            const double error = min_error + (max_error - min_error) * m_unit(m_random);
            const double factor = m_unit(m_random) < 0.5 ? 1 - error : 1 + error;
            const double work_ms = 1000 * std::exp(0.3 * m_normal(m_random));
            run_step(step_of(count, std::llround(factor * work_ms)), work_ms);
        }
        m_times.speeds().update_classes(m_now);
    }

    double factor(int worker) const
    {
        return std::exp(m_times.speeds().log_factor(static_cast<worker_number>(worker)));
    }
    speed_class class_of(int worker) const
    {
        return m_times.speeds().class_of(static_cast<worker_number>(worker));
    }
    const class_speeds& classes() const { return m_times.speeds().classes(batch.m_service); }

    run_times m_times;
    std::vector<double> m_speeds;
    double m_task_deviation = 0.1;
    instant m_now{10s};
    std::vector<int> m_turn;
    std::mt19937 m_random{7};
    std::normal_distribution<double> m_normal;
    std::uniform_real_distribution<double> m_unit;
};

fleet with_fast_third(int workers)
{
    fleet result(workers);
    for (int i = 0; i < workers; ++i)
        result.m_speeds[i] = i % 3 == 0 ? 1.7 : 0.7;
    return result;
}

/// Workers that count as fast and aren't, or the other way round.
int mistaken(const fleet& workers)
{
    int result = 0;
    for (int i = 0; i < static_cast<int>(workers.m_speeds.size()); ++i)
        result += (workers.class_of(i) == speed_class::fast) == (i % 3 == 0) ? 0 : 1;
    return result;
}

} // namespace

TEST_GROUP(run_times){};

TEST(run_times, without_runs_the_estimate_counts_and_workers_are_alike)
{
    const run_times times;
    LONGS_EQUAL(700, times.expected_ms(batch.m_name, step_of(3, 700)));
    LONGS_EQUAL(0, times.expected_ms(batch.m_name, step_of(3, 0)));
    DOUBLES_EQUAL(0, times.speeds().log_factor(5), 0);
    CHECK_FALSE(times.speeds().classes(batch.m_service).differ());
    LONGS_EQUAL(0, times.start_delay(batch.m_name).count());
}

// A single run moves the expectation by a part only: it may be the one in a hundred that hangs.
TEST(run_times, few_runs_move_expectations_little)
{
    fleet workers(10);
    workers.run_step(step_of(1, 1000), 50000);
    CHECK_COMPARE(workers.m_times.expected_ms(batch.m_name, step_of(1, 1000)), <, 2000);
    CHECK_COMPARE(workers.factor(0), <, 3);
    workers.m_times.speeds().update_classes(workers.m_now);
    CHECK(workers.class_of(0) == speed_class::usual);
}

TEST(run_times, speeds_are_learned_within_a_few_runs_of_each_worker)
{
    auto workers = with_fast_third(99);
    workers.run_steps(16, 25, 0.5, 0.9); // Four runs of each worker.
    LONGS_EQUAL(0, mistaken(workers));
    workers.run_steps(56, 25, 0.5, 0.9);
    LONGS_EQUAL(0, mistaken(workers));
    CHECK_COMPARE(workers.classes().of(speed_class::slow).m_workers, >, 60); // Of 66.
    DOUBLES_EQUAL(1.7 / 0.7, workers.factor(1) / workers.factor(0), 0.35);
}

// Narrow steps have few tasks to compare, and each its own error of the estimate.
TEST(run_times, speeds_are_learned_from_narrow_steps_with_wrong_estimates)
{
    auto workers = with_fast_third(99);
    workers.run_steps(330, 3, 0.5, 0.9); // Ten runs of each worker.
    CHECK_COMPARE(mistaken(workers), <=, 2);
}

// Without comparing tasks of one step, the error of its estimate would count as the worker's.
TEST(run_times, workers_of_one_speed_stay_alike_beside_wrong_estimates_and_long_tails)
{
    for (const double deviation : {0.0, 0.1, 0.3, 0.6})
    {
        fleet workers(99);
        workers.m_task_deviation = deviation;
        for (int i = 0; i < 40; ++i)
        {
            workers.run_steps(5, 25, 0.5, 0.9);
            workers.run_steps(15, 3, 0.5, 0.9);
            CHECK_FALSE(workers.classes().differ());
        }
    }
}

// Means of ratios have heavy tails: the few runs that take ten times as long ruled them.
TEST(run_times, a_run_of_fifty_that_takes_ten_times_as_long_changes_no_class)
{
    auto workers = with_fast_third(99);
    workers.run_steps(40, 25, 0.5, 0.9);
    int wrong = 0;
    for (int i = 0; i < 100; ++i)
    {
        const int hit = i % 99;
        const double speed = std::exchange(workers.m_speeds[hit], workers.m_speeds[hit] / 10);
        workers.m_turn.push_back(hit);
        workers.run_steps(1, 25, 0.5, 0.9);
        workers.m_speeds[hit] = speed;
        workers.run_steps(1, 25, 0.5, 0.9);
        wrong += mistaken(workers);
    }
    CHECK_COMPARE(wrong, <=, 20); // Of 9,900.
}

TEST(run_times, expectations_follow_what_estimates_turn_out_to_say)
{
    // Estimates of a third of the time.
    fleet low(30);
    for (int i = 0; i < 200; ++i)
        low.run_step(step_of(5, 1000 + 10 * i), 3.0 * (1000 + 10 * i));
    DOUBLES_EQUAL(6000, low.m_times.expected_ms(batch.m_name, step_of(5, 2000)), 600);
    // Estimates that are off by 50% to 90%: work is 1 s with little variation.
    fleet wrong(30);
    wrong.run_steps(400, 5, 0.5, 0.9);
    const auto for_short = wrong.m_times.expected_ms(batch.m_name, step_of(5, 200));
    const auto for_long = wrong.m_times.expected_ms(batch.m_name, step_of(5, 1700));
    CHECK_COMPARE(for_short, >, 500);
    CHECK_COMPARE(for_long, <, 1700);
    CHECK_COMPARE(for_short, <, for_long);
    // Exact estimates of very unlike steps.
    fleet exact(30);
    for (int i = 0; i < 400; ++i)
        exact.run_step(step_of(5, i % 2 == 0 ? 100 : 60000), i % 2 == 0 ? 100 : 60000);
    DOUBLES_EQUAL(100, exact.m_times.expected_ms(batch.m_name, step_of(5, 100)), 10);
    DOUBLES_EQUAL(60000, exact.m_times.expected_ms(batch.m_name, step_of(5, 60000)), 6000);
}

TEST(run_times, images_of_a_queue_are_told_apart)
{
    fleet workers(30);
    auto heavy = step_of(5, 1000);
    heavy.m_image = "heavy";
    auto light = step_of(5, 1000);
    light.m_image = "light";
    for (int i = 0; i < 200; ++i)
    {
        workers.run_step(heavy, 4000);
        workers.run_step(light, 500);
    }
    DOUBLES_EQUAL(4000, workers.m_times.expected_ms(batch.m_name, heavy), 600);
    DOUBLES_EQUAL(500, workers.m_times.expected_ms(batch.m_name, light), 75);
}

// Callers name images, so they could fill the leader's memory.
TEST(run_times, any_number_of_images_and_queues_takes_bounded_memory)
{
    fleet workers(3);
    for (int i = 0; i < 3000; ++i)
    {
        auto spec = step_of(1, 1000);
        spec.m_image = "image-" + std::to_string(i);
        workers.run_step(spec, 1000);
        workers.run_step(step_of(1, 1000), 1000,
                         {.m_name = queue_id("queue-" + std::to_string(i)),
                          .m_service = service_id("pool")});
    }
    int queues = 0;
    workers.m_times.for_each_queue([&queues](const auto&, const auto&) { ++queues; });
    CHECK_COMPARE(queues, <=, 256);
}

// A worker turned slow for good, as when its machine is shared, and the successor of a worker has
// another speed.
TEST(run_times, a_worker_that_changes_for_good_is_learned_again_within_ten_runs)
{
    auto workers = with_fast_third(99);
    workers.run_steps(80, 25, 0.5, 0.9);
    workers.m_speeds[0] = 0.7;
    workers.m_speeds[1] = 1.7;
    workers.run_steps(40, 25, 0.5, 0.9); // Ten runs of each worker.
    CHECK(workers.class_of(0) == speed_class::slow);
    CHECK(workers.class_of(1) == speed_class::fast);
}

TEST(run_times, a_worker_that_was_slow_for_seconds_is_as_before_soon)
{
    auto workers = with_fast_third(99);
    workers.run_steps(80, 25, 0.5, 0.9);
    workers.m_speeds[0] = 0.3; // For two runs.
    workers.run_steps(8, 25, 0.5, 0.9);
    workers.m_speeds[0] = 1.7;
    workers.run_steps(24, 25, 0.5, 0.9); // Six runs of each worker.
    CHECK(workers.class_of(0) == speed_class::fast);
    LONGS_EQUAL(0, mistaken(workers));
}

TEST(run_times, the_number_of_a_removed_worker_tells_nothing_of_its_next_one)
{
    auto workers = with_fast_third(99);
    workers.run_steps(80, 25, 0.5, 0.9);
    CHECK(workers.class_of(3) == speed_class::fast);
    workers.m_times.speeds().forget(3);
    CHECK(workers.class_of(3) == speed_class::usual);
    DOUBLES_EQUAL(1, workers.factor(3), 0);
    LONGS_EQUAL(0, workers.m_times.speeds().runs(3));
    // The others keep theirs.
    CHECK(workers.class_of(6) == speed_class::fast);
    workers.m_speeds[3] = 0.7;
    workers.run_steps(16, 25, 0.5, 0.9);
    CHECK(workers.class_of(3) == speed_class::slow);
}

TEST(run_times, a_single_slow_worker_among_alike_ones_is_found)
{
    fleet workers(99);
    workers.m_speeds[7] = 0.2;
    workers.run_steps(40, 25, 0.5, 0.9);
    CHECK(workers.class_of(7) == speed_class::slow);
    LONGS_EQUAL(98, workers.classes().of(speed_class::usual).m_workers);
}

TEST_GROUP(overdue_runs)
{
    fleet m_workers = with_fast_third(99);
    const step_spec m_spec = step_of(25, 1000);

    void setup() override { m_workers.run_steps(80, 25, 0.5, 0.9); }

    open_run run(duration elapsed, int worker) const
    {
        return {.m_queue = batch,
                .m_spec = m_spec,
                .m_worker = static_cast<worker_number>(worker),
                .m_elapsed = elapsed};
    }
};

// What is usual depends on the worker, and on how sure the step's time is.
TEST(overdue_runs, a_run_far_over_the_usual_of_its_worker_and_step_is_overdue)
{
    step_times known;
    for (int i = 0; i < 12; ++i)
        m_workers.m_times.add({.m_queue = batch,
                               .m_spec = m_spec,
                               .m_worker = static_cast<worker_number>(i),
                               .m_began = m_workers.m_now,
                               .m_time = m_workers.time_on(i, 1000)},
                              i == 11, known, m_workers.m_now);
    const auto pace = [&](duration elapsed, int worker, const step_times& step)
    { return m_workers.m_times.pace_of(run(elapsed, worker), step, m_workers.m_now); };
    CHECK(pace(700ms, 0, known) != run_pace::overdue);
    CHECK(pace(3s, 0, known) == run_pace::overdue);
    CHECK(pace(1700ms, 1, known) != run_pace::overdue);
    CHECK(pace(6s, 1, known) == run_pace::overdue);
    // The estimate alone may be off by as much.
    CHECK(pace(3s, 0, {}) != run_pace::overdue);
}

// It shows long before the run would have to be done.
TEST(overdue_runs, a_run_whose_progress_slows_down_is_overdue)
{
    auto slowing = run(1s, 1);
    slowing.m_elapsed_before = 1s;
    slowing.m_percent_before = 60;
    slowing.m_elapsed = 2s;
    slowing.m_part = 1s;
    slowing.m_percent = 68;
    const step_times step;
    CHECK(m_workers.m_times.pace_of(slowing, step, m_workers.m_now) == run_pace::overdue);
    slowing.m_percent = 95;
    CHECK(m_workers.m_times.pace_of(slowing, step, m_workers.m_now) == run_pace::usual);
    slowing.m_percent_before = slowing.m_percent = 0; // No progress is reported.
    CHECK(m_workers.m_times.pace_of(slowing, step, m_workers.m_now) == run_pace::unknown);
}

TEST(overdue_runs, a_worker_lags_until_a_later_run_ends_as_usual_or_some_seconds_have_passed)
{
    auto& speeds = m_workers.m_times.speeds();
    const auto lags = [&](instant now)
    {
        speeds.update_classes(now);
        return speeds.class_of(0) == speed_class::lagging;
    };
    const auto marked = m_workers.m_now;
    speeds.mark_lagging(0, batch.m_service, marked);
    CHECK(lags(marked));
    const double before = m_workers.factor(0);
    // A run that began before ends late; it says nothing about the worker.
    step_times step;
    m_workers.m_times.add({.m_queue = batch,
                           .m_spec = m_spec,
                           .m_worker = 0,
                           .m_began = marked - 1s,
                           .m_time = 6s},
                          false, step, marked + 5s);
    DOUBLES_EQUAL(before, m_workers.factor(0), 0);
    CHECK(lags(marked + 5s));
    // One that began later ends as usual.
    m_workers.m_times.add({.m_queue = batch,
                           .m_spec = m_spec,
                           .m_worker = 0,
                           .m_began = marked + 5s,
                           .m_time = 600ms},
                          true, step, marked + 5600ms);
    CHECK_FALSE(lags(marked + 5600ms));
    CHECK(m_workers.class_of(0) == speed_class::fast);
    speeds.mark_lagging(0, batch.m_service, marked + 6s);
    CHECK(lags(marked + 7s));
    CHECK_FALSE(lags(marked + 15s));
}
