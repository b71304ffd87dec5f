#include "dragonflygap/ownership/lease_manager.hpp"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <random>

#include <rapidcheck.h>

#include "dragonflygap/emulator/table_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::ownership;

namespace
{

constexpr duration step = 100ms;
constexpr int node_count = 3;
// Other tasks of the process are notified of lost groups with this delay.
constexpr duration notification_lag = 300ms;

/// An entry VM with its own clock: real time scaled by its rate.
struct node
{
    std::unique_ptr<lease_manager> m_lease_manager;
    std::string m_name;
    std::uint64_t m_incarnation = 1;
    double m_rate = 1;
    instant m_paused_until{};
    instant m_table_cut_until{}; ///< Its commits don't reach the table until then.
    std::map<group_index, std::pair<std::uint64_t, instant>> m_last_uses; ///< Epoch, last use.
    std::deque<std::pair<instant, lease_manager_event>> m_replies;

    instant local(instant real) const
    {
        return instant(
            duration(static_cast<duration::rep>(m_rate * double(real.time_since_epoch().count()))));
    }
};

/// Entry VMs and a table on a virtual clock; calls and replies are lost, delayed or duplicated.
class simulation
{
public:
    explicit simulation(unsigned seed) : m_random(seed)
    {
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
            apply_delayed_commits();
            if (chance(1))
                m_table_down_until = m_now + random_duration(30000);
            if (chance(1))
                m_links_cut_until[{m_nodes[m_random() % node_count].m_name,
                                   m_nodes[m_random() % node_count].m_name}] =
                    m_now + random_duration(20000);
            for (auto& vm : m_nodes)
                run(vm);
            check();
        }
    }

    void fail_table(duration length) { m_table_down_until = m_now + length; }

    std::size_t owned() const
    {
        std::size_t sum = 0;
        for (const auto& vm : m_nodes)
            sum += vm.m_lease_manager->owned().size();
        return sum;
    }

private:
    void start(node& vm)
    {
        vm.m_replies.clear();
        vm.m_last_uses.clear();
        vm.m_lease_manager = std::make_unique<lease_manager>(
            lease_manager_options{.m_vm = vm_id(vm.m_name),
                                  .m_data_centre = data_centre_id("d"),
                                  .m_incarnation = vm.m_incarnation});
    }

    bool chance(int percent) { return m_faults && int(m_random() % 100) < percent; }
    duration random_duration(int max_ms) { return std::chrono::milliseconds(m_random() % max_ms); }

    void run(node& vm)
    {
        if (m_now < vm.m_paused_until)
            return;
        if (chance(1))
        {
            vm.m_paused_until = m_now + random_duration(20000);
            return;
        }
        if (chance(1))
            vm.m_table_cut_until = m_now + random_duration(20000);
        if (m_random() % 2000 == 0 && m_faults)
        {
            ++vm.m_incarnation;
            start(vm);
        }
        while (!vm.m_replies.empty() && vm.m_replies.front().first <= m_now)
        {
            const auto event = vm.m_replies.front().second;
            vm.m_replies.pop_front();
            handle(vm, event);
        }
        handle(vm, lease_manager_tick{});
    }

    void handle(node& vm, const lease_manager_event& event)
    {
        for (const auto& action : vm.m_lease_manager->handle(event, vm.local(m_now)))
        {
            if (const auto* scan = std::get_if<scan_rows>(&action))
                apply_scan(vm, *scan);
            if (const auto* commit = std::get_if<commit_rows>(&action))
                apply_commit(vm, *commit);
            if (const auto* ask = std::get_if<request_promise>(&action))
                send(vm, ask->m_to, promise_request{ask->m_holder, ask->m_sequence});
            if (const auto* give = std::get_if<give_promise>(&action))
                send(vm, give->m_holder.m_vm,
                     promise_grant{vm_id(vm.m_name), give->m_holder, give->m_sequence});
        }
    }

    void send(const node& from, const vm_id& to, const lease_manager_event& event)
    {
        auto& peer = *std::ranges::find(m_nodes, to.m_value, &node::m_name);
        const bool cut = m_now < m_links_cut_until[{from.m_name, to.m_value}];
        if (!cut && !chance(10))
            reply(peer, event);
    }

    void reply(node& vm, const lease_manager_event& event)
    {
        const auto at = m_now + (chance(10) ? random_duration(6000) : step);
        vm.m_replies.emplace_back(at, event);
        if (chance(5))
            vm.m_replies.emplace_back(at + random_duration(5000), event);
        std::ranges::stable_sort(vm.m_replies, {}, [](const auto& entry) { return entry.first; });
    }

    bool unreachable(const node& vm) const
    {
        return m_now < vm.m_table_cut_until || m_now < m_table_down_until;
    }

    void apply_scan(node& vm, const scan_rows& call)
    {
        if (chance(5))
            return;
        if (chance(5))
            return reply(vm,
                         rows_scanned{call.m_call, fail(verdict::not_run, reason::timeout, "")});
        reply(vm, rows_scanned{call.m_call, m_table.scan(call.m_prefix)});
    }

    void apply_commit(node& vm, const commit_rows& call)
    {
        const commit_finished unknown{call.m_call,
                                      fail(verdict::may_have_run, reason::timeout, "")};
        if (unreachable(vm) || chance(5))
            return reply(vm, unknown); // the call is lost
        if (unreachable(vm) || chance(5))
        {
            m_delayed_commits.emplace_back(m_now + random_duration(15000), call.m_writes);
            return reply(vm, unknown);
        }
        const auto result = m_table.commit(call.m_writes);
        if (chance(5))
            return reply(vm, unknown);
        if (!chance(5))
            reply(vm, commit_finished{call.m_call, result});
    }

    void apply_delayed_commits()
    {
        std::erase_if(m_delayed_commits,
                      [this](const auto& entry)
                      {
                          if (m_now < entry.first)
                              return false;
                          m_table.commit(entry.second);
                          return true;
                      });
    }

    // A paused process does nothing, so what it owns counts only once it runs again.
    void check()
    {
        std::map<group_index, std::uint64_t> seen;
        for (auto& vm : m_nodes)
        {
            if (m_now < vm.m_paused_until)
                continue;
            for (const auto& [group, epoch] : vm.m_lease_manager->owned())
                vm.m_last_uses[group] = {epoch, m_now};
            for (const auto& [group, use] : vm.m_last_uses)
                if (m_now - use.second <= notification_lag)
                    check_use(vm, group, use.first, seen);
        }
    }

    void check_use(const node& vm, group_index group, std::uint64_t epoch,
                   std::map<group_index, std::uint64_t>& seen)
    {
        RC_ASSERT(seen.emplace(group, epoch).second);
        auto& holder = m_holders[{group, epoch}];
        const auto process = vm.m_name + std::to_string(vm.m_incarnation);
        RC_ASSERT(holder.empty() || holder == process);
        holder = process;
    }

    std::mt19937 m_random;
    emulator::table_store m_table;
    std::array<node, node_count> m_nodes;
    std::vector<std::pair<instant, std::vector<platform::row_write>>> m_delayed_commits;
    std::map<std::pair<group_index, std::uint64_t>, std::string> m_holders;
    std::map<std::pair<std::string, std::string>, instant> m_links_cut_until;
    instant m_table_down_until{};
    instant m_now{1000s};
    bool m_faults = false;
};

} // namespace

TEST_GROUP(lease_manager_property){};

TEST(lease_manager_property,
     no_group_has_two_owners_and_no_epoch_two_holders_under_any_interleaving)
{
    CHECK(rc::check("at most one owner for each group",
                    []
                    {
                        simulation cell(*rc::gen::arbitrary<unsigned>());
                        cell.run(120s, true);
                    }));
}

TEST(lease_manager_property, once_the_faults_end_every_group_has_an_owner_again)
{
    CHECK(rc::check("every group has an owner again",
                    []
                    {
                        simulation cell(*rc::gen::arbitrary<unsigned>());
                        cell.run(60s, true);
                        cell.run(40s, false);
                        RC_ASSERT(cell.owned() == groups_per_data_centre);
                    }));
}

TEST(lease_manager_property, owners_with_live_peers_stay_owners_while_the_table_is_down)
{
    simulation cell(1);
    cell.run(40s, false);
    cell.fail_table(300s);
    cell.run(290s, false);
    CHECK_EQUAL(groups_per_data_centre, cell.owned());
}
