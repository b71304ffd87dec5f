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
constexpr int keepers = 3;
// Other tasks of the process hear of lost groups a little later.
constexpr duration task_lag = 300ms;

/// One entry VM with its own clock: real time scaled by its rate.
struct node
{
    std::unique_ptr<lease_manager> m_lease_manager;
    std::string m_name;
    std::uint64_t m_incarnation = 1;
    double m_rate = 1;
    instant m_paused_until{};
    instant m_cut_until{}; ///< The table hears nothing of it until then.
    std::map<group_index, std::pair<std::uint64_t, instant>> m_used; ///< Epoch, last use.
    std::deque<std::pair<instant, lease_manager_event>> m_replies;

    instant local(instant real) const
    {
        return instant(
            duration(static_cast<duration::rep>(m_rate * double(real.time_since_epoch().count()))));
    }
};

/// Keepers, a table whose calls and replies are lost, late or doubled, and a real clock.
class world
{
public:
    explicit world(unsigned seed) : m_random(seed)
    {
        constexpr std::array names{"a", "b", "c"};
        for (int i = 0; i < keepers; ++i)
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
            apply_late_commits();
            if (chance(1))
                m_table_down_until = m_now + some(30000);
            if (chance(1))
                m_links_cut_until[{m_nodes[m_random() % keepers].m_name,
                                   m_nodes[m_random() % keepers].m_name}] = m_now + some(20000);
            for (auto& one : m_nodes)
                run(one);
            check();
        }
    }

    void fail_table(duration length) { m_table_down_until = m_now + length; }

    std::size_t owned() const
    {
        std::size_t sum = 0;
        for (const auto& one : m_nodes)
            sum += one.m_lease_manager->owned().size();
        return sum;
    }

private:
    void start(node& one)
    {
        one.m_replies.clear();
        one.m_used.clear();
        one.m_lease_manager = std::make_unique<lease_manager>(
            lease_manager_options{.m_vm = vm_id(one.m_name),
                                  .m_data_centre = data_centre_id("d"),
                                  .m_incarnation = one.m_incarnation});
    }

    bool chance(int percent) { return m_faults && int(m_random() % 100) < percent; }
    duration some(int most_ms) { return std::chrono::milliseconds(m_random() % most_ms); }

    void run(node& one)
    {
        if (m_now < one.m_paused_until)
            return;
        if (chance(1))
        {
            one.m_paused_until = m_now + some(20000);
            return;
        }
        if (chance(1))
            one.m_cut_until = m_now + some(20000);
        if (m_random() % 2000 == 0 && m_faults)
        {
            ++one.m_incarnation;
            start(one);
        }
        while (!one.m_replies.empty() && one.m_replies.front().first <= m_now)
        {
            const auto event = one.m_replies.front().second;
            one.m_replies.pop_front();
            handle(one, event);
        }
        handle(one, lease_manager_tick{});
    }

    void handle(node& one, const lease_manager_event& event)
    {
        for (const auto& action : one.m_lease_manager->handle(event, one.local(m_now)))
        {
            if (const auto* scan = std::get_if<scan_rows>(&action))
                call_scan(one, *scan);
            if (const auto* commit = std::get_if<commit_rows>(&action))
                call_commit(one, *commit);
            if (const auto* ask = std::get_if<ask_promise>(&action))
                send(one, ask->m_to, promise_wanted{ask->m_holder, ask->m_sequence});
            if (const auto* give = std::get_if<give_promise>(&action))
                send(one, give->m_holder.m_vm,
                     promise_given{vm_id(one.m_name), give->m_holder, give->m_sequence});
        }
    }

    void send(const node& from, const vm_id& to, const lease_manager_event& event)
    {
        auto& peer = *std::ranges::find(m_nodes, to.m_value, &node::m_name);
        const bool cut = m_now < m_links_cut_until[{from.m_name, to.m_value}];
        if (!cut && !chance(10))
            reply(peer, event);
    }

    void reply(node& one, const lease_manager_event& event)
    {
        const auto at = m_now + (chance(10) ? some(6000) : step);
        one.m_replies.emplace_back(at, event);
        if (chance(5))
            one.m_replies.emplace_back(at + some(5000), event);
        std::ranges::stable_sort(one.m_replies, {}, [](const auto& entry) { return entry.first; });
    }

    bool unreachable(const node& one) const
    {
        return m_now < one.m_cut_until || m_now < m_table_down_until;
    }

    void call_scan(node& one, const scan_rows& call)
    {
        if (chance(5))
            return;
        if (chance(5))
            return reply(one,
                         rows_scanned{call.m_call, fail(verdict::not_run, reason::timeout, "")});
        reply(one, rows_scanned{call.m_call, m_table.scan(call.m_prefix)});
    }

    void call_commit(node& one, const commit_rows& call)
    {
        const commit_finished unknown{call.m_call,
                                      fail(verdict::may_have_run, reason::timeout, "")};
        if (unreachable(one) || chance(5))
            return reply(one, unknown); // never arrives
        if (unreachable(one) || chance(5))
        {
            m_late.emplace_back(m_now + some(15000), call.m_writes);
            return reply(one, unknown);
        }
        const auto result = m_table.commit(call.m_writes);
        if (chance(5))
            return reply(one, unknown);
        if (!chance(5))
            reply(one, commit_finished{call.m_call, result});
    }

    void apply_late_commits()
    {
        std::erase_if(m_late,
                      [this](const auto& entry)
                      {
                          if (m_now < entry.first)
                              return false;
                          m_table.commit(entry.second);
                          return true;
                      });
    }

    // A paused process acts on nothing: what it owns counts once it has looked at its clock.
    void check()
    {
        std::map<group_index, std::uint64_t> seen;
        for (auto& one : m_nodes)
        {
            if (m_now < one.m_paused_until)
                continue;
            for (const auto& [group, epoch] : one.m_lease_manager->owned())
                one.m_used[group] = {epoch, m_now};
            for (const auto& [group, use] : one.m_used)
                if (m_now - use.second <= task_lag)
                    check_use(one, group, use.first, seen);
        }
    }

    void check_use(const node& one, group_index group, std::uint64_t epoch,
                   std::map<group_index, std::uint64_t>& seen)
    {
        RC_ASSERT(seen.emplace(group, epoch).second);
        auto& holder = m_holders[{group, epoch}];
        const auto process = one.m_name + std::to_string(one.m_incarnation);
        RC_ASSERT(holder.empty() || holder == process);
        holder = process;
    }

    std::mt19937 m_random;
    emulator::table_store m_table;
    std::array<node, keepers> m_nodes;
    std::vector<std::pair<instant, std::vector<platform::row_write>>> m_late;
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
    CHECK(rc::check("one owner for each group",
                    []
                    {
                        world cell(*rc::gen::arbitrary<unsigned>());
                        cell.run(120s, true);
                    }));
}

TEST(lease_manager_property, once_the_faults_end_every_group_has_an_owner_again)
{
    CHECK(rc::check("groups come back",
                    []
                    {
                        world cell(*rc::gen::arbitrary<unsigned>());
                        cell.run(60s, true);
                        cell.run(40s, false);
                        RC_ASSERT(cell.owned() == groups_per_data_centre);
                    }));
}

TEST(lease_manager_property, while_the_table_is_down_owners_whose_peers_live_go_on)
{
    world cell(1);
    cell.run(40s, false);
    cell.fail_table(300s);
    cell.run(290s, false);
    CHECK_EQUAL(groups_per_data_centre, cell.owned());
}
