#include "cell/support/stub_cell.hpp"

using namespace simulated;

TEST_GROUP(restarted_workers){};

// A worker that restarts under its id numbers its ends from 1 again. The number that was last
// acknowledged to its former life made it forget ends that nobody had read, so their tasks started
// again.
TEST(restarted_workers, keep_ends_that_nobody_has_read)
{
    stub_cell cell;
    cell.list(1);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    for (const auto* id : {"first", "second", "third"})
    {
        cell.submit(id, step_spec{.m_count = 3, .m_size = {.m_millicores = 100}});
        cell.run(200ms);
        cell.end(id, end_kind::done);
        cell.run(200ms);
        STRCMP_EQUAL("completed", std::string(cell.m_coordinator.state_of(job_id(id))).c_str());
    }
    // Nothing runs there when it restarts. The new life gets tasks and ends them before it reports.
    worker.m_ended.clear();
    worker.m_last_end = 0;
    worker.m_started_at = 2;
    cell.m_holds_renewals = true;
    cell.submit("last", step_spec{.m_count = 3, .m_size = {.m_millicores = 100}});
    cell.run(100ms);
    LONGS_EQUAL(3, cell.started("last"));
    cell.end("last", end_kind::done);
    cell.m_holds_renewals = false;
    cell.run(1s);
    LONGS_EQUAL(3, cell.started("last"));
    STRCMP_EQUAL("completed", std::string(cell.m_coordinator.state_of(job_id("last"))).c_str());
}

TEST(restarted_workers, an_acknowledgement_is_repeated_until_it_is_answered)
{
    stub_cell cell;
    cell.list(1);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    cell.submit("job", step_spec{.m_count = 3, .m_size = {.m_millicores = 100}});
    cell.run(200ms);
    cell.end("job", end_kind::done);
    cell.run(500ms);
    LONGS_EQUAL(0, worker.m_ended.size());
    LONGS_EQUAL(3, cell.m_coordinator.workers().at(stub_cell::name(0)).m_ends_acked);
}
