#include "dragonflygap/cell/customer_admission.hpp"

#include <string>

#include "cell/support/stub_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

const customer_id first("first");
const customer_id second("second");

/// A job of tasks of 1 core for 1 s.
std::vector<step_load> tasks(int count, std::int64_t ms = 1000)
{
    return {{{.m_millicores = 1000, .m_memory_mb = 100}, count, ms}};
}

/// A job's row of a build without customers.
struct earlier_record
{
    queue_rules m_queue;
    job_request m_request;
    std::int64_t m_accepted_ms = 0;

    MSGPACK_DEFINE(m_queue, m_request, m_accepted_ms)
};

constexpr job_times times{.m_objective = 4s, .m_chain = 1s};

std::map<customer_id, customer_rules> customers_with(const resources& limit)
{
    return {{first, {.m_name = first, .m_limit = limit}}, {second, {.m_name = second}}};
}

} // namespace

TEST_GROUP(customer_admission)
{
    customer_backlogs m_backlogs;
    int m_jobs = 0;

    void setup() override { m_backlogs.set_limits(customers_with({.m_millicores = 10000})); }

    /// Adds jobs of 10 tasks of 1 s each: 1 s of the limit.
    void add(int jobs, int priority = 1, bool beyond_share = false)
    {
        for (int i = 0; i < jobs; ++i)
            m_backlogs.add(job_id(std::to_string(++m_jobs)), first, {priority, beyond_share},
                           tasks(10));
    }

    std::optional<duration> retry(int priority = 1, bool beyond_share = false)
    {
        return m_backlogs.retry_after(first, {priority, beyond_share}, tasks(10), times);
    }
};

TEST(customer_admission, a_job_that_would_be_of_no_use_is_rejected_until_it_meets_its_objective)
{
    add(10);
    LONGS_EQUAL(10000, to_ms(m_backlogs.backlog(first, {1, false})));
    CHECK_FALSE(retry().has_value());
    add(10);
    // 20 s of backlog and 1 s of its own; 4 s are the objective.
    LONGS_EQUAL(17000, to_ms(retry().value()));
    add(30);
    LONGS_EQUAL(30000, to_ms(retry().value()));
}

// A rejection is only right if the job is known to be late: run times may be off by 90%.
TEST(customer_admission, a_backlog_of_few_jobs_rejects_nothing)
{
    m_backlogs.add(job_id("large"), first, {1, false}, tasks(200));
    LONGS_EQUAL(20000, to_ms(m_backlogs.backlog(first, {1, false})));
    CHECK_FALSE(retry().has_value());
}

TEST(customer_admission, the_backlog_shrinks_as_tasks_and_jobs_end)
{
    add(20);
    CHECK_TRUE(retry().has_value());
    m_backlogs.set_remaining(job_id("1"), 0, 5);
    LONGS_EQUAL(19500, to_ms(m_backlogs.backlog(first, {1, false})));
    m_backlogs.set_remaining(job_id("1"), 0, 5);
    LONGS_EQUAL(19500, to_ms(m_backlogs.backlog(first, {1, false})));
    for (int i = 1; i <= 10; ++i)
        m_backlogs.remove(job_id(std::to_string(i)));
    m_backlogs.remove(job_id("1"));
    m_backlogs.set_remaining(job_id("1"), 0, 1);
    LONGS_EQUAL(10, m_backlogs.jobs());
    LONGS_EQUAL(10000, to_ms(m_backlogs.backlog(first, {1, false})));
    CHECK_FALSE(retry().has_value());
}

TEST(customer_admission, only_the_backlog_that_precedes_the_job_counts)
{
    add(20, 1, true);
    CHECK_FALSE(retry(0).has_value());
    CHECK_FALSE(retry(1, false).has_value());
    CHECK_TRUE(retry(1, true).has_value());
    CHECK_TRUE(retry(2, false).has_value());
    LONGS_EQUAL(0, to_ms(m_backlogs.backlog(first, {0, true})));
    LONGS_EQUAL(20000, to_ms(m_backlogs.backlog(first, {2, false})));
}

TEST(customer_admission, customers_without_a_limit_and_unknown_ones_are_never_rejected)
{
    for (int i = 0; i < 1000; ++i)
        m_backlogs.add(job_id("second-" + std::to_string(i)), second, {1, false}, tasks(1000));
    CHECK_FALSE(m_backlogs.retry_after(second, {1, false}, tasks(10), times).has_value());
    const customer_id unknown("unknown");
    for (int i = 0; i < 1000; ++i)
        m_backlogs.add(job_id("unknown-" + std::to_string(i)), unknown, {1, false}, tasks(1000));
    CHECK_FALSE(m_backlogs.retry_after(unknown, {1, false}, tasks(10), times).has_value());
}

TEST(customer_admission, the_resource_with_the_longest_backlog_decides)
{
    m_backlogs.set_limits(customers_with({.m_millicores = 100000, .m_memory_mb = 1000}));
    add(20); // 2 s of the cores, 20 s of the memory.
    LONGS_EQUAL(20000, to_ms(m_backlogs.backlog(first, {1, false})));
    CHECK_TRUE(retry().has_value());
}

// Such a task runs alone: the limit doesn't stretch the time that it takes.
TEST(customer_admission, a_task_above_the_limit_occupies_it_once)
{
    m_backlogs.set_limits(customers_with({.m_millicores = 500}));
    m_backlogs.add(job_id("job"), first, {1, false}, tasks(3));
    LONGS_EQUAL(3000, to_ms(m_backlogs.backlog(first, {1, false})));
}

// It would be rejected for ever, as no Retry-After helps it.
TEST(customer_admission, a_job_too_large_for_its_objective_is_accepted_without_a_backlog)
{
    CHECK_FALSE(m_backlogs.retry_after(first, {1, false}, tasks(1000), times).has_value());
    add(8);
    CHECK_FALSE(m_backlogs.retry_after(first, {1, false}, tasks(1000), times).has_value());
    add(12);
    LONGS_EQUAL(20000, to_ms(m_backlogs.retry_after(first, {1, false}, tasks(1000), times).value()));
}

TEST(customer_admission, a_new_version_changes_the_limit_of_the_backlog)
{
    add(20);
    m_backlogs.set_limits(customers_with({.m_millicores = 20000}));
    LONGS_EQUAL(10000, to_ms(m_backlogs.backlog(first, {1, false})));
    CHECK_FALSE(retry().has_value());
    m_backlogs.set_limits({});
    LONGS_EQUAL(0, to_ms(m_backlogs.backlog(first, {1, false})));
    m_backlogs.set_limits(customers_with({.m_millicores = 10000}));
    LONGS_EQUAL(20000, to_ms(m_backlogs.backlog(first, {1, false})));
}

// Sums that are changed with each end collect rounding errors.
TEST(customer_admission, nothing_is_left_when_all_jobs_have_ended)
{
    m_backlogs.set_limits(customers_with({.m_millicores = 7000}));
    for (int i = 0; i < 1000; ++i)
        m_backlogs.add(job_id(std::to_string(i)), first, {i % 3, i % 2 == 0}, tasks(7, 100 + i));
    for (int i = 0; i < 1000; ++i)
        for (int left = 6; left >= 0; --left)
            m_backlogs.set_remaining(job_id(std::to_string(i)), 0, left);
    CHECK_COMPARE(to_ms(m_backlogs.backlog(first, {9, true})), <=, 0);
    for (int i = 0; i < 1000; ++i)
        m_backlogs.remove(job_id(std::to_string(i)));
    CHECK_TRUE(m_backlogs.backlog(first, {9, true}) == duration{});
}

/// The coordinator's part.
TEST_GROUP(customer_jobs)
{
    const queue_rules m_queue{.m_priority = 1, .m_stretch = 2, .m_slack_ms = 1000};
    const step_spec m_step{.m_count = 4,
                           .m_size = {.m_millicores = 1000, .m_memory_mb = 100},
                           .m_expected_ms = 1000};

    static config_changed limited(std::int64_t millicores)
    {
        return {1, {{.m_name = first, .m_limit = {.m_millicores = millicores}}}};
    }

    void submit(stub_cell& cell, const std::string& id, const customer_id& customer)
    {
        auto queue = m_queue;
        queue.m_name = queue_id("queue");
        queue.m_service = service_id("pool");
        cell.feed(job_submitted{++m_calls, job_id(id), queue, {.m_steps = {m_step}}, customer});
    }

    static int answers(const stub_cell& cell, call_status status)
    {
        return static_cast<int>(
            std::count_if(cell.m_answered.begin(), cell.m_answered.end(),
                          [status](const auto& answer) { return answer.m_status == status; }));
    }

    std::uint64_t m_calls = 0;
};

TEST(customer_jobs, a_job_beyond_the_limit_s_backlog_is_rejected_and_counted)
{
    stub_cell cell;
    cell.list(1);
    cell.feed(limited(4000));
    // Each job takes the limit for 1 s; the objective is 3 s.
    constexpr int many = 30;
    for (int i = 0; i < many; ++i)
        submit(cell, "job-" + std::to_string(i), first);
    cell.run(100ms);
    const auto rejected = answers(cell, call_status::over_limit);
    CHECK_COMPARE(rejected, >, 0);
    LONGS_EQUAL(many - rejected, answers(cell, call_status::accepted));
    LONGS_EQUAL(many - rejected, cell.m_coordinator.live_jobs());
    for (const auto& answer : cell.m_answered)
        CHECK_TRUE(answer.m_status != call_status::over_limit ||
                   (answer.m_retry_after_ms >= 1000 && answer.m_retry_after_ms <= 30000));
    auto counts = cell.m_coordinator.take_customer_counts();
    LONGS_EQUAL(1, counts.size());
    const auto cause = static_cast<std::size_t>(rejection_cause::customer_backlog);
    LONGS_EQUAL(rejected, counts[first].m_rejected[cause]);
    LONGS_EQUAL(rejected, counts[first].all_rejected());
    CHECK_TRUE(cell.m_coordinator.take_customer_counts().empty());
}

TEST(customer_jobs, a_rejected_job_is_accepted_once_the_backlog_is_shorter)
{
    stub_cell cell;
    cell.list(2);
    cell.feed(limited(4000));
    for (int i = 0; i < 30; ++i)
        submit(cell, "job-" + std::to_string(i), first);
    cell.run(100ms);
    const auto before = answers(cell, call_status::over_limit);
    submit(cell, "again", first);
    LONGS_EQUAL(before + 1, answers(cell, call_status::over_limit));
    for (int round = 0; round < 100 && cell.m_coordinator.live_jobs() > 0; ++round)
    {
        for (int i = 0; i < 30; ++i)
            cell.end("job-" + std::to_string(i), end_kind::done);
        cell.run(50ms);
    }
    LONGS_EQUAL(0, cell.m_coordinator.live_jobs());
    submit(cell, "again", first);
    cell.run(100ms);
    LONGS_EQUAL(before + 1, answers(cell, call_status::over_limit));
    STRCMP_EQUAL("running", std::string(cell.m_coordinator.state_of(job_id("again"))).c_str());
}

TEST(customer_jobs, jobs_without_a_customer_or_without_an_objective_are_not_rejected)
{
    stub_cell cell;
    cell.list(1);
    cell.feed(limited(4000));
    for (int i = 0; i < 60; ++i)
        submit(cell, "job-" + std::to_string(i), {});
    for (int i = 0; i < 60; ++i)
        submit(cell, "full-" + std::to_string(i), first);
    const auto rejected = answers(cell, call_status::over_limit);
    CHECK_COMPARE(rejected, >, 0);
    CHECK_COMPARE(rejected, <, 60);
    job_request scheduled{.m_steps = {m_step}, .m_occurrences = 2, .m_interval_ms = 1000};
    cell.feed(job_submitted{++m_calls, job_id("scheduled"), m_queue, scheduled, first});
    cell.run(100ms);
    LONGS_EQUAL(rejected, answers(cell, call_status::over_limit));
    LONGS_EQUAL(121 - rejected, answers(cell, call_status::accepted));
}

// A successor that knew no backlog would accept as much again.
TEST(customer_jobs, a_successor_knows_the_backlog_and_which_jobs_are_beyond_the_share)
{
    stub_cell cell;
    cell.list(1);
    cell.feed(limited(4000));
    cell.run(1100ms);
    // Each job takes the whole cell for 1 s, and all of its capacity is the customer's share.
    for (int i = 0; i < 30; ++i)
        submit(cell, "job-" + std::to_string(i), first);
    cell.run(100ms);
    const auto rejected = answers(cell, call_status::over_limit);
    const auto accepted = answers(cell, call_status::accepted);
    const auto beyond = cell.m_coordinator.take_customer_counts()[first].m_beyond_share;
    CHECK_COMPARE(beyond, >, 0U);
    CHECK_COMPARE(beyond, <, static_cast<std::uint64_t>(accepted));

    recovered_state found;
    found.m_self = {.m_epoch = 3, .m_vm = vm_id("vm")};
    found.m_predecessor_gone = true;
    for (const auto& [name, value] : cell.m_rows)
        if (name.m_table == job_table)
            found.m_jobs.push_back({name, 1, value});
    LONGS_EQUAL(accepted, found.m_jobs.size());
    stub_cell next(found);
    next.list(1);
    next.feed(limited(4000));
    std::uint64_t restored_beyond = 0;
    next.m_coordinator.for_each_job([&](const job_state& job)
                                    { restored_beyond += job.record().m_beyond_share ? 1 : 0; });
    LONGS_EQUAL(beyond, restored_beyond);
    submit(next, "new", first);
    // The new job is within the share, as balances begin full, so those beyond it don't count.
    LONGS_EQUAL(0, answers(next, call_status::over_limit));
    next.feed(config_changed{2, {{.m_name = first, .m_weight = 0, .m_limit = {.m_millicores = 4000}}}});
    submit(next, "beyond", first);
    LONGS_EQUAL(1, answers(next, call_status::over_limit));
    CHECK_COMPARE(rejected, >, 0);
}

// A customer without a limit whose jobs fill the queue kept the jobs of all others out.
TEST(customer_jobs, jobs_beyond_a_share_leave_half_of_the_queue_to_others)
{
    coordinator_options options;
    options.m_max_ready_steps = 100;
    stub_cell cell({}, options);
    cell.list(1);
    cell.feed(config_changed{1, {{.m_name = first}, {.m_name = second}}});
    cell.run(1100ms);
    for (int i = 0; i < 200; ++i)
        submit(cell, "job-" + std::to_string(i), first);
    cell.run(100ms);
    CHECK_COMPARE(answers(cell, call_status::rejected), >=, 100);
    const auto before = answers(cell, call_status::accepted);
    submit(cell, "other", second);
    cell.run(100ms);
    LONGS_EQUAL(before + 1, answers(cell, call_status::accepted));
}

// An earlier build's row ends before the field.
TEST(customer_jobs, rows_of_earlier_builds_are_within_the_share)
{
    const auto read = unpack<job_record>(pack(earlier_record{m_queue, {.m_steps = {m_step}}, 7}));
    CHECK_TRUE(read.has_value());
    LONGS_EQUAL(7, read->m_accepted_ms);
    CHECK_TRUE(read->m_customer.empty());
    CHECK_FALSE(read->m_beyond_share);
    job_record record{.m_queue = m_queue, .m_customer = first, .m_beyond_share = true};
    CHECK_TRUE(unpack<job_record>(pack(record))->m_beyond_share);
}
