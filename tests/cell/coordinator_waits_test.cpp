#include "cell/support/count_invariants.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;
using simulated::check_counts;

namespace
{

const instant start(10s);
const worker_id only_worker("worker");
constexpr std::int64_t worker_millicores = 4000;
constexpr std::int64_t ticket_ms = 2500;

/// A leader with one worker and one VM, whose queue needs approvals.
class leader
{
public:
    leader()
    {
        feed(members_changed{{vm_id("vm")}});
        feed(workers_listed{{{.m_id = only_worker,
                              .m_service = service_id("pool"),
                              .m_capacity = {.m_millicores = worker_millicores}}}});
        feed(renewal_answered{only_worker, m_now, worker_report{.m_clock_ms = 1}});
        feed(members_changed{{vm_id("vm")}});
    }

    std::vector<action> feed(const event& incoming)
    {
        auto actions = m_coordinator.handle(incoming, m_now, 0);
        for (const auto& action : actions)
            if (const auto* commit = std::get_if<send_commit>(&action))
                m_commit = commit->m_number;
            else if (const auto* order = std::get_if<send_start>(&action))
                m_order = *order;
            else if (const auto* ask = std::get_if<request_approval>(&action))
                m_calls[ask->m_step.m_job] = ask->m_call;
        return actions;
    }

    /// Ticks for a while; the store commits every transaction, and nothing else is answered.
    void run(duration length)
    {
        for (const auto until = m_now + length; m_now < until; m_now += 10ms)
        {
            feed(tick{});
            if (const auto number = std::exchange(m_commit, 0))
                feed(commit_answered{
                    number, transaction_result{.m_committed = true, .m_version = ++m_version}});
        }
    }

    void submit(const std::string& id, step_spec step)
    {
        job_request request;
        request.m_steps.push_back(std::move(step));
        feed(job_submitted{.m_call = ++m_last_call,
                           .m_job = job_id(id),
                           .m_queue = {.m_service = service_id("pool"),
                                       .m_approval = {.m_decision_ms = 1, .m_valid_ms = ticket_ms}},
                           .m_request = std::move(request)});
    }

    void approve(const std::string& id)
    {
        feed(approval_answered{
            .m_call = m_calls[job_id(id)],
            .m_step = {job_id(id), 0, 0},
            .m_via = vm_id("vm"),
            .m_workers = {only_worker},
            .m_result = approval{.m_tickets = {{only_worker, "ticket"}}, .m_valid_ms = ticket_ms}});
    }

    instant m_now = start;
    coordinator m_coordinator{{}, {.m_self = {.m_epoch = 1, .m_vm = vm_id("vm")}}, start};
    std::optional<send_start> m_order;       ///< The last one.
    std::map<job_id, std::uint64_t> m_calls; ///< The last one for each job.

private:
    std::uint64_t m_commit = 0; ///< Number of the transaction in flight; 0: none.
    std::uint64_t m_version = 1;
    std::uint64_t m_last_call = 0;
};

} // namespace

TEST_GROUP(coordinator_waits){};

TEST(coordinator_waits, steps_are_reported_by_rank_then_by_age_without_duplicates)
{
    leader lead;
    for (const auto* id : {"d", "c", "b", "a"})
    {
        // Jobs that need more work have a later rank time.
        const std::int64_t expected_ms = id[0] == 'd' ? 1000000 : 1;
        lead.submit(id, {.m_size = {.m_millicores = 1000}, .m_expected_ms = expected_ms});
        lead.run(100ms);
    }
    const auto report = lead.m_coordinator.report_waits(2, 1);
    LONGS_EQUAL(4, report.m_pass.m_steps_waiting);
    LONGS_EQUAL(0, report.m_pass.m_gangs_waiting);
    LONGS_EQUAL(0, report.m_pass.m_not_queued);
    LONGS_EQUAL(4, report.m_pass.m_approvals_in_flight);
    LONGS_EQUAL(1, report.m_pass.m_workers_open);
    LONGS_EQUAL(worker_millicores, report.m_pass.m_millicores_free);
    LONGS_EQUAL(390, to_ms(report.m_pass.m_oldest_wait)); // At the last tick.
    LONGS_EQUAL(3, report.m_steps.size());
    STRCMP_EQUAL("c", report.m_steps[0].m_step.m_job.m_value.c_str());
    STRCMP_EQUAL("b", report.m_steps[1].m_step.m_job.m_value.c_str());
    STRCMP_EQUAL("d", report.m_steps[2].m_step.m_job.m_value.c_str());
    for (const auto& step : report.m_steps)
        CHECK_TRUE(step.m_cause == waiting_cause::approval_asked);
}

TEST(coordinator_waits, capacity_used_by_a_gang_and_free_capacity_are_reported)
{
    leader lead;
    lead.submit("gang", {.m_count = 2, .m_size = {.m_millicores = 1000}, .m_gang = true});
    lead.run(100ms);
    lead.approve("gang");
    lead.feed(tick{});
    CHECK_TRUE(lead.m_order.has_value());
    lead.submit("next", {.m_count = 3, .m_size = {.m_millicores = 1000}, .m_gang = true});
    lead.run(100ms);
    lead.approve("next");
    lead.feed(tick{});
    const auto report = lead.m_coordinator.report_waits(8, 4);
    LONGS_EQUAL(1, report.m_pass.m_gangs_waiting);
    LONGS_EQUAL(2, report.m_pass.m_runs_starting);
    LONGS_EQUAL(worker_millicores - 2000, report.m_pass.m_millicores_free);
    LONGS_EQUAL(1, report.m_steps.size());
    CHECK_TRUE(report.m_steps[0].m_cause == waiting_cause::no_room);
    LONGS_EQUAL(2, report.m_steps[0].m_room_ticketed);
}

TEST(coordinator_waits, each_ticket_is_counted_as_used_or_as_lapsed)
{
    leader lead;
    lead.submit("small", {.m_size = {.m_millicores = worker_millicores}});
    lead.run(100ms);
    lead.approve("small");
    lead.feed(tick{});
    LONGS_EQUAL(1, lead.m_coordinator.counts().m_tickets.m_used);
    lead.submit("next", {.m_size = {.m_millicores = worker_millicores}});
    lead.run(100ms);
    lead.approve("next");
    lead.run(std::chrono::milliseconds(ticket_ms) + 1s);
    const auto& counts = lead.m_coordinator.counts();
    LONGS_EQUAL(2, counts.m_calls.m_answered);
    LONGS_EQUAL(2, counts.m_workers_named);
    LONGS_EQUAL(2, counts.m_tickets.m_received);
    LONGS_EQUAL(1, counts.m_tickets.m_used);
    LONGS_EQUAL(1, counts.m_tickets.m_lapsed);
    LONGS_EQUAL(0, counts.m_calls.m_needless);
    check_counts(lead.m_coordinator);
}

TEST(coordinator_waits, unneeded_answers_and_refused_starts_are_counted)
{
    leader lead;
    lead.approve("unknown");
    lead.submit("small", {.m_size = {.m_millicores = 1000}});
    lead.run(100ms);
    lead.approve("small");
    lead.feed(tick{});
    lead.approve("small");
    const auto& counts = lead.m_coordinator.counts();
    LONGS_EQUAL(1, counts.m_calls.m_answered);
    LONGS_EQUAL(2, counts.m_calls.m_unexpected);
    LONGS_EQUAL(1, counts.m_tickets.m_gone);
    LONGS_EQUAL(1, counts.m_tickets.m_given_up);
    LONGS_EQUAL(0, counts.m_tickets.m_lapsed);
    lead.feed(start_answered{only_worker, lead.m_order->m_order.m_task, lead.m_order->m_order.m_run,
                             start_result{.m_refusal = start_refusal::no_ticket}});
    LONGS_EQUAL(1, counts.m_starts_refused);
}
