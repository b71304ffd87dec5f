#include "cell/support/customer_cell.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

/// A leader, whose customer uses its whole limit on four of eight workers, is replaced.
struct replaced_leader : customer_cell
{
    explicit replaced_leader(bool leases_lapse = false) : customer_cell(8)
    {
        if (leases_lapse)
            let_leases_lapse();
        set_limits({{"acme", 8000}, {"small", 2000}});
        submit("acme", "first",
               {.m_count = 8, .m_size = {.m_millicores = 1000}, .m_max_per_worker = 1});
        run(500ms);
        LONGS_EQUAL(8, running("first"));
        change_leader();
    }
    void submit_more()
    {
        submit("acme", "more", {.m_count = 8, .m_size = {.m_millicores = 1000}});
    }
    void set_silent(int first, int last, bool silent)
    {
        for (int i = first; i <= last; ++i)
            worker(i).m_silent = silent;
    }
};

} // namespace

TEST_GROUP(customer_takeover){};

// A successor that counted only what was reported to it would start as much again.
TEST(customer_takeover, a_successor_counts_what_runs_on_workers_that_report_late)
{
    replaced_leader cell;
    cell.leader().m_holds_renewals = true;
    cell.send_config();
    cell.list();
    cell.submit_more();
    cell.run(2s);
    LONGS_EQUAL(0, cell.running("more"));
    cell.leader().m_holds_renewals = false;
    cell.run(2s);
    LONGS_EQUAL(8, cell.running("first"));
    LONGS_EQUAL(0, cell.running("more"));
    cell.end_all("acme");
    cell.run(1s);
    LONGS_EQUAL(8, cell.running("more"));
}

// Four workers have reported, the others may run as many tasks as they have room for.
TEST(customer_takeover, a_successor_counts_the_capacity_of_workers_that_are_silent)
{
    replaced_leader cell(true);
    cell.set_silent(4, 7, true);
    cell.send_config();
    cell.list();
    cell.submit_more();
    cell.run(2s);
    LONGS_EQUAL(0, cell.running("more"));
    // Their leases end.
    cell.run(15s);
    LONGS_EQUAL(8000, cell.used("acme"));
}

// Its few tasks can't be what runs on the silent workers.
TEST(customer_takeover, silent_workers_do_not_hold_up_a_customer_without_restored_tasks)
{
    replaced_leader cell(true);
    cell.set_silent(6, 7, true);
    cell.send_config();
    cell.list();
    cell.submit("small", "small", {.m_size = {.m_millicores = 1000}});
    cell.run(3s);
    LONGS_EQUAL(1, cell.running("small"));
    LONGS_EQUAL(8000, cell.used("acme"));
}

// Without a limit in force there is none to keep.
TEST(customer_takeover, a_successor_without_a_configuration_starts_nothing_for_customers)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 2000}});
    cell.submit_tasks("acme", 6, 1000);
    cell.submit("", "anyone", {.m_count = 2, .m_size = {.m_millicores = 1000}});
    cell.run(300ms);
    cell.end_all("acme");
    cell.run(20ms);
    cell.change_leader();
    cell.list();
    cell.run(1s);
    cell.end_all("acme");
    cell.run(1s);
    LONGS_EQUAL(0, cell.jobs_running("acme"));
    LONGS_EQUAL(2, cell.running("anyone"));
    cell.send_config();
    cell.run(1s);
    LONGS_EQUAL(2, cell.jobs_running("acme"));
}

// All VMs lose power at once: no worker has reported, the configuration comes late, and callers
// submit again. Tasks run on under their leases.
TEST(customer_takeover, the_limit_holds_after_all_vms_lost_power)
{
    for (const duration config_delay : {0ms, 400ms, 2000ms})
        for (const duration report_delay : {0ms, 300ms, 1500ms, 20000ms})
        {
            replaced_leader cell(true);
            cell.leader().m_holds_renewals = true;
            cell.list();
            bool submitted = false;
            for (duration passed{}; passed < 8s; passed += 100ms)
            {
                if (passed >= config_delay && !std::exchange(submitted, true))
                {
                    cell.send_config();
                    cell.submit_more();
                }
                if (passed >= report_delay)
                    cell.leader().m_holds_renewals = false;
                cell.run(100ms);
            }
            cell.leader().m_holds_renewals = false;
            cell.run(15s);
            LONGS_EQUAL(8000, cell.used("acme"));
        }
}

// A worker goes silent: what ran there runs elsewhere once its lease is over, and not before.
TEST(customer_takeover, runs_of_a_lost_worker_count_until_its_lease_ends)
{
    customer_cell cell(8);
    cell.let_leases_lapse();
    cell.set_limits({{"acme", 4000}});
    cell.submit_tasks("acme", 8, 1000);
    cell.run(500ms);
    LONGS_EQUAL(4, cell.jobs_running("acme"));
    for (int i = 0; i < 8; ++i)
        cell.worker(i).m_silent = !cell.worker(i).m_running.empty();
    cell.run(4s);
    LONGS_EQUAL(4, cell.jobs_running("acme"));
    cell.run(6s);
    LONGS_EQUAL(4, cell.jobs_running("acme"));
    for (int i = 0; i < 8; ++i)
        CHECK_TRUE(!cell.worker(i).m_silent || cell.worker(i).m_running.empty());
}

// The run of a job that ended has no known size or customer, so its worker may be full of tasks of
// any customer.
TEST(customer_takeover, the_rest_of_a_worker_with_a_run_of_unknown_size_counts_for_every_customer)
{
    customer_cell cell(4);
    cell.set_limits({{"acme", 6000}});
    cell.submit("", "ended", {.m_size = {.m_millicores = 1000}});
    cell.run(200ms);
    for (int i = 0; i < 4; ++i)
        cell.worker(i).m_orders_fail = true;
    cell.leader().feed(job_cancelled{1000, job_id("ended")});
    cell.run(100ms);
    for (int i = 0; i < 4; ++i)
        cell.worker(i).m_orders_fail = cell.worker(i).m_running.size() == 1;
    cell.change_leader();
    cell.send_config();
    cell.list();
    cell.run(500ms);
    LONGS_EQUAL(1, cell.running("ended"));
    cell.submit_tasks("acme", 12, 1000);
    cell.run(500ms);
    LONGS_EQUAL(2, cell.jobs_running("acme"));
    for (int i = 0; i < 4; ++i)
        cell.worker(i).m_orders_fail = false;
    cell.run(2s);
    LONGS_EQUAL(0, cell.running("ended"));
    LONGS_EQUAL(6, cell.jobs_running("acme"));
}
