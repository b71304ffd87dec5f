#include "cell/support/stub_cell.hpp"

using namespace simulated;

namespace
{

/// The lease of a task, twice: the predecessor may renew it this long after its last transaction.
constexpr duration longest_lease = 12s;
/// The platform expects an accepted job that fits on free workers to run within this time.
constexpr duration finish_time = 14s;

stored_row waiting_job()
{
    job_request request;
    request.m_steps.push_back({.m_size = {.m_millicores = 1000}});
    return {
        {std::string(job_table), "job"},
        1,
        pack(job_record{{.m_name = queue_id("queue"), .m_service = service_id("pool")}, request})};
}

recovered_state first_state()
{
    return {.m_self = {.m_epoch = 2, .m_vm = vm_id("vm"), .m_uses_stored_since = 1},
            .m_jobs = {waiting_job()},
            .m_workers = {{stub_cell::name(0), "10.0.0.1:80"}, {stub_cell::name(1), "10.0.0.1:80"}},
            .m_workers_epoch = 1,
            .m_store_ms = 500000};
}

/// What the next leader reads. The clocks of the two VMs differ; the store's goes on.
recovered_state state_after(const stub_cell& leader, const recovered_state& found, duration led)
{
    auto next = found;
    ++next.m_self.m_epoch;
    next.m_store_ms += to_ms(led);
    const auto row = leader.m_rows.at({std::string(workers_table), std::string(workers_key)});
    const auto record = *unpack<workers_record>(row);
    next.m_workers = record.m_workers;
    next.m_workers_epoch = record.m_epoch;
    next.m_unheard = record.m_unheard;
    return next;
}

/// The rows as an earlier build knows them.
struct earlier_leader_record
{
    std::uint64_t m_epoch = 0;
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_commit = 0;

    MSGPACK_DEFINE(m_epoch, m_vm, m_incarnation, m_commit)
};

struct earlier_workers_record
{
    std::vector<std::pair<worker_id, std::string>> m_workers;

    MSGPACK_DEFINE(m_workers)
};

} // namespace

TEST_GROUP(restored_jobs){};

TEST(restored_jobs, rows_can_be_read_by_an_earlier_build_and_the_other_way_round)
{
    const auto leader = unpack<earlier_leader_record>(
        pack(leader_record{.m_epoch = 7, .m_commit = 3, .m_uses_stored_since = 5}));
    CHECK_TRUE(leader && leader->m_epoch == 7 && leader->m_commit == 3);
    const auto workers = unpack<earlier_workers_record>(
        pack(workers_record{.m_workers = {{stub_cell::name(0), "10.0.0.1:80"}},
                            .m_epoch = 7,
                            .m_unheard = {{1, false, {0}}}}));
    CHECK_TRUE(workers && workers->m_workers.size() == 1);
    const auto later_leader = unpack<leader_record>(pack(earlier_leader_record{.m_epoch = 7}));
    CHECK_TRUE(later_leader && later_leader->m_uses_stored_since == 0);
    const auto later_workers = unpack<workers_record>(
        pack(earlier_workers_record{.m_workers = {{stub_cell::name(0), "10.0.0.1:80"}}}));
    CHECK_TRUE(later_workers && later_workers->m_epoch == 0 && later_workers->m_unheard.empty());
}

// Incident LOST: each new leader waited anew for the leases on a silent worker.
TEST(restored_jobs, wait_once_for_a_silent_worker_however_often_leaders_change)
{
    constexpr int leaders = 4;
    constexpr duration term = finish_time / leaders;
    auto found = first_state();
    for (int i = 0; i < leaders; ++i)
    {
        stub_cell leader(found);
        leader.m_workers[stub_cell::name(0)].m_silent = true;
        leader.list(2);
        leader.run(std::min(term, longest_lease - i * term) - 50ms);
        LONGS_EQUAL(0, leader.started("job"));
        leader.run(std::max(duration{}, (i + 1) * term - longest_lease));
        LONGS_EQUAL(i + 1 == leaders, leader.started("job"));
        found = state_after(leader, found, term);
    }
}

// The leader before may renew leases on the worker, although this one can't reach it.
TEST(restored_jobs, wait_for_leases_of_the_last_leader_but_one)
{
    auto found = first_state();
    stub_cell leader(found);
    leader.m_workers[stub_cell::name(0)].m_silent = true;
    leader.list(2);
    leader.run(950ms);
    found = state_after(leader, found, 1s);
    found.m_predecessor_gone = true;
    stub_cell next(found);
    next.m_workers[stub_cell::name(0)].m_silent = true;
    next.list(2);
    next.run(longest_lease - 1s);
    LONGS_EQUAL(0, next.started("job"));
    next.run(finish_time - longest_lease);
    LONGS_EQUAL(1, next.started("job"));
}

// Leaders of an earlier build use workers that a row of this build names as unused.
TEST(restored_jobs, wait_the_whole_time_after_a_leader_of_an_earlier_build)
{
    auto found = first_state();
    stub_cell leader(found);
    leader.m_workers[stub_cell::name(0)].m_silent = true;
    leader.list(2);
    leader.run(longest_lease);
    found = state_after(leader, found, longest_lease);
    ++found.m_self.m_epoch;
    found.m_self.m_uses_stored_since = found.m_self.m_epoch;
    stub_cell next(found);
    next.m_workers[stub_cell::name(0)].m_silent = true;
    next.list(2);
    next.run(longest_lease);
    LONGS_EQUAL(0, next.started("job"));
}

// Otherwise a successor would count on it that leases there have run out.
TEST(restored_jobs, a_worker_that_was_silent_is_stored_as_used_before_it_is_used)
{
    auto found = first_state();
    found.m_jobs.clear();
    stub_cell leader(std::move(found));
    leader.m_workers[stub_cell::name(0)].m_silent = true;
    leader.list(1);
    leader.submit("next", {.m_size = {.m_millicores = 1000}});
    leader.run(2s);
    leader.m_store_silent = true;
    leader.m_workers[stub_cell::name(0)].m_silent = false;
    const auto& worker = leader.m_coordinator.workers().at(stub_cell::name(0));
    leader.feed(renewal_answered{stub_cell::name(0), worker.m_renewal_sent_at,
                                 fail(verdict::may_have_run, reason::timeout, "")});
    leader.run(1s);
    CHECK_TRUE(worker.m_synced);
    LONGS_EQUAL(0, leader.started("next"));
    leader.m_store_silent = false;
    leader.run(200ms);
    LONGS_EQUAL(1, leader.started("next"));
}

// A worker that joined and never answered kept all restored jobs waiting for 12 s.
TEST(restored_jobs, do_not_wait_for_a_silent_worker_that_no_leader_has_used)
{
    constexpr int joined = 2;
    stub_cell leader(first_state());
    leader.m_workers[stub_cell::name(joined)].m_silent = true;
    leader.list(joined + 1);
    leader.run(1s);
    LONGS_EQUAL(1, leader.started("job"));
}

// Otherwise a successor would start its tasks a second time.
TEST(restored_jobs, a_worker_that_joined_is_stored_before_it_is_used)
{
    stub_cell leader;
    leader.submit("job", {.m_size = {.m_millicores = 1000}});
    leader.run(300ms);
    leader.m_store_silent = true;
    leader.run(300ms);
    leader.list(1);
    leader.run(1s);
    LONGS_EQUAL(0, leader.started("job"));
    leader.m_store_silent = false;
    leader.run(1s);
    LONGS_EQUAL(1, leader.started("job"));
}

// It may have used a worker that it didn't store.
TEST(restored_jobs, wait_for_a_silent_worker_that_joined_under_a_leader_of_an_earlier_build)
{
    constexpr int joined = 2;
    auto found = first_state();
    found.m_self.m_uses_stored_since = found.m_self.m_epoch;
    stub_cell leader(std::move(found));
    leader.m_workers[stub_cell::name(joined)].m_silent = true;
    leader.list(joined + 1);
    leader.run(longest_lease);
    LONGS_EQUAL(0, leader.started("job"));
}

namespace
{

/// A job of which all tasks ended on one worker while there was no leader.
struct ended_on_one_worker
{
    static constexpr int tasks = 1800;

    ended_on_one_worker()
    {
        job_request request;
        request.m_steps.push_back({.m_count = tasks, .m_size = {.m_millicores = 1}});
        m_found = first_state();
        m_found.m_jobs = {{{std::string(job_table), "job"},
                           1,
                           pack(job_record{{.m_name = queue_id("queue"),
                                            .m_service = service_id("pool"),
                                            .m_max_attempts = 2},
                                           request})}};
    }

    /// Prepares a worker that has the ends but for what earlier leaders acknowledged.
    void prepare(stub_cell& cell) const
    {
        auto& worker = cell.m_workers[stub_cell::name(0)];
        for (int i = 0; i < tasks; ++i)
            worker.m_ended.push_back({.m_number = ++worker.m_last_end,
                                      .m_task = {job_id("job"), 0, 0, i},
                                      .m_run = static_cast<std::uint64_t>(i + 1),
                                      .m_end_kind = end_kind::done});
    }

    recovered_state m_found;
};

} // namespace

// Review case 3: the first 500 ends were taken for all, and the tasks of the others started again.
TEST(restored_jobs, wait_for_all_ends_that_a_worker_lists)
{
    const ended_on_one_worker ended;
    stub_cell cell(ended.m_found);
    ended.prepare(cell);
    cell.list(2);
    cell.run(3s);
    LONGS_EQUAL(0, cell.started("job"));
    STRCMP_EQUAL("completed", std::string(cell.m_coordinator.state_of(job_id("job"))).c_str());
}

// The effects of one report are stored before the next one can be asked for.
TEST(restored_jobs, wait_for_ends_beyond_the_earlier_leases_while_the_store_is_silent)
{
    const ended_on_one_worker ended;
    stub_cell cell(ended.m_found);
    ended.prepare(cell);
    cell.list(2);
    cell.m_store_silent = true;
    cell.run(longest_lease + 5s);
    LONGS_EQUAL(0, cell.started("job"));
    cell.m_store_silent = false;
    cell.run(3s);
    LONGS_EQUAL(0, cell.started("job"));
    STRCMP_EQUAL("completed", std::string(cell.m_coordinator.state_of(job_id("job"))).c_str());
}

// Without it, the worker's other tasks would lapse while its ends are read.
TEST(restored_jobs, keep_the_lease_of_a_worker_that_still_lists_ends)
{
    const ended_on_one_worker ended;
    stub_cell cell(ended.m_found);
    ended.prepare(cell);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    worker.m_ended.pop_back();
    worker.m_running[{job_id("job"), 0, 0, ended_on_one_worker::tasks - 1}] = 5000;
    cell.list(2);
    cell.m_store_silent = true;
    cell.run(1s);
    CHECK_TRUE(worker.m_leases > 0);
}

// A worker that falls silent between two reports may list the other ends until its lease is over.
TEST(restored_jobs, wait_for_the_lease_of_a_worker_that_falls_silent_between_reports)
{
    const ended_on_one_worker ended;
    stub_cell cell(ended.m_found);
    ended.prepare(cell);
    auto& worker = cell.m_workers[stub_cell::name(0)];
    cell.feed(workers_listed{{{.m_id = stub_cell::name(0),
                               .m_service = service_id("pool"),
                               .m_address = endpoint{"10.0.0.1", 80},
                               .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000}}}});
    for (int i = 0; i < 100 && cell.m_coordinator.workers().at(stub_cell::name(0)).m_ends_seen == 0;
         ++i)
        cell.run(10ms);
    worker.m_silent = true;
    cell.list(2);
    cell.run(1200ms);
    const auto sent = cell.m_coordinator.workers().at(stub_cell::name(0)).m_renewal_sent_at;
    cell.feed(renewal_answered{stub_cell::name(0), sent,
                               fail(verdict::may_have_run, reason::timeout, "")});
    cell.run(200ms);
    LONGS_EQUAL(0, cell.started("job"));
    worker.m_silent = false;
    cell.run(3s);
    LONGS_EQUAL(0, cell.started("job"));
    STRCMP_EQUAL("completed", std::string(cell.m_coordinator.state_of(job_id("job"))).c_str());
}
