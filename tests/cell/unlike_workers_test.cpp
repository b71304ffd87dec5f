#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "cell/support/unlike_site.hpp"
#include "dragonflygap/cell/worker_text.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

// Capacity for a step twice over is free for no longer than this while the step waits.
constexpr duration wait_limit = 3s;
// A new leader knows no speeds; it learns them within this time at this load.
constexpr duration learning_time = 6s;

void check_sound(const simulated_cell& cell)
{
    LONGS_EQUAL(0, cell.overcommitted());
    LONGS_EQUAL(0, cell.refused_starts());
    LONGS_EQUAL(0, cell.incomplete_gang_members());
    CHECK_TEXT(cell.max_wait_beside_room() <= wait_limit,
               (cell.longest_wait_beside_room() + " waited for " +
                std::to_string(to_ms(cell.max_wait_beside_room())) + " ms")
                   .c_str());
}

void check_late_urgent(const simulated_cell& cell, duration submitted_after, double max_percent)
{
    const auto counts = cell.objectives("urgent", submitted_after);
    CHECK_COMPARE(counts.m_jobs, >, 300);
    CHECK_TEXT(counts.late_percent() < max_percent,
               ("late urgent jobs in percent: " + std::to_string(counts.late_percent())).c_str());
}

/// The leader's orders and calls, one line each.
std::string trace(cell_options options, bool learns)
{
    options.m_leader.m_learns_run_times = learns;
    simulated_cell cell(options);
    std::ostringstream lines;
    cell.m_on_action = [&lines](const action& one)
    {
        if (const auto* order = std::get_if<send_start>(&one))
            lines << to_ms(order->m_sent.time_since_epoch()) << ' ' << order->m_worker.m_id.m_value
                  << ' ' << text_of(order->m_order.m_task) << ' ' << order->m_order.m_run << '\n';
        if (const auto* call = std::get_if<request_approval>(&one))
        {
            lines << "call " << call->m_call << ' ' << call->m_via.m_value;
            for (const auto& worker : call->m_workers)
                lines << ' ' << worker.m_value;
            lines << '\n';
        }
        if (const auto* stop = std::get_if<send_stop>(&one))
            lines << "stop " << text_of(stop->m_task) << '\n';
    };
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, 12s);
    return lines.str();
}

} // namespace

TEST_GROUP(unlike_workers){};

// The second deployment: 27% of its urgent jobs were late on a quiet day, as no report says which
// workers are fast.
TEST(unlike_workers, few_urgent_jobs_are_late_where_a_third_of_the_workers_is_fast)
{
    simulated_cell cell(unlike_site());
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, 30s);
    check_late_urgent(cell, learning_time, 3);
    check_sound(cell);
}

// The same load by the estimates alone: shows what the test above guards against.
TEST(unlike_workers, many_urgent_jobs_are_late_without_learned_speeds)
{
    simulated_cell cell(unlike_site(false));
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, 20s);
    CHECK_COMPARE(cell.objectives("urgent", learning_time).late_percent(), >, 15);
}

// Wrong estimates and tasks that vary must not pass for unlike workers.
TEST(unlike_workers, decisions_are_as_before_where_all_workers_have_one_speed)
{
    auto options = unlike_site();
    options.m_speed = nullptr;
    options.m_costs = {};
    const auto learned = trace(options, true);
    const auto before = trace(options, false);
    CHECK_COMPARE(before.size(), >, 100000);
    CHECK_TRUE(learned == before);
}

TEST(unlike_workers, workers_that_turn_slow_for_seconds_delay_few_urgent_jobs)
{
    simulated_cell cell(unlike_site());
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, 10s);
    // One fast worker of ten runs at a fifth of its speed for 6 s.
    constexpr int every = 30;
    for (int i = 0; i < 350; i += every)
        cell.set_speed(i, fast_speed / 5);
    submit_unlike_load(cell, 6s);
    for (int i = 0; i < 350; i += every)
        cell.set_speed(i, fast_speed);
    submit_unlike_load(cell, 8s);
    check_late_urgent(cell, learning_time, 5);
    check_sound(cell);
    for (int i = 0; i < 350; i += every)
    {
        const auto& worker = cell.leader().workers().at(worker_id("worker-" + std::to_string(i)));
        CHECK(worker.m_speed == speed_class::fast);
    }
}

// What was learned of a worker ends with its life; the others' records stay.
TEST(unlike_workers, a_restarted_worker_is_learned_anew)
{
    simulated_cell cell(unlike_site());
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, 8s);
    const auto& worker = cell.leader().workers().at(worker_id("worker-0"));
    CHECK(worker.m_speed == speed_class::fast);
    cell.restart(0);
    cell.set_speed(0, slow_speed);
    cell.run(200ms);
    CHECK(worker.m_speed == speed_class::usual);
    submit_unlike_load(cell, 6s);
    CHECK(worker.m_speed == speed_class::slow);
    check_sound(cell);
}

// A new leader starts without speeds, and uses no time of a run that it adopted.
TEST(unlike_workers, a_new_leader_learns_the_speeds_within_seconds)
{
    simulated_cell cell(unlike_site());
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, 8s);
    cell.change_leader();
    LONGS_EQUAL(0, cell.leader().learned_times().speeds().counts()[0]);
    submit_unlike_load(cell, 20s);
    int wrong = 0;
    for (int i = 0; i < 350; ++i)
    {
        const auto& worker = cell.leader().workers().at(worker_id("worker-" + std::to_string(i)));
        wrong += worker.m_speed == (i % fast_divisor == 0 ? speed_class::fast : speed_class::slow)
                     ? 0
                     : 1;
    }
    CHECK_COMPARE(wrong, <=, 7); // 2%
    check_late_urgent(cell, 9s + learning_time, 3);
}

// A gang ends with its slowest member.
TEST(unlike_workers, gangs_have_members_of_one_speed_where_there_is_a_choice)
{
    simulated_cell cell(unlike_site());
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, learning_time);
    const int complete_before = cell.complete_gangs();
    const int unlike_before = cell.unlike_gangs();
    submit_unlike_load(cell, 20s);
    const int complete = cell.complete_gangs() - complete_before;
    const int unlike = cell.unlike_gangs() - unlike_before;
    CHECK_COMPARE(complete, >=, 15);
    CHECK_TEXT(5 * unlike <= complete,
               (std::to_string(unlike) + " of " + std::to_string(complete)).c_str());
}

// Steps that may run anywhere take the fast workers once no urgent work needs them.
TEST(unlike_workers, fast_workers_are_used_first_where_no_step_needs_them)
{
    simulated_cell cell(unlike_site());
    cell.take_over();
    cell.run(1s);
    submit_unlike_load(cell, 10s);
    const auto busy = cell.starts_by_speed("batch", fast_speed);
    cell.run(15s);
    for (int i = 0; i < 100; ++i)
    {
        cell.submit(batch, i % 10 == 0 ? 1 : 0);
        cell.run(100ms);
    }
    const auto all = cell.starts_by_speed("batch", fast_speed);
    const int fast = all.first - busy.first;
    const int slow = all.second - busy.second;
    CHECK_TEXT(fast > 9 * slow, (std::to_string(fast) + " fast, " + std::to_string(slow)).c_str());
}
