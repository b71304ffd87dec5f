#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <memory>
#include <random>

#include <rapidcheck.h>

#include "dragonflygap/emulator/table_store.hpp"
#include "dragonflygap/emulator/worker_model.hpp"
#include "dragonflygap/ownership/lease_manager.hpp"
#include "dragonflygap/placement/job_manager.hpp"

namespace dragonflygap::placement::test
{

constexpr duration step = 100ms;
constexpr int node_count = 3;
constexpr int worker_count = 6;
inline const data_centre_id centre("d");

/// The lease manager and the job manager of one process, with a clock of its own rate.
struct node
{
    std::string m_name;
    std::uint64_t m_incarnation = 0;
    double m_rate = 1;
    std::unique_ptr<ownership::lease_manager> m_lease_manager;
    std::unique_ptr<job_manager> m_jobs;
    instant m_paused_until{};
    instant m_table_cut_until{};
    std::vector<std::pair<instant, std::function<void()>>> m_inbox;

    instant local(instant real) const
    {
        return instant(
            duration(static_cast<duration::rep>(m_rate * double(real.time_since_epoch().count()))));
    }
};

/// Three entry VMs, six workers and a table; calls and replies are lost, delayed or duplicated.
class cell
{
public:
    explicit cell(unsigned seed) : m_random(seed)
    {
        for (int i = 0; i < worker_count; ++i)
        {
            platform::worker info{.m_id = worker_id("w" + std::to_string(i)),
                                  .m_data_centre = centre,
                                  .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000}};
            m_worker_list.push_back(info);
            m_workers.emplace(info.m_id, emulator::worker_model(info.m_capacity));
        }
        constexpr std::array names{"a", "b", "c"};
        for (int i = 0; i < node_count; ++i)
        {
            m_nodes[i].m_name = names[i];
            m_nodes[i].m_rate = 0.95 + 0.05 * double(i);
            start(m_nodes[i]);
        }
    }

    void run(duration length, bool faults)
    {
        m_faults = faults;
        for (const auto end = m_now + length; m_now < end; m_now += step)
        {
            deliver(m_delayed);
            for (auto& vm : m_nodes)
                run(vm);
            check();
        }
    }

    void submit(job_kind kind, int count, duration length)
    {
        auto& vm = m_nodes[m_random() % node_count];
        job_spec spec{.m_id = job_id("j" + std::to_string(++m_last_job)),
                      .m_name = "j",
                      .m_team = team_id("t"),
                      .m_kind = kind,
                      .m_count = count,
                      .m_size = {.m_millicores = 1000, .m_memory_mb = 100},
                      .m_expected = length};
        m_submitted[m_last_job] = spec;
        handle_job_event(vm, job_submitted{m_last_job, spec});
    }

    /// Number of tasks of accepted jobs in the wrong state: a service task that doesn't run, or
    /// another task that hasn't finished.
    int unfinished()
    {
        int sum = 0;
        for (const auto& id : m_accepted)
        {
            const auto& spec = m_submitted.at(id);
            for (int i = 0; i < spec.m_count; ++i)
            {
                const std::pair task{spec.m_id, i};
                const bool as_expected = spec.m_kind == job_kind::service
                                             ? m_running.contains(task)
                                             : m_finished.contains(task);
                sum += as_expected ? 0 : 1;
            }
        }
        return sum;
    }

    std::size_t accepted() const { return m_accepted.size(); }

private:
    using deliveries = std::vector<std::pair<instant, std::function<void()>>>;

    void start(node& vm)
    {
        ++vm.m_incarnation;
        vm.m_inbox.clear();
        vm.m_lease_manager = std::make_unique<ownership::lease_manager>(
            ownership::lease_manager_options{.m_vm = vm_id(vm.m_name),
                                             .m_data_centre = centre,
                                             .m_incarnation = vm.m_incarnation});
        vm.m_jobs = std::make_unique<job_manager>(
            job_manager_options{.m_data_centre = centre,
                                .m_writer = vm.m_name + "." + std::to_string(vm.m_incarnation)});
    }

    bool chance(int per_mille) { return m_faults && int(m_random() % 1000) < per_mille; }
    duration random_duration(int max_ms) { return std::chrono::milliseconds(m_random() % max_ms); }

    void deliver(deliveries& from)
    {
        deliveries due;
        std::erase_if(from,
                      [&](auto& entry)
                      {
                          if (entry.first > m_now)
                              return false;
                          due.push_back(std::move(entry));
                          return true;
                      });
        std::ranges::stable_sort(due, {}, [](const auto& entry) { return entry.first; });
        for (auto& [at, callback] : due)
            callback();
    }

    void run(node& vm)
    {
        if (m_now < vm.m_paused_until)
            return;
        if (chance(3))
        {
            vm.m_paused_until = m_now + random_duration(20000);
            return;
        }
        if (chance(3))
            vm.m_table_cut_until = m_now + random_duration(15000);
        if (chance(1))
            start(vm);
        handle_lease_event(vm, ownership::lease_manager_tick{});
        deliver(vm.m_inbox);
        handle_job_event(vm, job_manager_tick{});
    }

    // Delivers an answer to the process after a delay, possibly twice or never.
    void answer(node& vm, std::function<void()> callback)
    {
        if (chance(20))
            return;
        const auto incarnation = vm.m_incarnation;
        const auto guarded = [&vm, incarnation, callback = std::move(callback)]
        {
            if (vm.m_incarnation == incarnation)
                callback();
        };
        vm.m_inbox.emplace_back(m_now + (chance(50) ? random_duration(5000) : step), guarded);
        if (chance(20))
            vm.m_inbox.emplace_back(m_now + random_duration(5000), guarded);
    }

    bool is_table_cut(const node& vm) const { return m_now < vm.m_table_cut_until; }

    void handle_lease_event(node& vm, const ownership::lease_manager_event& event)
    {
        for (const auto& action : vm.m_lease_manager->handle(event, vm.local(m_now)))
            std::visit([&](const auto& concrete_action) { apply(vm, concrete_action); }, action);
    }

    void handle_job_event(node& vm, const job_event& event)
    {
        for (const auto& action : vm.m_jobs->handle(event, vm.local(m_now)))
            std::visit([&](const auto& concrete_action) { apply(vm, concrete_action); }, action);
    }

    template <class Done>
    void scan(node& vm, const std::string& prefix, Done done)
    {
        outcome<std::vector<platform::row>> rows = m_table.scan(prefix);
        if (is_table_cut(vm) || chance(20))
            rows = fail(verdict::not_run, reason::timeout, "");
        answer(vm, [rows, done] { done(rows); });
    }

    template <class Done>
    void commit(node& vm, const std::vector<platform::row_write>& writes, Done done)
    {
        outcome<platform::commit_result> result = fail(verdict::may_have_run, reason::timeout, "");
        if (!is_table_cut(vm) && !chance(20))
        {
            if (chance(20))
                m_delayed.emplace_back(m_now + random_duration(15000),
                                       [this, writes] { m_table.commit(writes); });
            else if (auto now = m_table.commit(writes); !chance(20))
                result = now;
        }
        answer(vm, [result, done] { done(result); });
    }

    void apply(node& vm, const ownership::scan_rows& action)
    {
        scan(vm, action.m_prefix,
             [this, &vm, call = action.m_call](const auto& rows) {
                 handle_lease_event(vm, ownership::rows_scanned{call, rows});
             });
    }
    void apply(node& vm, const ownership::commit_rows& action)
    {
        commit(vm, action.m_writes,
               [this, &vm, call = action.m_call](const auto& result) {
                   handle_lease_event(vm, ownership::commit_finished{call, result});
               });
    }
    void apply(node& vm, const ownership::groups_changed& action)
    {
        workers_owned owned{.m_epochs = action.m_epochs, .m_cell = m_worker_list};
        for (const auto& worker : m_worker_list)
            if (const auto epoch = action.m_epochs.find(ownership::group_of(worker.m_id));
                epoch != action.m_epochs.end())
                owned.m_workers.push_back({worker, epoch->second});
        handle_job_event(vm, owned);
    }
    void apply(node&, const ownership::leave_completed&) {}
    void apply(node& vm, const ownership::request_promise& action)
    {
        auto& peer = find(action.m_to);
        const auto request = ownership::promise_request{action.m_holder, action.m_sequence};
        if (vm.m_paused_until <= m_now && !chance(100))
            answer(peer, [this, &peer, request] { handle_lease_event(peer, request); });
    }
    void apply(node& vm, const ownership::give_promise& action)
    {
        auto& peer = find(action.m_holder.m_vm);
        const ownership::promise_grant promise{vm_id(vm.m_name), action.m_holder,
                                               action.m_sequence};
        if (!chance(100))
            answer(peer, [this, &peer, promise] { handle_lease_event(peer, promise); });
    }
    node& find(const vm_id& vm) { return *std::ranges::find(m_nodes, vm.m_value, &node::m_name); }
    void apply(node& vm, const scan_parts& action)
    {
        scan(vm, prefix_of(action.m_home),
             [this, &vm, action](const auto& rows) {
                 handle_job_event(vm,
                                  parts_scanned{action.m_home.m_group, action.m_generation, rows});
             });
    }
    void apply(node& vm, const commit_parts& action)
    {
        commit(vm, action.m_writes,
               [this, &vm, call = action.m_call](const auto& result) {
                   handle_job_event(vm, parts_committed{call, result});
               });
    }
    void apply(node&, const submission_answered& action)
    {
        if (action.m_result)
            m_accepted.insert(action.m_submission);
        else if (action.m_result.error().m_verdict == verdict::not_run)
            m_refused.insert(m_submitted.at(action.m_submission).m_id);
    }
    void apply(node& vm, const announce_parts& action)
    {
        for (auto& peer : m_nodes)
            if (&peer != &vm && !chance(200))
                answer(peer, [this, &peer, action]
                       { handle_job_event(peer, parts_written{action.m_homes}); });
    }
    void apply(node& vm, const request_capacity& action)
    {
        for (auto& peer : m_nodes)
            if (&peer != &vm)
                answer(
                    peer,
                    [this, &vm, &peer, action]
                    {
                        const auto offers =
                            peer.m_jobs->capacity_for(action.m_spec, action.m_count);
                        if (!offers.empty())
                            answer(
                                vm,
                                [this, &vm, action, offers] {
                                    handle_job_event(vm, capacity_offered{action.m_part, offers});
                                });
                    });
    }
    void apply(node& vm, const start_on_worker& action)
    {
        call_worker(
            vm, action.m_worker,
            [action](emulator::worker_model& worker, instant now)
            { return worker.start(action.m_task, now); },
            [this, &vm, action](const outcome<platform::task_report>& result) {
                handle_job_event(
                    vm, start_answered{action.m_part, action.m_index, action.m_attempt, result});
            });
    }
    void apply(node& vm, const stop_on_worker& action)
    {
        call_worker(
            vm, action.m_worker,
            [action](emulator::worker_model& worker, instant now)
            { return worker.stop(action.m_worker.m_epoch, action.m_task, now); },
            [](const outcome<platform::task_report>&) {});
    }
    void apply(node& vm, const renew_worker& action)
    {
        const platform::renew_leases leases{.m_epoch = action.m_worker.m_epoch,
                                            .m_lease = worker_tasks_options{}.m_task_lease,
                                            .m_acknowledged = action.m_acknowledged};
        call_worker(
            vm, action.m_worker,
            [leases](emulator::worker_model& worker, instant now)
            { return worker.renew(leases, now); },
            [this, &vm, action](const outcome<std::vector<platform::task_report>>& result) {
                handle_job_event(
                    vm, worker_reported{action.m_worker.m_info.m_id, action.m_call, result});
            });
    }

    template <class Call, class Done>
    void call_worker(node& vm, const owned_worker& at, Call call, Done done)
    {
        auto& worker = m_workers.at(at.m_info.m_id);
        using result_type = decltype(call(worker, m_now));
        result_type result = fail(verdict::may_have_run, reason::target_silent, "");
        // A worker may be unreachable from one entry VM only.
        const auto& silent_until = m_silent_until[{vm.m_name, at.m_info.m_id}];
        if (chance(1))
            m_silent_until[{vm.m_name, at.m_info.m_id}] = m_now + random_duration(60000);
        if (m_now >= silent_until && !chance(10))
        {
            if (chance(10))
                m_delayed.emplace_back(m_now + random_duration(2000),
                                       [this, call, &worker] { call(worker, m_now); });
            else if (auto now = call(worker, m_now); !chance(10))
                result = now;
        }
        vm.m_inbox.emplace_back(m_now + (chance(50) ? random_duration(1500) : step),
                                [&vm, incarnation = vm.m_incarnation, result, done]
                                {
                                    if (vm.m_incarnation == incarnation)
                                        done(result);
                                });
    }

    void check()
    {
        m_running.clear();
        for (auto& [id, worker] : m_workers)
        {
            RC_ASSERT(worker.committed().fits_in({.m_millicores = 4000, .m_memory_mb = 4000}));
            for (const auto& report : worker.reports(m_now))
            {
                const auto name = parse_task_name(report.m_job, report.m_task);
                const std::pair task{report.m_job, name->first};
                RC_ASSERT(!m_refused.contains(report.m_job));
                if (report.m_state == platform::task_state::running)
                    RC_ASSERT(m_running.insert(task).second);
                if (report.m_state == platform::task_state::finished)
                    m_finished.insert(task);
            }
        }
    }

    std::mt19937 m_random;
    emulator::table_store m_table;
    std::vector<platform::worker> m_worker_list;
    std::map<worker_id, emulator::worker_model> m_workers;
    std::map<std::pair<std::string, worker_id>, instant> m_silent_until;
    std::array<node, node_count> m_nodes;
    deliveries m_delayed;
    std::map<std::uint64_t, job_spec> m_submitted;
    std::set<std::uint64_t> m_accepted;
    std::set<job_id> m_refused;
    std::set<std::pair<job_id, int>> m_running;
    std::set<std::pair<job_id, int>> m_finished;
    std::uint64_t m_last_job = 0;
    instant m_now{1000s};
    bool m_faults = false;
};

} // namespace dragonflygap::placement::test
