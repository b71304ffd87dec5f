#include "cell/support/large_site.hpp"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

job_kind narrow(job_kind kind, int count)
{
    kind.m_step.m_count = count;
    return kind;
}

job_kind with_tickets_valid_for(job_kind kind, int valid_ms)
{
    kind.m_queue.m_approval.m_valid_ms = valid_ms;
    return kind;
}

// From this time after the last submission no step may wait for 3 s beside capacity for it twice
// over (rule LOST).
constexpr duration finish_limit = 14s;
constexpr duration wait_limit = 3s;
constexpr duration drain_limit = 60s;
// Where no step has to wait for others, the limit is asked from here on. The rule grants the same 4
// s of calm to tasks that last, for which it holds all day.
constexpr duration calm_time = 4s;
constexpr unsigned seeds[] = {1, 2, 3};

void add_backlog(simulated_cell& cell, const job_mix& jobs)
{
    cell.add_backlog(plans, jobs.m_plans);
    cell.add_backlog(matches, jobs.m_matches);
    cell.add_backlog(lookups, jobs.m_lookups);
}

// Without waits, the workers and the approval service need at most half of the finish limit for
// what is left after the last submission; otherwise the limit would ask too much.
void check_feasible(const simulated_cell& cell, const cell_options& options, duration load_length)
{
    const duration work_time = std::chrono::milliseconds(
        cell.work().m_millicore_ms / options.m_capacity.m_millicores / options.m_workers);
    const duration service_time = cell.work().m_service_time / options.m_vms;
    const duration needed = std::max(work_time, service_time);
    CHECK_COMPARE(to_ms(needed), <=, to_ms(load_length + finish_limit / 2));
}

void check_drained(simulated_cell& cell)
{
    while (cell.live_jobs() > 0 && cell.elapsed() < drain_limit)
        cell.run(1s);
    LONGS_EQUAL(0, cell.overcommitted());
    LONGS_EQUAL(0, cell.refused_starts());
    LONGS_EQUAL(0, cell.incomplete_gang_members());
    const auto text = cell.longest_wait_beside_room() + " waited for " +
                      std::to_string(to_ms(cell.max_wait_beside_room())) + " ms";
    CHECK_TEXT(cell.max_wait_beside_room() <= wait_limit, text.c_str());
    CHECK_COMPARE(to_ms(cell.max_avoidable_wait()), <=, to_ms(wait_limit));
    LONGS_EQUAL(0, cell.live_jobs());
}

void check_backlog(simulated_cell& cell, const cell_options& options)
{
    check_feasible(cell, options, duration{});
    cell.measure_waits_after(finish_limit);
    cell.take_over();
    check_drained(cell);
}

/// The load takes under half of the capacity, so the backlog should be done by its finish limit.
void check_under_load(simulated_cell& cell, const job_mix& per_second)
{
    constexpr duration load_length = 30s;
    cell.measure_waits_after(finish_limit);
    cell.take_over();
    submit_load(cell, load_length, per_second);
    check_drained(cell);
}

} // namespace

// Incidents LOST and SHORT: after a change of leader, gangs waited beside room for them.
TEST_GROUP(wide_backlog){};

TEST(wide_backlog, nothing_waits_beside_room_in_a_cell_of_1100_workers_under_load)
{
    const cell_options options{.m_vms = 147, .m_workers = 1100};
    constexpr duration load_length = 10s;
    simulated_cell cell(options);
    add_backlog(cell, {60, 60, 200});
    cell.measure_waits_after(load_length + finish_limit);
    cell.take_over();
    submit_load(cell, load_length, {6, 10, 80});
    check_feasible(cell, options, load_length);
    check_drained(cell);
}

// All jobs together take less than half of the capacity.
TEST(wide_backlog, nothing_waits_beside_room_in_a_cell_with_room_for_all)
{
    simulated_cell cell({.m_vms = 147, .m_workers = 1100});
    add_backlog(cell, {20, 20, 50});
    cell.measure_waits_after(calm_time);
    cell.take_over();
    check_drained(cell);
}

TEST(wide_backlog, nothing_waits_beside_room_in_a_cell_of_350_workers)
{
    for (const unsigned seed : seeds)
    {
        const cell_options options{.m_vms = 35, .m_workers = 350, .m_seed = seed};
        simulated_cell cell(options);
        add_backlog(cell, {28, 36, 100});
        check_backlog(cell, options);
    }
}

TEST(wide_backlog, gangs_alone_do_not_wait_beside_room_in_a_cell_of_350_workers)
{
    for (const unsigned seed : seeds)
    {
        const cell_options options{.m_vms = 35, .m_workers = 350, .m_seed = seed};
        simulated_cell cell(options);
        cell.add_backlog(plans, 40);
        check_backlog(cell, options);
    }
}

// As on the second grown site.
TEST(wide_backlog, nothing_waits_beside_room_where_tickets_are_valid_for_two_seconds)
{
    for (const unsigned seed : seeds)
    {
        const cell_options options{.m_vms = 35, .m_workers = 350, .m_seed = seed};
        simulated_cell cell(options);
        cell.add_backlog(with_tickets_valid_for(plans, 2000), 28);
        cell.add_backlog(with_tickets_valid_for(matches, 2000), 36);
        cell.add_backlog(with_tickets_valid_for(lookups, 2000), 100);
        check_backlog(cell, options);
    }
}

// Gangs of up to 18 tasks, as a wider one doesn't fit twice on the workers approved for it.
TEST(wide_backlog, nothing_waits_beside_room_in_a_cell_of_seven_vms)
{
    for (const unsigned seed : seeds)
    {
        const cell_options options{.m_vms = 7, .m_workers = 48, .m_seed = seed};
        simulated_cell cell(options);
        cell.add_backlog(narrow(plans, 6), 18);
        cell.add_backlog(narrow(matches, 10), 25);
        cell.add_backlog(lookups, 50);
        check_backlog(cell, options);
    }
}

// The load goes on after the backlog's finish limit.
TEST(wide_backlog, nothing_waits_beside_room_once_a_backlog_of_1100_workers_is_due)
{
    simulated_cell cell({.m_vms = 147, .m_workers = 1100});
    add_backlog(cell, {60, 60, 200});
    check_under_load(cell, {6, 10, 80});
}

TEST(wide_backlog, nothing_waits_beside_room_once_a_backlog_of_350_workers_is_due)
{
    for (const unsigned seed : seeds)
    {
        simulated_cell cell({.m_vms = 35, .m_workers = 350, .m_seed = seed});
        add_backlog(cell, {24, 30, 80});
        check_under_load(cell, {2, 3, 25});
    }
}

// The backlog takes longer than its finish limit.
TEST(wide_backlog, nothing_waits_beside_room_behind_a_long_backlog)
{
    for (const unsigned seed : seeds)
    {
        simulated_cell cell({.m_vms = 35, .m_workers = 350, .m_seed = seed});
        add_backlog(cell, {90, 100, 200});
        cell.measure_waits_after(finish_limit);
        cell.take_over();
        check_drained(cell);
    }
}
