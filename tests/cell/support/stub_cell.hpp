#pragma once

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "cell/support/count_invariants.hpp"
#include "cell/support/run_invariants.hpp"
#include "cell/support/simulated_worker.hpp"
#include "cell/support/store_limits.hpp"
#include "dragonflygap/cell/coordinator.hpp"

#include <CppUTest/TestHarness.h>

namespace simulated
{

using namespace dragonflygap;
using namespace dragonflygap::cell;

/// Runs a coordinator whose store and workers answer at the next tick, and whose approval service
/// answers after the call's cost. Tasks run until end() is called.
class stub_cell
{
public:
    explicit stub_cell(recovered_state found = {}, coordinator_options options = {})
        : m_coordinator(
              options,
              [&found]
              {
                  if (found.m_self.m_epoch == 0)
                  {
                      found.m_self = {.m_epoch = 2, .m_vm = vm_id("vm")};
                      found.m_predecessor_gone = true;
                  }
                  return found;
              }(),
              instant(10s))
    {
        feed(members_changed{{vm_id("vm")}});
    }

    static worker_id name(int number) { return worker_id("worker-" + std::to_string(number)); }

    void list(int workers, int labelled = 0)
    {
        for (int i = 0; i < workers; ++i)
            m_listed.push_back({.m_id = name(i),
                                .m_service = service_id("pool"),
                                .m_address = endpoint{"10.0.0.1", 80},
                                .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000},
                                .m_labels = i < labelled ? std::vector<std::string>{"special"}
                                                         : std::vector<std::string>{}});
        feed(workers_listed{m_listed});
        run(50ms);
    }

    /// Lets approvals be requested through this number of VMs.
    void set_vm_count(int count)
    {
        std::vector<vm_id> vms;
        for (int i = 0; i < count; ++i)
            vms.push_back(vm_id("vm-" + std::to_string(i)));
        feed(members_changed{std::move(vms)});
    }

    void feed(const event& incoming)
    {
        for (auto& action : m_coordinator.handle(incoming, m_now, m_unix_ms))
            std::visit([this](const auto& request) { act(request); }, action);
    }

    void run(duration length)
    {
        for (const auto until = m_now + length; m_now < until; m_now += 10ms, m_unix_ms += 10)
        {
            if (!m_holds_renewals)
                for (const auto& held : std::exchange(m_held_renewals, {}))
                    act(held);
            if (!m_holds_starts)
                for (const auto& held : std::exchange(m_held_starts, {}))
                    act(held);
            std::vector<event> answers;
            answers.swap(m_answers);
            if (!m_store_silent)
                for (auto& answer : std::exchange(m_unsent_answers, {}))
                    answers.push_back(std::move(answer));
            for (const auto& answer : answers)
                feed(answer);
            auto later = std::exchange(m_later, {});
            for (auto& [when, answer] : later)
                if (when <= m_now)
                    feed(answer);
                else
                    m_later.emplace_back(when, answer);
            if (m_leases_lapse)
                end_lapsed_leases();
            feed(tick{});
            check_runs(m_coordinator);
            check_counts(m_coordinator);
        }
    }

    void submit(const std::string& id, step_spec step, queue_rules queue = {})
    {
        job_request request;
        request.m_steps.push_back(std::move(step));
        submit(id, std::move(request), queue);
    }
    void submit(const std::string& id, job_request request, queue_rules queue = {})
    {
        queue.m_name = queue_id("queue-" + std::to_string(queue.m_priority));
        queue.m_service = service_id("pool");
        feed(job_submitted{++m_last_call, job_id(id), queue, std::move(request), m_customer});
    }

    int started(const std::string& id) const
    {
        const auto found = m_started.find(job_id(id));
        return found == m_started.end() ? 0 : found->second;
    }

    /// Runs of a job's tasks that are under way, on all workers.
    int running(const std::string& id) const
    {
        int count = 0;
        for (const auto& [worker, state] : m_workers)
            count += static_cast<int>(std::count_if(state.m_running.begin(), state.m_running.end(),
                                                    [&id](const auto& task)
                                                    { return task.first.m_job == job_id(id); }));
        return count;
    }

    /// The worker's process ends and starts again under its identifier.
    void restart(int number)
    {
        auto& worker = m_workers[name(number)];
        worker = {.m_started_at = worker.m_started_at + 1, .m_born = m_now};
    }

    /// Ends the running tasks of a job, or as many of them.
    void end(const std::string& id, end_kind kind, int most = std::numeric_limits<int>::max())
    {
        for (auto& [worker, state] : m_workers)
            for (auto task = state.m_running.begin(); task != state.m_running.end();)
                if (task->first.m_job == job_id(id) && most-- > 0)
                {
                    state.m_ended.push_back({.m_number = ++state.m_last_end,
                                             .m_task = task->first,
                                             .m_run = task->second,
                                             .m_end_kind = kind});
                    task = state.m_running.erase(task);
                }
                else
                    ++task;
    }

    struct stub_worker
    {
        std::map<task_key, std::uint64_t> m_running;
        std::vector<ended_task> m_ended;
        std::uint64_t m_last_end = 0;
        bool m_silent = false;
        /// Starts and stops get no answer and have no effect; renewals are answered.
        bool m_orders_fail = false;
        int m_long_polls = 0; ///< Renewals that would wait for an end.
        int m_leases = 0;     ///< Renewals that extended the lease.
        std::uint64_t m_started_at = 1;
        std::string m_checkpoint;                    ///< Of all its tasks.
        std::int64_t m_lease_until_ms = 0;           ///< By its clock.
        instant m_born{};                            ///< Its clock's zero.
        std::map<task_key, std::uint64_t> m_stopped; ///< Highest run: no such run begins later.
    };

    instant m_now{10s};
    std::int64_t m_unix_ms = 1000000;
    std::map<worker_id, stub_worker> m_workers;
    std::vector<worker_info> m_listed;
    customer_id m_customer;             ///< Of the jobs that are submitted next.
    std::int64_t m_valid_ms = 2500;     ///< Of the issued tickets.
    std::int64_t m_max_hold_ms = 10000; ///< Workers shorten longer leases to this.
    bool m_holds_renewals = false;      ///< Renewals reach the workers later.
    std::vector<send_renewal> m_held_renewals;
    bool m_holds_starts = false; ///< Start orders reach the workers later.
    std::vector<send_start> m_held_starts;
    bool m_store_silent = false; ///< The store's answers are kept back.
    std::vector<event> m_unsent_answers;
    std::map<row_name, std::string> m_rows;            ///< As written by the coordinator.
    std::vector<answer_call> m_answered;               ///< Submissions and cancellations.
    std::function<bool(const transaction&)> m_refuses; ///< What else the store refuses.
    int m_commits = 0;
    int m_rejected_commits = 0;
    int m_calls = 0;
    int m_renewals = 0;
    std::size_t m_max_named = 0;
    std::function<bool(const worker_id&)> m_approves = [](const worker_id&) { return true; };
    /// Answers a start in the worker's place, which then does nothing by itself.
    std::function<std::optional<outcome<start_result>>(const send_start&)> m_intercepts_start;
    /// Completes what a report tells of a run.
    std::function<void(running_task&)> m_describes_run;
    bool m_leases_lapse = false; ///< Otherwise tasks run on without one.
    coordinator m_coordinator;

    static tl::unexpected<failure> no_answer()
    {
        return fail(verdict::may_have_run, reason::target_failed, "connection reset");
    }

private:
    std::int64_t clock_of(const stub_worker& worker) const { return to_ms(m_now - worker.m_born); }
    void extend_lease(stub_worker& worker, std::int64_t deadline_ms) const
    {
        worker.m_lease_until_ms = std::max(worker.m_lease_until_ms,
                                           std::min(deadline_ms, clock_of(worker) + m_max_hold_ms));
    }
    void end_lapsed_leases()
    {
        for (auto& [id, worker] : m_workers)
            if (worker.m_lease_until_ms <= clock_of(worker))
                for (const auto& [task, run] : std::exchange(worker.m_running, {}))
                    worker.m_ended.push_back({.m_number = ++worker.m_last_end,
                                              .m_task = task,
                                              .m_run = run,
                                              .m_end_kind = end_kind::lapsed});
    }
    void act(const answer_call& answer) { m_answered.push_back(answer); }
    void act(const read_leader_row&) {}
    void act(const step_down&) { FAIL("stepped down"); }
    void act(const send_commit& request)
    {
        ++m_commits;
        if (!accepts(request.m_change) || (m_refuses && m_refuses(request.m_change)))
        {
            ++m_rejected_commits;
            m_answers.push_back(commit_answered{request.m_number, rejected()});
            return;
        }
        if (auto conflicts = unexpected_rows(request.m_change); !conflicts.empty())
        {
            m_answers.push_back(commit_answered{
                request.m_number, transaction_result{.m_conflicts = std::move(conflicts)}});
            return;
        }
        for (const auto& name : request.m_change.m_deletes)
            m_rows.erase(name);
        for (const auto& write : request.m_change.m_writes)
            m_rows[write.m_row] = write.m_value;
        (m_store_silent ? m_unsent_answers : m_answers)
            .push_back(
                commit_answered{request.m_number,
                                transaction_result{.m_committed = true, .m_version = ++m_version}});
    }
    /// Rows that exist although the transaction requires that they don't.
    std::vector<stored_row> unexpected_rows(const transaction& change) const
    {
        std::vector<stored_row> result;
        for (const auto& condition : change.m_conditions)
            if (const auto row = m_rows.find(condition.m_row);
                condition.m_version == 0 && row != m_rows.end())
                result.push_back({row->first, 1, row->second});
        return result;
    }
    void act(const send_renewal& request)
    {
        ++m_renewals;
        auto& worker = m_workers[request.m_worker.m_id];
        worker.m_long_polls += request.m_renewal.m_wait > duration{} ? 1 : 0;
        worker.m_leases += request.m_renewal.m_deadline_ms ? 1 : 0;
        if (worker.m_silent)
            return;
        if (const auto deadline_ms = request.m_renewal.m_deadline_ms)
            extend_lease(worker, *deadline_ms);
        if (m_holds_renewals)
        {
            m_held_renewals.push_back(request);
            return;
        }
        std::erase_if(worker.m_ended, [&](const ended_task& end)
                      { return end.m_number <= request.m_renewal.m_acknowledged; });
        worker_report report{.m_clock_ms = clock_of(worker), .m_started_at = worker.m_started_at};
        for (const auto& [task, run] : worker.m_running)
        {
            report.m_running.push_back({.m_task = task,
                                        .m_run = run,
                                        .m_checkpoint = worker.m_checkpoint,
                                        .m_progress_percent = 100});
            if (m_describes_run)
                m_describes_run(report.m_running.back());
        }
        report.m_ended = first_ends(worker.m_ended);
        m_answers.push_back(renewal_answered{request.m_worker.m_id, request.m_sent, report});
    }
    void act(const send_start& request)
    {
        if (m_holds_starts)
        {
            m_held_starts.push_back(request);
            return;
        }
        if (m_intercepts_start)
            if (const auto result = m_intercepts_start(request))
            {
                m_answers.push_back(start_answered{request.m_worker.m_id, request.m_order.m_task,
                                                   request.m_order.m_run, *result, request.m_sent});
                return;
            }
        if (m_workers[request.m_worker.m_id].m_orders_fail)
        {
            m_answers.push_back(start_answered{request.m_worker.m_id, request.m_order.m_task,
                                               request.m_order.m_run, no_answer(), request.m_sent});
            return;
        }
        auto& worker = m_workers[request.m_worker.m_id];
        extend_lease(worker, request.m_order.m_deadline_ms);
        if (request.m_order.m_run <= worker.m_stopped[request.m_order.m_task])
        {
            m_answers.push_back(start_answered{
                request.m_worker.m_id, request.m_order.m_task, request.m_order.m_run,
                start_result{start_refusal::outdated, clock_of(worker)}, request.m_sent});
            return;
        }
        worker.m_running[request.m_order.m_task] = request.m_order.m_run;
        ++m_started[request.m_order.m_task.m_job];
        m_answers.push_back(
            start_answered{request.m_worker.m_id, request.m_order.m_task, request.m_order.m_run,
                           start_result{.m_clock_ms = clock_of(worker)}, request.m_sent});
    }
    void act(const send_stop& request)
    {
        auto& worker = m_workers[request.m_worker.m_id];
        if (worker.m_orders_fail)
        {
            m_answers.push_back(stop_answered{request.m_worker.m_id, request.m_task, request.m_run,
                                              no_answer(), request.m_sent});
            return;
        }
        auto& stopped = worker.m_stopped[request.m_task];
        stopped = std::max(stopped, request.m_run);
        if (worker.m_running.erase(request.m_task) != 0)
            worker.m_ended.push_back({.m_number = ++worker.m_last_end,
                                      .m_task = request.m_task,
                                      .m_run = request.m_run,
                                      .m_end_kind = end_kind::stopped});
        m_answers.push_back(stop_answered{request.m_worker.m_id, request.m_task, request.m_run,
                                          start_result{.m_clock_ms = clock_of(worker)},
                                          request.m_sent});
    }
    void act(const request_approval& request)
    {
        ++m_calls;
        m_max_named = std::max(m_max_named, request.m_workers.size());
        approval result{.m_valid_ms = m_valid_ms};
        for (const auto& worker : request.m_workers)
            if (m_approves(worker))
                result.m_tickets.push_back({worker, "ticket"});
        m_later.emplace_back(m_now + request.m_cost,
                             approval_answered{.m_call = request.m_call,
                                               .m_step = request.m_step,
                                               .m_via = request.m_via,
                                               .m_workers = request.m_workers,
                                               .m_result = result,
                                               .m_response_time = request.m_cost,
                                               .m_backlog_time = duration{}});
    }

    std::vector<event> m_answers;
    std::vector<std::pair<instant, event>> m_later;
    std::map<job_id, int> m_started;
    std::uint64_t m_version = 1;
    std::uint64_t m_last_call = 0;
};

} // namespace simulated
