// What one pass over the waiting steps costs a leader whose cell is full, by workers and backlog.
//     bench-cell
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "dragonflygap/cell/coordinator.hpp"

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

constexpr int vms = 8;
constexpr int passes = 200;

/// A leader whose store and approval service answer at once and whose workers run what they are
/// told for ever.
class full_cell
{
public:
    full_cell(int workers, int waiting) : m_coordinator(quick(), self(), m_now)
    {
        std::vector<vm_id> members;
        members.reserve(vms);
        for (int i = 0; i < vms; ++i)
            members.emplace_back("vm-" + std::to_string(i));
        feed(members_changed{members});
        std::vector<worker_info> listed;
        listed.reserve(static_cast<std::size_t>(workers));
        for (int i = 0; i < workers; ++i)
            listed.push_back(
                {.m_id = worker_id("worker-" + std::to_string(i)),
                 .m_service = service_id("pool"),
                 .m_address = endpoint{"10.0.0.1", static_cast<std::uint16_t>(1000 + i)},
                 .m_capacity = {.m_millicores = 16000, .m_memory_mb = 32768}});
        feed(workers_listed{listed});
        for (const auto& worker : listed)
            feed(renewal_answered{worker.m_id, m_now, worker_report{.m_clock_ms = 1000}});
        // Fills the cell, one task a worker, and lets the rest wait: small, wide and gangs.
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
            feed(tick{});
        }
    }

    std::size_t waiting() const { return m_coordinator.ready_steps(); }

private:
    static coordinator_options quick() { return {}; }

    static recovered_state self()
    {
        recovered_state found;
        found.m_self = {.m_epoch = 1, .m_vm = vm_id("vm-0")};
        found.m_predecessor_gone = true;
        return found;
    }

    void submit(step_spec step)
    {
        job_request request;
        request.m_steps.push_back(std::move(step));
        queue_rules queue{.m_name = queue_id("queue"), .m_service = service_id("pool")};
        queue.m_approval = {.m_decision_ms = 7, .m_per_worker_ms = 0.1, .m_valid_ms = 2500};
        feed(job_submitted{++m_last, job_id("job-" + std::to_string(m_last)), queue, request});
    }

    void feed(const event& what)
    {
        for (const auto& action : m_coordinator.handle(what, m_now, 0))
            if (const auto* commit = std::get_if<send_commit>(&action))
                feed(commit_answered{
                    commit->m_number,
                    transaction_result{.m_committed = true, .m_version = ++m_version}});
            else if (const auto* ask = std::get_if<request_approval>(&action))
                answer(*ask);
            else if (const auto* order = std::get_if<send_start>(&action))
                feed(start_answered{order->m_worker.m_id, order->m_order.m_task,
                                    order->m_order.m_run, start_result{}});
    }

    // The policy allows every second worker.
    void answer(const request_approval& ask)
    {
        approval given{.m_valid_ms = 2500};
        for (std::size_t i = 0; i < ask.m_workers.size(); i += 2)
            given.m_tickets.push_back({ask.m_workers[i], "ticket"});
        feed(approval_answered{.m_call = ask.m_call,
                               .m_step = ask.m_step,
                               .m_asked_by = ask.m_via,
                               .m_workers = ask.m_workers,
                               .m_result = given});
    }

    instant m_now{10s};
    coordinator m_coordinator;
    std::uint64_t m_last = 0;
    std::uint64_t m_version = 0;
};

} // namespace

int main()
{
    std::printf("workers  waiting steps  us a pass\n");
    for (const int workers : {48, 350, 980})
        for (const int waiting : {0, 100, 500})
        {
            full_cell cell(workers, waiting);
            const auto start = std::chrono::steady_clock::now();
            cell.run(passes);
            const std::chrono::duration<double, std::micro> took =
                std::chrono::steady_clock::now() - start;
            std::printf("%7d  %13zu  %9.0f\n", workers, cell.waiting(), took.count() / passes);
        }
}
