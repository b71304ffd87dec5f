#include <string>

#include "cell/support/stub_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

const customer_id weaver("weaver");
const customer_id dyer("dyer");
const customer_id nobody;

} // namespace

// A job belongs to the customer that submitted it, also after its end and under later leaders.
TEST_GROUP(job_owner)
{
    stub_cell m_cell;
    std::uint64_t m_last_call = 1000;

    call_status answer_to(std::uint64_t call) const
    {
        for (const auto& answer : m_cell.m_answered)
            if (answer.m_call == call)
                return answer.m_status;
        FAIL("the call wasn't answered");
        return {};
    }

    // A leader rejects jobs of customers that the configuration doesn't list.
    static void list_customers(stub_cell & cell)
    {
        cell.feed(config_changed{1, {{.m_name = weaver}, {.m_name = dyer}}});
    }

    call_status submit(stub_cell & cell, const std::string& id, const customer_id& customer)
    {
        job_request request;
        request.m_steps.push_back({.m_size = {.m_millicores = 100, .m_memory_mb = 10}});
        list_customers(cell);
        const auto call = ++m_last_call;
        cell.feed(job_submitted{call,
                                job_id(id),
                                {.m_name = queue_id("q"), .m_service = service_id("pool")},
                                std::move(request),
                                customer});
        cell.run(50ms);
        for (const auto& answer : cell.m_answered)
            if (answer.m_call == call)
                return answer.m_status;
        FAIL("the call wasn't answered");
        return {};
    }

    call_status cancel(const std::string& id, const customer_id& customer)
    {
        const auto call = ++m_last_call;
        m_cell.feed(job_cancelled{call, job_id(id), customer});
        m_cell.run(50ms);
        return answer_to(call);
    }

    std::string state(const std::string& id, const customer_id& customer) const
    {
        return std::string(m_cell.m_coordinator.state_of(job_id(id), customer));
    }

    void setup() override
    {
        m_cell.list(1);
        list_customers(m_cell);
        CHECK(submit(m_cell, "job", weaver) == call_status::accepted);
    }
};

TEST(job_owner, another_customers_call_finds_no_job)
{
    STRCMP_EQUAL("running", state("job", weaver).c_str());
    STRCMP_EQUAL("running", state("job", nobody).c_str());
    STRCMP_EQUAL("", state("job", dyer).c_str());
    CHECK(cancel("job", dyer) == call_status::not_here);
    STRCMP_EQUAL("running", state("job", weaver).c_str());
    CHECK(cancel("job", weaver) == call_status::accepted);
    STRCMP_EQUAL("cancelled", state("job", weaver).c_str());
}

TEST(job_owner, an_ended_job_stays_its_customers)
{
    m_cell.end("job", end_kind::done);
    m_cell.run(100ms);
    STRCMP_EQUAL("completed", state("job", weaver).c_str());
    STRCMP_EQUAL("completed", state("job", nobody).c_str());
    STRCMP_EQUAL("", state("job", dyer).c_str());
    CHECK(cancel("job", dyer) == call_status::not_here);
    CHECK(submit(m_cell, "job", dyer) == call_status::rejected);
    CHECK(submit(m_cell, "job", weaver) == call_status::accepted);
    STRCMP_EQUAL("completed", state("job", weaver).c_str());
}

TEST(job_owner, the_id_of_another_customers_job_is_rejected_and_changes_nothing)
{
    const auto rows = m_cell.m_rows;
    CHECK(submit(m_cell, "job", dyer) == call_status::rejected);
    LONGS_EQUAL(1, m_cell.m_coordinator.live_jobs());
    STRCMP_EQUAL("weaver",
                 m_cell.m_coordinator.find_job(job_id("job"))->record().m_customer.m_value.c_str());
    const row_name row{std::string(job_table), "job"};
    CHECK(rows.at(row) == m_cell.m_rows.at(row));
    CHECK(submit(m_cell, "job", weaver) == call_status::accepted);
    LONGS_EQUAL(1, m_cell.started("job"));
}

// Both calls arrive before the store has the job.
TEST(job_owner, a_job_that_is_being_stored_has_its_customer_already)
{
    m_cell.m_store_silent = true;
    job_request request;
    request.m_steps.emplace_back();
    m_cell.feed(job_submitted{1, job_id("new"), {}, request, dyer});
    m_cell.feed(job_submitted{2, job_id("new"), {}, request, weaver});
    CHECK(answer_to(2) == call_status::rejected);
    m_cell.m_store_silent = false;
    m_cell.run(100ms);
    CHECK(answer_to(1) == call_status::accepted);
}

TEST(job_owner, a_successor_knows_the_customers_of_stored_jobs)
{
    recovered_state found;
    for (const auto& [name, value] : m_cell.m_rows)
        if (name.m_table == job_table)
            found.m_jobs.push_back({name, 1, value});
    LONGS_EQUAL(1, found.m_jobs.size());
    stub_cell successor(std::move(found));
    CHECK(successor.m_coordinator.state_of(job_id("job"), dyer).empty());
    CHECK_FALSE(successor.m_coordinator.state_of(job_id("job"), weaver).empty());
    CHECK(submit(successor, "job", dyer) == call_status::rejected);
}

// The leader has forgotten such a job, or never knew it: the store refuses the submission.
TEST(job_owner, the_row_of_an_ended_job_tells_whose_it_was)
{
    const row_name row{std::string(ended_table), "old"};
    m_cell.m_rows[row] = pack(ended_record{0, weaver});
    CHECK(submit(m_cell, "old", dyer) == call_status::rejected);
    CHECK(submit(m_cell, "old", weaver) == call_status::accepted);
    CHECK(submit(m_cell, "old", nobody) == call_status::accepted);
    LONGS_EQUAL(0, m_cell.started("old"));
    LONGS_EQUAL(1, m_cell.m_coordinator.live_jobs());
    CHECK(m_cell.m_rows.at(row) == pack(ended_record{0, weaver}));
}

TEST(job_owner, rows_of_earlier_builds_match_every_customer)
{
    const auto former = unpack<ended_record>(pack(std::tuple(2)));
    CHECK_TRUE(former.has_value());
    LONGS_EQUAL(2, former->m_outcome);
    CHECK(former->m_customer.empty());
    const auto job = unpack<job_record>(pack(std::tuple(queue_rules{}, job_request{}, 7)));
    CHECK_TRUE(job.has_value());
    CHECK(job->m_customer.empty());
}
