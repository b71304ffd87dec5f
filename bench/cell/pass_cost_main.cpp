// bench-cell measures what a leader's decisions cost on a virtual clock: a pass over waiting steps
// of a full cell, by worker count and backlog, a second of a large cell's load at its crest, and
// what the limits of customers add to it.
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/observe/log.hpp"

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration network_delay = 2ms;
constexpr std::int64_t task_valid_ms = 2500;
constexpr int approved_of_three = 1; // One worker of three is approved for a step.

/// One kind of job: all its tasks belong to one step.
struct load
{
    const char* m_queue;
    int m_priority;
    int m_jobs_per_10s;
    approval_cost m_cost;
    step_spec m_step;
};

/// A leader whose store, workers and approval service answer after their usual times.
class busy_cell
{
public:
    busy_cell(int vms, int workers) : m_coordinator({}, leader_state(), m_now)
    {
        std::vector<vm_id> members;
        members.reserve(static_cast<std::size_t>(vms));
        for (int i = 0; i < vms; ++i)
            members.emplace_back("vm-" + std::to_string(i));
        deliver(members_changed{members});
        std::vector<worker_info> listed;
        listed.reserve(static_cast<std::size_t>(workers));
        for (int i = 0; i < workers; ++i)
            listed.push_back({.m_id = worker_id("worker-" + std::to_string(i)),
                              .m_service = service_id("pool"),
                              .m_address = endpoint{"10.0.0.1", 80},
                              .m_capacity = {.m_millicores = 16000, .m_memory_mb = 65536}});
        deliver(workers_listed{listed});
        run(100ms);
    }

    /// The jobs submitted from now on belong to so many customers in turn.
    void set_customers(int count, std::int64_t limit_millicores)
    {
        config_changed config{.m_version = 1};
        for (int i = 0; i < count; ++i)
        {
            m_customers.emplace_back("customer-" + std::to_string(i));
            config.m_customers.push_back({.m_name = m_customers.back(),
                                          .m_limit = {.m_millicores = limit_millicores,
                                                      .m_memory_mb = 16 * limit_millicores,
                                                      .m_accelerators = limit_millicores}});
        }
        deliver(config);
    }

    void submit(const load& kind)
    {
        job_request request;
        request.m_steps.push_back(kind.m_step);
        const job_id id("job-" + std::to_string(++m_last_job));
        m_expected_ms[id] = kind.m_step.m_expected_ms;
        deliver(job_submitted{m_last_job, id,
                              queue_rules{.m_name = queue_id(kind.m_queue),
                                          .m_service = service_id("pool"),
                                          .m_priority = kind.m_priority,
                                          .m_approval = kind.m_cost},
                              request,
                              m_customers.empty() ? customer_id()
                                                  : m_customers[m_last_job % m_customers.size()]});
    }

    void run(duration length)
    {
        for (const auto until = m_now + length; m_now < until; m_now += tick_interval)
        {
            while (!m_due.empty() && m_due.begin()->first <= m_now)
            {
                auto first = m_due.extract(m_due.begin());
                first.mapped()();
            }
            deliver(tick{});
        }
    }

    /// Time spent in the coordinator so far.
    std::chrono::duration<double, std::micro> spent() const { return m_spent; }
    std::size_t waiting() const { return m_coordinator.ready_steps(); }
    int starts() const { return m_starts; }
    int calls() const { return m_calls; }

private:
    static recovered_state leader_state()
    {
        recovered_state state;
        state.m_self = {.m_epoch = 1, .m_vm = vm_id("vm-0")};
        state.m_predecessor_gone = true;
        return state;
    }

    void deliver(const event& incoming)
    {
        const auto begin = std::chrono::steady_clock::now();
        const auto actions = m_coordinator.handle(incoming, m_now, 0);
        m_spent += std::chrono::steady_clock::now() - begin;
        for (const auto& action : actions)
            std::visit([this](const auto& one) { act(one); }, action);
    }

    void after(duration delay, event answer)
    {
        m_due.emplace(m_now + delay, [this, answer = std::move(answer)] { deliver(answer); });
    }

    void act(const answer_call&) {}
    void act(const read_leader_row&) {}
    void act(const step_down&) {}
    void act(const send_stop&) {}
    void act(const send_commit& action)
    {
        after(2 * network_delay,
              commit_answered{action.m_number,
                              transaction_result{.m_committed = true, .m_version = ++m_version}});
    }
    void act(const send_renewal& action)
    {
        // An end answers the renewal that waits for it; see end().
        auto& worker = m_workers[action.m_worker.m_id];
        std::erase_if(worker.m_ended, [&](const ended_task& one)
                      { return one.m_number <= action.m_renewal.m_acknowledged; });
        worker.m_sent = action.m_sent;
        worker.m_waiting = true;
        if (action.m_renewal.m_wait == duration{} || !worker.m_ended.empty())
            return report(action.m_worker.m_id);
        m_due.emplace(m_now + action.m_renewal.m_wait,
                      [this, id = action.m_worker.m_id, sent = action.m_sent]
                      {
                          if (m_workers[id].m_sent == sent)
                              report(id);
                      });
    }
    void act(const send_start& action)
    {
        ++m_starts;
        const auto& order = action.m_order;
        const auto id = action.m_worker.m_id;
        m_workers[id].m_running[order.m_task] = order.m_run;
        after(network_delay, start_answered{id, order.m_task, order.m_run, start_result{}});
        m_due.emplace(m_now + std::chrono::milliseconds(m_expected_ms[order.m_task.m_job]),
                      [this, id, task = order.m_task, run = order.m_run] { end(id, task, run); });
    }
    void act(const request_approval& action)
    {
        ++m_calls;
        approval granted{.m_valid_ms = task_valid_ms};
        for (std::size_t i = 0; i < action.m_workers.size(); ++i)
            if (std::hash<std::string>()(action.m_workers[i].m_value +
                                         action.m_step.m_job.m_value) %
                    3 <
                approved_of_three)
                granted.m_tickets.push_back({action.m_workers[i], "ticket"});
        after(action.m_expected, approval_answered{.m_call = action.m_call,
                                                   .m_step = action.m_step,
                                                   .m_via = action.m_via,
                                                   .m_workers = action.m_workers,
                                                   .m_result = granted,
                                                   .m_response_time = action.m_expected,
                                                   .m_backlog_time = duration{}});
    }

    void end(const worker_id& id, const task_key& task, std::uint64_t run)
    {
        auto& worker = m_workers[id];
        worker.m_running.erase(task);
        worker.m_ended.push_back({.m_number = ++worker.m_last_end, .m_task = task, .m_run = run});
        if (worker.m_waiting)
            report(id);
    }

    void report(const worker_id& id)
    {
        auto& worker = m_workers[id];
        worker.m_waiting = false;
        worker_report result{.m_clock_ms = to_ms(m_now.time_since_epoch()), .m_started_at = 1};
        for (const auto& [task, run] : worker.m_running)
            result.m_running.push_back({.m_task = task, .m_run = run});
        result.m_ended = worker.m_ended;
        after(network_delay, renewal_answered{id, worker.m_sent, std::move(result)});
    }

    struct worker
    {
        std::map<task_key, std::uint64_t> m_running;
        std::vector<ended_task> m_ended;
        std::uint64_t m_last_end = 0;
        instant m_sent{};
        bool m_waiting = false; ///< A renewal waits for an end.
    };

    instant m_now{10s};
    coordinator m_coordinator;
    std::multimap<instant, std::function<void()>> m_due;
    std::map<worker_id, worker> m_workers;
    std::map<job_id, std::int64_t> m_expected_ms;
    std::vector<customer_id> m_customers;
    std::uint64_t m_last_job = 0;
    std::uint64_t m_version = 0;
    std::chrono::duration<double, std::micro> m_spent{};
    int m_starts = 0;
    int m_calls = 0;
};

// The queues of a cell of 1,100 workers.
const load plans{"plans",
                 1,
                 80,
                 {507, 7.28, task_valid_ms},
                 {.m_count = 40,
                  .m_size = {.m_millicores = 4500, .m_memory_mb = 17000},
                  .m_expected_ms = 3400,
                  .m_gang = true}};
const load matches{
    "matches",
    2,
    108,
    {182, 2.6, task_valid_ms},
    {.m_count = 40, .m_size = {.m_millicores = 2700, .m_memory_mb = 10000}, .m_expected_ms = 2300}};
const load lookups{
    "lookups",
    0,
    1100,
    {18.2, 0.26, task_valid_ms},
    {.m_count = 4, .m_size = {.m_millicores = 3900, .m_memory_mb = 8000}, .m_expected_ms = 850}};

void measure_passes(int workers, int waiting)
{
    constexpr std::int64_t never_ms = 1000000;
    busy_cell cell(36, workers);
    const load filler{
        "filler",
        0,
        0,
        {},
        {.m_count = workers, .m_size = {.m_millicores = 15500}, .m_expected_ms = never_ms}};
    cell.submit(filler);
    cell.run(2s);
    for (int i = 0; i < waiting; ++i)
        cell.submit(i % 10 == 0 ? plans : i % 10 < 3 ? matches : lookups);
    cell.run(5s);
    constexpr duration measured = 4s;
    const auto before = cell.spent();
    cell.run(measured);
    std::printf("%7d  %13zu  %11.0f\n", workers, cell.waiting(),
                (cell.spent() - before).count() / static_cast<double>(measured / tick_interval));
}

void measure_crest()
{
    busy_cell cell(147, 1100);
    constexpr duration slice = 100ms;
    constexpr int seconds = 10;
    constexpr int slices_per_10s = 100;
    std::map<const load*, int> due;
    auto offer = [&](int slices)
    {
        for (int i = 0; i < slices; ++i)
        {
            for (const auto* kind : {&plans, &matches, &lookups})
                for (due[kind] += kind->m_jobs_per_10s; due[kind] >= slices_per_10s;
                     due[kind] -= slices_per_10s)
                    cell.submit(*kind);
            cell.run(slice);
        }
    };
    constexpr int warm_up_slices = 50;
    offer(warm_up_slices);
    const auto before = cell.spent();
    const int starts_before = cell.starts();
    const int calls_before = cell.calls();
    offer(slices_per_10s);
    constexpr double us_per_ms = 1000;
    std::printf("%.0f ms a second; %d starts and %d approval calls a second; %zu steps wait\n",
                (cell.spent() - before).count() / seconds / us_per_ms,
                (cell.starts() - starts_before) / seconds, (cell.calls() - calls_before) / seconds,
                cell.waiting());
}

// The leader's time for each task from its submission to its end, in us.
double time_per_start(int customers)
{
    const load tasks{
        "tasks", 0, 0, {}, {.m_size = {.m_millicores = 1000, .m_memory_mb = 1}, .m_expected_ms = 50}};
    constexpr int rounds = 50;
    constexpr int jobs_per_round = 100;
    constexpr std::int64_t large_limit = 1000000;
    busy_cell cell(36, 1100);
    cell.set_customers(customers, large_limit);
    const auto offer = [&]
    {
        for (int i = 0; i < rounds; ++i)
        {
            for (int k = 0; k < jobs_per_round; ++k)
                cell.submit(tasks);
            cell.run(100ms);
        }
    };
    offer();
    const auto before = cell.spent();
    const int starts_before = cell.starts();
    offer();
    return (cell.spent() - before).count() / (cell.starts() - starts_before);
}

// Machines are busy with other work, so the least of several runs counts, taken in turns.
void measure_starts()
{
    constexpr int runs = 7;
    constexpr int customers = 200;
    std::vector<double> without;
    std::vector<double> with;
    for (int i = 0; i < runs; ++i)
    {
        without.push_back(time_per_start(0));
        with.push_back(time_per_start(customers));
    }
    std::sort(without.begin(), without.end());
    std::sort(with.begin(), with.end());
    std::printf("us per task with 1,100 workers, least and median of %d runs: %.2f and %.2f without "
                "customers, %.2f and %.2f with %d\n",
                runs, without.front(), without[runs / 2], with.front(), with[runs / 2], customers);
}

// The decision alone: whether the limit lets a task start.
void measure_limit_check()
{
    constexpr int customers = 200;
    constexpr int rounds = 5000;
    customer_usage usage;
    std::vector<customer_rules> rules;
    for (int i = 0; i < customers; ++i)
        rules.push_back({.m_name = customer_id("customer-" + std::to_string(i)),
                         .m_limit = {.m_millicores = 10000, .m_memory_mb = 10000}});
    usage.set_limits(rules);
    int allowed = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < rounds; ++i)
        for (customer_index customer = 1; customer < usage.end(); ++customer)
        {
            const customer_start start{.m_customer = customer,
                                       .m_size = {.m_millicores = 1000, .m_memory_mb = 100}};
            if (usage.max_starts(start, 1) == 0)
                continue;
            ++allowed;
            usage.add(customer, start.m_size, true);
            if (i % 2 == 0)
                usage.remove(customer, start.m_size, true);
        }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - begin;
    std::printf("check and count of one start: %.0f ns (%d of %d allowed)\n",
                spent.count() / (rounds * customers), allowed, rounds * customers);
}

// Steps that limits hold back beside free workers.
void measure_held_passes(int waiting)
{
    constexpr int customers = 200;
    busy_cell cell(36, 1100);
    cell.set_customers(customers, lookups.m_step.m_size.m_millicores);
    const load endless{"endless",
                       0,
                       0,
                       {},
                       {.m_size = lookups.m_step.m_size, .m_expected_ms = 1000000}};
    for (int i = 0; i < customers; ++i)
        cell.submit(endless);
    cell.run(1s);
    for (int i = 0; i < waiting; ++i)
        cell.submit(lookups);
    cell.run(5s);
    constexpr duration measured = 4s;
    const auto before = cell.spent();
    cell.run(measured);
    std::printf("%zu steps held back by limits, 1,100 workers, %d customers: %.0f us per pass\n",
                cell.waiting(), customers,
                (cell.spent() - before).count() / static_cast<double>(measured / tick_interval));
}

} // namespace

int main()
{
    start_logging(log_level::error, "bench");
    std::printf("workers  waiting steps  us per pass\n");
    for (const int workers : {48, 350, 1100})
        for (const int waiting : {100, 500, 1600})
            measure_passes(workers, waiting);
    std::printf("a cell of 1,100 workers at its crest, in the coordinator: ");
    std::fflush(stdout);
    measure_crest();
    measure_limit_check();
    measure_starts();
    for (const int waiting : {200, 1600})
        measure_held_passes(waiting);
}
