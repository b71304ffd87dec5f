// Measures how long it takes to take over the workers of a dead owner, and the load that this puts
// on the table. Runs the lease and job managers on a virtual clock, without sockets.

#include <algorithm>
#include <cstdio>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <type_traits>

#include "dragonflygap/emulator/table_store.hpp"
#include "dragonflygap/emulator/worker_model.hpp"
#include "dragonflygap/ownership/lease_manager.hpp"
#include "dragonflygap/placement/job_manager.hpp"

using namespace dragonflygap;

namespace
{

constexpr int vm_count = 8;
constexpr int worker_count = 330;
constexpr int service_count = 1000;
constexpr duration time_step = 20ms;
constexpr duration table_delay = 20ms;
constexpr duration tick_interval = 100ms;
const data_centre_id data_centre("d");

struct node
{
    std::string m_name;
    ownership::lease_manager m_lease_manager;
    placement::job_manager m_jobs;
    duration m_tick_offset{};
    bool m_dead = false;
    std::vector<std::pair<instant, std::function<void()>>> m_inbox;
};

struct totals
{
    std::size_t m_transactions = 0;
    std::size_t m_rows = 0;
    std::size_t m_scans = 0;
    std::size_t m_renewals = 0;
    std::size_t m_starts = 0;
};

class cell
{
public:
    explicit cell(unsigned seed) : m_random(seed)
    {
        constexpr resources capacity{.m_millicores = 16000, .m_memory_mb = 32000};
        for (int i = 0; i < worker_count; ++i)
        {
            m_listed_workers.push_back({.m_id = worker_id("worker-" + std::to_string(i)),
                                        .m_data_centre = data_centre,
                                        .m_capacity = capacity});
            m_workers.emplace(m_listed_workers.back().m_id, emulator::worker_model(capacity));
        }
        for (int i = 0; i < vm_count; ++i)
        {
            const auto name = "entry-" + std::to_string(i);
            m_nodes.push_back(std::make_unique<node>(
                node{name,
                     ownership::lease_manager(
                         {.m_vm = vm_id(name), .m_data_centre = data_centre, .m_incarnation = 1}),
                     placement::job_manager({.m_data_centre = data_centre, .m_writer = name})}));
            m_nodes.back()->m_tick_offset = time_step * (m_random() % (tick_interval / time_step));
        }
    }

    void run(duration length, const std::function<bool()>& until)
    {
        for (const auto end = m_now + length; m_now < end && !until(); m_now += time_step)
            for (auto& vm : m_nodes)
                if (!vm->m_dead)
                    step_node(*vm);
    }

    void submit_services()
    {
        for (int i = 0; i < service_count; ++i)
            handle(
                *m_nodes[std::size_t(i) % vm_count],
                placement::job_submitted{std::uint64_t(i) + 1,
                                         {.m_id = job_id("service-" + std::to_string(i)),
                                          .m_name = "s",
                                          .m_team = team_id("t"),
                                          .m_kind = placement::job_kind::service,
                                          .m_size = {.m_millicores = 1000, .m_memory_mb = 1000}}});
    }

    int running_task_count()
    {
        int sum = 0;
        for (auto& [id, worker] : m_workers)
            for (const auto& report : worker.reports(m_now))
                sum += report.m_state == platform::task_state::running ? 1 : 0;
        return sum;
    }

    /// True if every worker has reported to a live owner and so can accept new tasks.
    bool all_workers_reported() const
    {
        std::size_t reported = 0;
        for (const auto& vm : m_nodes)
            if (!vm->m_dead)
                for (const auto& [id, worker] : vm->m_jobs.workers().workers())
                    reported += worker.m_reported ? 1 : 0;
        return reported == worker_count;
    }

    void kill_first_vm() { m_nodes.front()->m_dead = true; }
    totals& counters() { return m_counters; }
    instant now() const { return m_now; }

private:
    void step_node(node& vm)
    {
        decltype(vm.m_inbox) due;
        std::erase_if(vm.m_inbox,
                      [&](auto& entry)
                      {
                          if (entry.first > m_now)
                              return false;
                          due.push_back(std::move(entry));
                          return true;
                      });
        for (auto& [at, callback] : due)
            callback();
        if ((m_now.time_since_epoch() + vm.m_tick_offset) % tick_interval != duration{})
            return;
        handle(vm, ownership::lease_manager_tick{});
        handle(vm, placement::job_manager_tick{});
    }

    void deliver_after_delay(node& vm, std::function<void()> callback)
    {
        vm.m_inbox.emplace_back(m_now + table_delay, std::move(callback));
    }

    template <class Event>
    void handle(node& vm, const Event& event)
    {
        if constexpr (std::is_convertible_v<Event, ownership::lease_manager_event>)
            for (const auto& action : vm.m_lease_manager.handle(event, m_now))
                std::visit([&](const auto& concrete_action) { apply(vm, concrete_action); },
                           action);
        else
            for (const auto& action : vm.m_jobs.handle(event, m_now))
                std::visit([&](const auto& concrete_action) { apply(vm, concrete_action); },
                           action);
    }

    platform::commit_result commit(const std::vector<platform::row_write>& writes)
    {
        ++m_counters.m_transactions;
        m_counters.m_rows += writes.size();
        return m_table.commit(writes);
    }

    void apply(node& vm, const ownership::scan_rows& action)
    {
        ++m_counters.m_scans;
        deliver_after_delay(vm,
                            [this, &vm, call = action.m_call, rows = m_table.scan(action.m_prefix)]
                            {
                                handle(vm, ownership::rows_scanned{call, rows});
                            });
    }
    void apply(node& vm, const ownership::commit_rows& action)
    {
        deliver_after_delay(vm,
                            [this, &vm, call = action.m_call, result = commit(action.m_writes)] {
                                handle(vm, ownership::commit_finished{call, result});
                            });
    }
    void apply(node& vm, const ownership::groups_changed& action)
    {
        placement::workers_owned owned{.m_epochs = action.m_epochs, .m_cell = m_listed_workers};
        for (const auto& worker : m_listed_workers)
            if (const auto epoch = action.m_epochs.find(ownership::group_of(worker.m_id));
                epoch != action.m_epochs.end())
                owned.m_workers.push_back({worker, epoch->second});
        handle(vm, owned);
    }
    void apply(node&, const ownership::leave_completed&) {}
    void apply(node&, const ownership::request_promise&) {}
    void apply(node&, const ownership::give_promise&) {}
    void apply(node& vm, const placement::scan_parts& action)
    {
        ++m_counters.m_scans;
        deliver_after_delay(vm,
                            [this, &vm, action, rows = m_table.scan(prefix_of(action.m_home))] {
                                handle(vm, placement::parts_scanned{action.m_home.m_group,
                                                                    action.m_generation, rows});
                            });
    }
    void apply(node& vm, const placement::commit_parts& action)
    {
        deliver_after_delay(vm,
                            [this, &vm, call = action.m_call, result = commit(action.m_writes)] {
                                handle(vm, placement::parts_committed{call, result});
                            });
    }
    void apply(node&, const placement::submission_answered&) {}
    void apply(node&, const placement::announce_parts& action)
    {
        for (auto& peer : m_nodes)
            deliver_after_delay(*peer, [this, &peer = *peer, action]
                                { handle(peer, placement::parts_written{action.m_homes}); });
    }
    void apply(node& vm, const placement::start_on_worker& action)
    {
        ++m_counters.m_starts;
        deliver_after_delay(
            vm,
            [this, &vm, action,
             result = m_workers.at(action.m_worker.m_info.m_id).start(action.m_task, m_now)]
            {
                handle(vm, placement::start_answered{action.m_part, action.m_index,
                                                     action.m_attempt, result});
            });
    }
    void apply(node&, const placement::stop_on_worker& action)
    {
        (void)m_workers.at(action.m_worker.m_info.m_id)
            .stop(action.m_worker.m_epoch, action.m_task, m_now);
    }
    void apply(node& vm, const placement::renew_worker& action)
    {
        ++m_counters.m_renewals;
        const platform::renew_leases leases{.m_epoch = action.m_worker.m_epoch,
                                            .m_lease = 30s,
                                            .m_acknowledged = action.m_acknowledged};
        const auto id = action.m_worker.m_info.m_id;
        deliver_after_delay(
            vm,
            [this, &vm, id, call = action.m_call, result = m_workers.at(id).renew(leases, m_now)] {
                handle(vm, placement::worker_reported{id, call, result});
            });
    }
    void apply(node&, const placement::request_capacity&) {}

    std::mt19937 m_random;
    emulator::table_store m_table;
    std::vector<platform::worker> m_listed_workers;
    std::map<worker_id, emulator::worker_model> m_workers;
    std::vector<std::unique_ptr<node>> m_nodes;
    totals m_counters;
    instant m_now{1000s};
};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

void measure(unsigned seed)
{
    cell cell_under_test(seed);
    const auto never = [] { return false; };
    cell_under_test.run(10s, never);
    cell_under_test.submit_services();
    cell_under_test.run(30s + std::chrono::milliseconds(seed * 311 % 2000), never);
    const auto before = cell_under_test.running_task_count();
    cell_under_test.counters() = {};
    cell_under_test.run(10s, never);
    const auto steady = cell_under_test.counters();
    cell_under_test.kill_first_vm();
    const auto killed_at = cell_under_test.now();
    duration takeover_time{};
    totals peak;
    // Peak per second of transactions, rows and scans in the 30 s after the failure; starts are
    // summed.
    for (int second = 0; second < 30; ++second)
    {
        cell_under_test.counters() = {};
        const auto end = cell_under_test.now() + 1s;
        while (cell_under_test.now() < end)
        {
            cell_under_test.run(time_step, never);
            if (takeover_time == duration{} && cell_under_test.all_workers_reported())
                takeover_time = cell_under_test.now() - killed_at;
        }
        peak.m_transactions =
            std::max(peak.m_transactions, cell_under_test.counters().m_transactions);
        peak.m_rows = std::max(peak.m_rows, cell_under_test.counters().m_rows);
        peak.m_scans = std::max(peak.m_scans, cell_under_test.counters().m_scans);
        peak.m_starts += cell_under_test.counters().m_starts;
    }
    cell_under_test.run(60s, never);
    std::printf(
        "seed=%u running_before=%d running_after=%d starts=%zu takeover_s=%.2f "
        "peak_transactions_per_s=%zu peak_rows_per_s=%zu peak_scans_per_s=%zu "
        "steady_transactions_per_s=%.1f steady_scans_per_s=%.1f steady_renewals_per_s=%.1f\n",
        seed, before, cell_under_test.running_task_count(), peak.m_starts, seconds(takeover_time),
        peak.m_transactions, peak.m_rows, peak.m_scans, double(steady.m_transactions) / 10,
        double(steady.m_scans) / 10, double(steady.m_renewals) / 10);
}

} // namespace

int main()
{
    constexpr unsigned runs = 5;
    for (unsigned seed = 1; seed <= runs; ++seed)
        measure(seed);
    return 0;
}
