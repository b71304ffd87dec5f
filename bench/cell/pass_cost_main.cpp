// bench-cell measures the time of one scheduling pass of a leader whose cell is full, by worker
// count and backlog.
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "dragonflygap/cell/coordinator.hpp"

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

constexpr int vm_count = 8;
constexpr int pass_count = 200;

/// A leader whose store and approval service answer immediately and whose tasks never end.
class full_cell
{
public:
    full_cell(int workers, int waiting) : m_coordinator(default_options(), leader_state(), m_now)
    {
        std::vector<vm_id> members;
        members.reserve(vm_count);
        for (int i = 0; i < vm_count; ++i)
            members.emplace_back("vm-" + std::to_string(i));
        deliver(members_changed{members});
        std::vector<worker_info> listed;
        listed.reserve(static_cast<std::size_t>(workers));
        for (int i = 0; i < workers; ++i)
            listed.push_back(
                {.m_id = worker_id("worker-" + std::to_string(i)),
                 .m_service = service_id("pool"),
                 .m_address = endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)},
                 .m_capacity = {.m_millicores = 16000, .m_memory_mb = 32768}});
        deliver(workers_listed{listed});
        for (const auto& worker : listed)
            deliver(renewal_answered{worker.m_id, m_now, worker_report{.m_clock_ms = 1000}});
        // Fills the cell with one task per worker. All later steps wait: small, wide and gangs.
        for (int i = 0; i < workers; ++i)
            submit({.m_size = {.m_millicores = 15500, .m_memory_mb = 1000}});
        run(50);
        for (int i = 0; i < waiting; ++i)
            if (i % 10 == 0)
                submit({.m_count = 8,
                        .m_size = {.m_millicores = 4500, .m_memory_mb = 6000},
                        .m_gang = true});
            else if (i % 10 < 3)
                submit({.m_count = 12, .m_size = {.m_millicores = 1000, .m_memory_mb = 1800}});
            else
                submit({.m_count = 2, .m_size = {.m_millicores = 1400, .m_memory_mb = 2000}});
        run(50);
    }

    void run(int ticks)
    {
        for (int i = 0; i < ticks; ++i)
        {
            m_now += 10ms;
            deliver(tick{});
        }
    }

    std::size_t waiting() const { return m_coordinator.ready_steps(); }

private:
    static coordinator_options default_options() { return {}; }

    static recovered_state leader_state()
    {
        recovered_state state;
        state.m_self = {.m_epoch = 1, .m_vm = vm_id("vm-0")};
        state.m_predecessor_gone = true;
        return state;
    }

    void submit(step_spec step)
    {
        job_request request;
        request.m_steps.push_back(std::move(step));
        queue_rules queue{.m_name = queue_id("queue"), .m_service = service_id("pool")};
        queue.m_approval = {.m_decision_ms = 7, .m_per_worker_ms = 0.1, .m_valid_ms = 2500};
        deliver(job_submitted{++m_last_job, job_id("job-" + std::to_string(m_last_job)), queue,
                              request});
    }

    void deliver(const event& incoming)
    {
        for (const auto& action : m_coordinator.handle(incoming, m_now, 0))
            if (const auto* commit = std::get_if<send_commit>(&action))
                deliver(commit_answered{
                    commit->m_number,
                    transaction_result{.m_committed = true, .m_version = ++m_version}});
            else if (const auto* approval_request = std::get_if<request_approval>(&action))
                grant_tickets(*approval_request);
            else if (const auto* start_action = std::get_if<send_start>(&action))
                deliver(start_answered{start_action->m_worker.m_id, start_action->m_order.m_task,
                                       start_action->m_order.m_run, start_result{}});
    }

    // The approval service grants a ticket for every second worker.
    void grant_tickets(const request_approval& approval_request)
    {
        approval granted{.m_valid_ms = 2500};
        for (std::size_t i = 0; i < approval_request.m_workers.size(); i += 2)
            granted.m_tickets.push_back({approval_request.m_workers[i], "ticket"});
        deliver(approval_answered{.m_call = approval_request.m_call,
                                  .m_step = approval_request.m_step,
                                  .m_via = approval_request.m_via,
                                  .m_workers = approval_request.m_workers,
                                  .m_result = granted});
    }

    instant m_now{10s};
    coordinator m_coordinator;
    std::uint64_t m_last_job = 0;
    std::uint64_t m_version = 0;
};

} // namespace

int main()
{
    std::printf("workers  waiting steps  us per pass\n");
    for (const int workers : {48, 350, 980})
        for (const int waiting : {0, 100, 500})
        {
            full_cell cell(workers, waiting);
            const auto start = std::chrono::steady_clock::now();
            cell.run(pass_count);
            const std::chrono::duration<double, std::micro> elapsed =
                std::chrono::steady_clock::now() - start;
            std::printf("%7d  %13zu  %9.0f\n", workers, cell.waiting(),
                        elapsed.count() / pass_count);
        }
}
