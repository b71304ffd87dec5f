// Takeover of a dead owner's workers: pure modules on a virtual clock, no sockets.

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
constexpr int services = 1000;
constexpr duration step = 20ms;
constexpr duration table_delay = 20ms;
constexpr duration tick = 100ms;
const data_centre_id centre("d");

struct node
{
    std::string m_name;
    ownership::lease_manager m_lease_manager;
    placement::job_manager m_jobs;
    duration m_phase{};
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
            m_list.push_back({.m_id = worker_id("worker-" + std::to_string(i)),
                              .m_data_centre = centre,
                              .m_capacity = capacity});
            m_workers.emplace(m_list.back().m_id, emulator::worker_model(capacity));
        }
        for (int i = 0; i < vm_count; ++i)
        {
            const auto name = "entry-" + std::to_string(i);
            m_nodes.push_back(std::make_unique<node>(
                node{name,
                     ownership::lease_manager(
                         {.m_vm = vm_id(name), .m_data_centre = centre, .m_incarnation = 1}),
                     placement::job_manager({.m_data_centre = centre, .m_writer = name})}));
            m_nodes.back()->m_phase = step * (m_random() % (tick / step));
        }
    }

    void run(duration length, const std::function<bool()>& until)
    {
        for (const auto end = m_now + length; m_now < end && !until(); m_now += step)
            for (auto& one : m_nodes)
                if (!one->m_dead)
                    run(*one);
    }

    void submit_services()
    {
        for (int i = 0; i < services; ++i)
            handle(
                *m_nodes[std::size_t(i) % vm_count],
                placement::job_submitted{std::uint64_t(i) + 1,
                                         {.m_id = job_id("service-" + std::to_string(i)),
                                          .m_name = "s",
                                          .m_team = team_id("t"),
                                          .m_kind = placement::job_kind::service,
                                          .m_size = {.m_millicores = 1000, .m_memory_mb = 1000}}});
    }

    int running()
    {
        int sum = 0;
        for (auto& [id, worker] : m_workers)
            for (const auto& report : worker.reports(m_now))
                sum += report.m_state == platform::task_state::running ? 1 : 0;
        return sum;
    }

    /// True if every worker has reported to a living owner and may get new tasks.
    bool all_accept() const
    {
        std::size_t heard = 0;
        for (const auto& one : m_nodes)
            if (!one->m_dead)
                for (const auto& [id, worker] : one->m_jobs.workers().workers())
                    heard += worker.m_reported ? 1 : 0;
        return heard == worker_count;
    }

    void kill_first() { m_nodes.front()->m_dead = true; }
    totals& counted() { return m_counted; }
    instant now() const { return m_now; }

private:
    void run(node& one)
    {
        decltype(one.m_inbox) due;
        std::erase_if(one.m_inbox,
                      [&](auto& entry)
                      {
                          if (entry.first > m_now)
                              return false;
                          due.push_back(std::move(entry));
                          return true;
                      });
        for (auto& [at, what] : due)
            what();
        if ((m_now.time_since_epoch() + one.m_phase) % tick != duration{})
            return;
        handle(one, ownership::lease_manager_tick{});
        handle(one, placement::job_manager_tick{});
    }

    void later(node& one, std::function<void()> what)
    {
        one.m_inbox.emplace_back(m_now + table_delay, std::move(what));
    }

    template <class Event>
    void handle(node& one, const Event& event)
    {
        if constexpr (std::is_convertible_v<Event, ownership::lease_manager_event>)
            for (const auto& action : one.m_lease_manager.handle(event, m_now))
                std::visit([&](const auto& what) { act(one, what); }, action);
        else
            for (const auto& action : one.m_jobs.handle(event, m_now))
                std::visit([&](const auto& what) { act(one, what); }, action);
    }

    platform::commit_result commit(const std::vector<platform::row_write>& writes)
    {
        ++m_counted.m_transactions;
        m_counted.m_rows += writes.size();
        return m_table.commit(writes);
    }

    void act(node& one, const ownership::scan_rows& what)
    {
        ++m_counted.m_scans;
        later(one,
              [this, &one, call = what.m_call, rows = m_table.scan(what.m_prefix)] {
                  handle(one, ownership::rows_scanned{call, rows});
              });
    }
    void act(node& one, const ownership::commit_rows& what)
    {
        later(one,
              [this, &one, call = what.m_call, result = commit(what.m_writes)] {
                  handle(one, ownership::commit_finished{call, result});
              });
    }
    void act(node& one, const ownership::groups_changed& what)
    {
        placement::workers_owned owned{.m_epochs = what.m_epochs, .m_cell = m_list};
        for (const auto& worker : m_list)
            if (const auto epoch = what.m_epochs.find(ownership::group_of(worker.m_id));
                epoch != what.m_epochs.end())
                owned.m_workers.push_back({worker, epoch->second});
        handle(one, owned);
    }
    void act(node&, const ownership::leave_completed&) {}
    void act(node&, const ownership::ask_promise&) {}
    void act(node&, const ownership::give_promise&) {}
    void act(node& one, const placement::scan_parts& what)
    {
        ++m_counted.m_scans;
        later(
            one,
            [this, &one, what, rows = m_table.scan(prefix_of(what.m_home))] {
                handle(one, placement::parts_scanned{what.m_home.m_group, what.m_generation, rows});
            });
    }
    void act(node& one, const placement::commit_parts& what)
    {
        later(one,
              [this, &one, call = what.m_call, result = commit(what.m_writes)] {
                  handle(one, placement::parts_committed{call, result});
              });
    }
    void act(node&, const placement::submission_answered&) {}
    void act(node&, const placement::announce_parts& what)
    {
        for (auto& peer : m_nodes)
            later(*peer, [this, &peer = *peer, what]
                  { handle(peer, placement::parts_written{what.m_homes}); });
    }
    void act(node& one, const placement::start_on_worker& what)
    {
        ++m_counted.m_starts;
        later(one,
              [this, &one, what,
               result = m_workers.at(what.m_worker.m_info.m_id).start(what.m_task, m_now)] {
                  handle(one, placement::start_answered{what.m_part, what.m_index, what.m_attempt,
                                                        result});
              });
    }
    void act(node&, const placement::stop_on_worker& what)
    {
        (void)m_workers.at(what.m_worker.m_info.m_id)
            .stop(what.m_worker.m_epoch, what.m_task, m_now);
    }
    void act(node& one, const placement::renew_worker& what)
    {
        ++m_counted.m_renewals;
        const platform::renew_leases leases{.m_epoch = what.m_worker.m_epoch,
                                            .m_lease = 30s,
                                            .m_acknowledged = what.m_acknowledged};
        const auto id = what.m_worker.m_info.m_id;
        later(one,
              [this, &one, id, call = what.m_call, result = m_workers.at(id).renew(leases, m_now)] {
                  handle(one, placement::worker_reported{id, call, result});
              });
    }
    void act(node&, const placement::request_capacity&) {}

    std::mt19937 m_random;
    emulator::table_store m_table;
    std::vector<platform::worker> m_list;
    std::map<worker_id, emulator::worker_model> m_workers;
    std::vector<std::unique_ptr<node>> m_nodes;
    totals m_counted;
    instant m_now{1000s};
};

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

void measure(unsigned seed)
{
    cell all(seed);
    const auto never = [] { return false; };
    all.run(10s, never);
    all.submit_services();
    all.run(30s + std::chrono::milliseconds(seed * 311 % 2000), never);
    const auto before = all.running();
    all.counted() = {};
    all.run(10s, never);
    const auto steady = all.counted();
    all.kill_first();
    const auto died = all.now();
    duration took{};
    totals peak;
    // The busiest second of each kind within half a minute.
    for (int second = 0; second < 30; ++second)
    {
        all.counted() = {};
        const auto end = all.now() + 1s;
        while (all.now() < end)
        {
            all.run(step, never);
            if (took == duration{} && all.all_accept())
                took = all.now() - died;
        }
        peak.m_transactions = std::max(peak.m_transactions, all.counted().m_transactions);
        peak.m_rows = std::max(peak.m_rows, all.counted().m_rows);
        peak.m_scans = std::max(peak.m_scans, all.counted().m_scans);
        peak.m_starts += all.counted().m_starts;
    }
    all.run(60s, never);
    std::printf(
        "seed=%u running_before=%d running_after=%d starts=%zu takeover_s=%.2f "
        "peak_transactions_per_s=%zu peak_rows_per_s=%zu peak_scans_per_s=%zu "
        "steady_transactions_per_s=%.1f steady_scans_per_s=%.1f steady_renewals_per_s=%.1f\n",
        seed, before, all.running(), peak.m_starts, seconds(took), peak.m_transactions, peak.m_rows,
        peak.m_scans, double(steady.m_transactions) / 10, double(steady.m_scans) / 10,
        double(steady.m_renewals) / 10);
}

} // namespace

int main()
{
    constexpr unsigned runs = 5;
    for (unsigned seed = 1; seed <= runs; ++seed)
        measure(seed);
    return 0;
}
