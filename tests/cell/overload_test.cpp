#include "cell/support/simulated_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

// As in congestion_test.cpp.
const job_kind plans = kind_of("plans", 1, {507, 7.28, 2500}, 0.35,
                               {.m_count = 40,
                                .m_size = {.m_millicores = 4500, .m_memory_mb = 6300},
                                .m_expected_ms = 3400,
                                .m_gang = true});
const job_kind matches = kind_of(
    "matches", 2, {182, 2.6, 2500}, 0.45,
    {.m_count = 40, .m_size = {.m_millicores = 2700, .m_memory_mb = 3200}, .m_expected_ms = 2300});
const job_kind lookups = kind_of(
    "lookups", 0, {18.2, 0.26, 2500}, 0.7,
    {.m_count = 4, .m_size = {.m_millicores = 3900, .m_memory_mb = 3600}, .m_expected_ms = 850});

constexpr duration longest_call = 1235ms; // A plan's, with the 100 workers that one may name.
constexpr duration load_peak = 8s;

/// The large site, with a leader that gets this share of the processor time that it needs to keep
/// up with the load peak.
cell_options large_site(double processor_share)
{
    const auto cost = [processor_share](double us)
    { return duration(static_cast<std::int64_t>(us / processor_share)); };
    return {.m_vms = 147,
            .m_workers = 1100,
            .m_costs = {.m_event = cost(100),
                        .m_action = cost(150),
                        .m_tick = cost(3000),
                        .m_step_per_tick = cost(25)},
            .m_gives_up_calls = true};
}

/// Jobs a second of the load peak: two thirds of the fleet's capacity.
void submit_peak(simulated_cell& cell)
{
    cell.take_over();
    cell.run(1s);
    constexpr duration slice = 50ms;
    constexpr int plan_interval = 4; // In slices.
    constexpr int match_interval = 2;
    for (duration elapsed{}; elapsed < load_peak; elapsed += slice)
    {
        const auto number = elapsed / slice;
        cell.submit(lookups, 3);
        if (number % plan_interval == 0)
            cell.submit(plans, 1);
        if (number % match_interval == 0)
            cell.submit(matches, 1);
        cell.run(slice);
    }
}

/// Twice the time that fleet and service need for all jobs of the peak, as if nothing had been done
/// until its end, and the last job.
duration recovery_limit(const simulated_cell& cell, const cell_options& options)
{
    const auto& work = cell.work();
    const duration fleet = std::chrono::milliseconds(
        work.m_millicore_ms / (options.m_workers * options.m_capacity.m_millicores));
    return 2 * (fleet + work.m_service_time / options.m_vms) + work.m_longest_job;
}

// A cell that was overloaded goes back to work by itself once the load has ended.
void check_recovery(const cell_options& options)
{
    simulated_cell cell(options);
    submit_peak(cell);
    const auto until = cell.elapsed() + recovery_limit(cell, options);
    while (cell.live_jobs() > 0 && cell.elapsed() < until)
        cell.run(100ms);
    const auto& calls = cell.calls();
    const auto text = "live jobs " + std::to_string(cell.live_jobs()) + ", longest queue of a VM " +
                      std::to_string(to_ms(cell.max_sent_work())) + " ms, service " +
                      std::to_string(to_ms(calls.m_served_time)) + " ms, of them useful " +
                      std::to_string(to_ms(calls.m_useful_time)) + " ms";
    LONGS_EQUAL_TEXT(0, cell.overcommitted(), text.c_str());
    LONGS_EQUAL_TEXT(0, cell.refused_starts(), text.c_str());
    LONGS_EQUAL_TEXT(0, cell.live_jobs(), text.c_str());
    // While a VM's call is served, the next one waits.
    CHECK_TEXT(cell.max_sent_work() <= 2 * longest_call, text.c_str());
    CHECK_TEXT(2 * calls.m_useful_time >= calls.m_served_time, text.c_str());
}

constexpr double fast = 4;

} // namespace

TEST_GROUP(overload){};

TEST(overload, a_cell_with_a_fast_leader_recovers_from_a_load_peak)
{
    check_recovery(large_site(fast));
}

TEST(overload, a_cell_whose_leader_has_all_its_processor_time_recovers)
{
    check_recovery(large_site(1));
}

// Incident LOST, issue 39: with a part of its processor time, the leader of a large site answered
// late, and the cell stayed at a standstill after the load had ended.
TEST(overload, a_cell_whose_leader_has_two_thirds_of_its_processor_time_recovers)
{
    check_recovery(large_site(2.0 / 3));
}

TEST(overload, a_cell_whose_leader_has_a_third_of_its_processor_time_recovers)
{
    check_recovery(large_site(1.0 / 3));
}

// Each answer came after its call was given up, and each call was made again.
TEST(overload, a_cell_whose_approvals_arrive_late_recovers)
{
    auto options = large_site(fast);
    options.m_approval_lag = 1500ms;
    check_recovery(options);
}
