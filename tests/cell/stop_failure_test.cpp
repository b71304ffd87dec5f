#include "cell/support/stub_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

TEST_GROUP(stop_failure){};

TEST(stop_failure, failed_stops_and_the_time_that_a_run_has_been_stopping_are_reported)
{
    stub_cell cell;
    cell.list(1);
    cell.m_workers[stub_cell::name(0)].m_orders_fail = true;
    cell.submit("job", {.m_size = {.m_millicores = 1000}});
    cell.run(2s);
    const auto& state = cell.m_coordinator;
    CHECK_COMPARE(state.counts().m_stops_failed, >=, 2);
    const auto pass = state.report_waits(8, 4).m_pass;
    LONGS_EQUAL(1, pass.m_runs_stopping);
    CHECK_COMPARE(to_ms(pass.m_longest_stop), >=, 1500);
}
