#include "dragonflygap/cell/approval_backlog.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant start(10s);
const vm_id leader("leader");

approval_call call_for(const std::string& job, std::uint64_t epoch = 1)
{
    return {.m_epoch = epoch, .m_step = {job_id(job), 0, 0}, .m_timeout_ms = 500, .m_cost_ms = 100};
}

std::string next_job(approval_backlog& backlog)
{
    const auto next = backlog.next();
    return next ? next->m_call.m_step.m_job.m_value : "";
}

} // namespace

TEST_GROUP(approval_backlog){};

TEST(approval_backlog, sends_only_enough_calls_to_keep_the_service_busy)
{
    approval_backlog backlog({.m_max_in_flight = 2});
    for (const auto* job : {"a", "b", "c"})
        backlog.add(leader, call_for(job), start);
    STRCMP_EQUAL("a", next_job(backlog).c_str());
    STRCMP_EQUAL("b", next_job(backlog).c_str());
    STRCMP_EQUAL("", next_job(backlog).c_str());
    CHECK(300ms == backlog.backlog_time());
    backlog.finished(call_for("a"));
    CHECK(200ms == backlog.backlog_time());
    STRCMP_EQUAL("c", next_job(backlog).c_str());
}

// After several changes of leader, each leader's calls would wait behind those of its predecessors
// for the same steps.
TEST(approval_backlog, drops_the_calls_of_earlier_leaders)
{
    approval_backlog backlog({.m_max_in_flight = 1});
    for (const auto* job : {"a", "b", "c"})
        backlog.add(leader, call_for(job, 1), start);
    STRCMP_EQUAL("a", next_job(backlog).c_str());
    backlog.add(leader, call_for("d", 2), start);
    backlog.add(leader, call_for("b", 1), start);
    backlog.finished(call_for("a"));
    STRCMP_EQUAL("d", next_job(backlog).c_str());
    backlog.finished(call_for("d"));
    STRCMP_EQUAL("", next_job(backlog).c_str());
    CHECK(duration{} == backlog.backlog_time());
}

TEST(approval_backlog, a_repeated_call_for_a_step_replaces_the_first)
{
    approval_backlog backlog({.m_max_in_flight = 1});
    backlog.add(leader, call_for("a"), start);
    backlog.add(leader, call_for("a"), start);
    STRCMP_EQUAL("a", next_job(backlog).c_str());
    backlog.finished(call_for("a"));
    STRCMP_EQUAL("", next_job(backlog).c_str());
}

TEST(approval_backlog, calls_that_were_not_sent_in_time_expire)
{
    approval_backlog backlog({.m_max_in_flight = 1});
    backlog.add(leader, call_for("a"), start);
    backlog.add(leader, call_for("b"), start + 100ms);
    CHECK_TRUE(backlog.remove_expired(start + 499ms).empty());
    const auto expired = backlog.remove_expired(start + 500ms);
    LONGS_EQUAL(1, expired.size());
    STRCMP_EQUAL("a", expired[0].m_call.m_step.m_job.m_value.c_str());
    STRCMP_EQUAL("b", next_job(backlog).c_str());
}
