#include "dragonflygap/ownership/lease_manager.hpp"

#include "dragonflygap/emulator/table_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::ownership;

namespace
{

/// An entry VM whose table calls are answered immediately.
struct managed_vm
{
    emulator::table_store& m_table;
    lease_manager m_lease_manager;
    bool m_table_up = true;

    managed_vm(emulator::table_store& table, const std::string& vm, std::uint64_t incarnation)
        : m_table(table),
          m_lease_manager({.m_vm = vm_id(vm),
                           .m_data_centre = data_centre_id("d"),
                           .m_incarnation = incarnation})
    {
    }

    void run(const lease_manager_event& event, instant now)
    {
        for (const auto& action : m_lease_manager.handle(event, now))
        {
            if (const auto* scan = std::get_if<scan_rows>(&action))
                run(m_table_up
                        ? rows_scanned{scan->m_call, m_table.scan(scan->m_prefix)}
                        : rows_scanned{scan->m_call, fail(verdict::not_run, reason::timeout, "")},
                    now);
            if (const auto* commit = std::get_if<commit_rows>(&action))
                run(m_table_up ? commit_finished{commit->m_call, m_table.commit(commit->m_writes)}
                               : commit_finished{commit->m_call,
                                                 fail(verdict::may_have_run, reason::timeout, "")},
                    now);
        }
    }

    std::size_t owned() const { return m_lease_manager.owned().size(); }
};

constexpr duration step = 100ms;

} // namespace

TEST_GROUP(lease_manager)
{
    emulator::table_store m_table;
    instant m_now{1000s};

    void run(std::vector<managed_vm*> vms, duration length)
    {
        const auto end = m_now + length;
        for (; m_now < end; m_now += step)
            for (auto* vm : vms)
                vm->run(lease_manager_tick{}, m_now);
    }
};

TEST(lease_manager, a_single_entry_vm_owns_every_group)
{
    managed_vm a(m_table, "a", 1);
    run({&a}, 2s);
    CHECK_EQUAL(groups_per_data_centre, a.owned());
}

TEST(lease_manager, two_entry_vms_share_the_groups_and_no_group_has_two_owners)
{
    managed_vm a(m_table, "a", 1);
    managed_vm b(m_table, "b", 1);
    run({&a}, 2s);
    run({&a, &b}, 10s);
    CHECK(a.owned() > 0);
    CHECK(b.owned() > 0);
    CHECK_EQUAL(groups_per_data_centre, a.owned() + b.owned());
}

TEST(lease_manager, the_groups_of_a_dead_owner_are_taken_over_with_a_higher_epoch_within_10_s)
{
    managed_vm a(m_table, "a", 1);
    managed_vm b(m_table, "b", 1);
    run({&a, &b}, 5s);
    const auto before = a.m_lease_manager.owned();
    CHECK(!before.empty());
    run({&b}, 10s);
    CHECK_EQUAL(groups_per_data_centre, b.owned());
    for (const auto& [group, epoch] : before)
        CHECK(b.m_lease_manager.owned().at(group) > epoch);
}

TEST(lease_manager, an_owner_that_was_paused_beyond_its_lease_owns_nothing_when_it_resumes)
{
    managed_vm a(m_table, "a", 1);
    managed_vm b(m_table, "b", 1);
    run({&a, &b}, 6s);
    CHECK(a.owned() > 0);
    m_now += 20s;
    a.m_table_up = false;
    a.run(lease_manager_tick{}, m_now);
    CHECK_EQUAL(0, a.owned());
}

TEST(lease_manager, the_groups_of_a_leaving_entry_vm_move_before_its_lease_could_expire)
{
    managed_vm a(m_table, "a", 1);
    managed_vm b(m_table, "b", 1);
    run({&a, &b}, 6s);
    a.run(leave_requested{}, m_now);
    CHECK_EQUAL(0, a.owned());
    run({&a, &b}, 3s);
    CHECK_EQUAL(groups_per_data_centre, b.owned());
}

TEST(lease_manager, a_restarted_process_owns_nothing_until_the_lease_of_the_earlier_one_expires)
{
    managed_vm a(m_table, "a", 1);
    run({&a}, 3s);
    const auto before = a.m_lease_manager.owned();
    managed_vm restarted(m_table, "a", 2);
    run({&restarted}, 6s);
    CHECK_EQUAL(0, restarted.owned());
    run({&restarted}, 4s);
    CHECK_EQUAL(groups_per_data_centre, restarted.owned());
    for (const auto& [group, epoch] : before)
        CHECK(restarted.m_lease_manager.owned().at(group) > epoch);
}

TEST(lease_manager, after_a_table_outage_no_owner_is_fenced_for_missed_renewals)
{
    managed_vm a(m_table, "a", 1);
    managed_vm b(m_table, "b", 1);
    run({&a, &b}, 6s);
    const auto before = a.m_lease_manager.owned();
    a.m_table_up = b.m_table_up = false;
    run({&a, &b}, 60s);
    CHECK_EQUAL(0, a.owned() + b.owned());
    b.m_table_up = true;
    run({&a, &b}, 3s);
    a.m_table_up = true;
    run({&a, &b}, 3s);
    CHECK(before == a.m_lease_manager.owned());
}

TEST(lease_manager, a_group_to_be_handed_over_is_not_used_until_an_unanswered_handover_is_resolved)
{
    managed_vm a(m_table, "a", 1);
    run({&a}, 3s);
    managed_vm b(m_table, "b", 1);
    run({&b}, 2s);
    // The handover is sent and its reply is lost: it may take effect at any time.
    std::vector<platform::row_write> sent;
    for (int i = 0; i < 30 && sent.empty(); ++i, m_now += step)
        for (const auto& action : a.m_lease_manager.handle(lease_manager_tick{}, m_now))
        {
            if (const auto* scan = std::get_if<scan_rows>(&action))
                a.m_lease_manager.handle(rows_scanned{scan->m_call, m_table.scan(scan->m_prefix)},
                                         m_now);
            if (const auto* commit = std::get_if<commit_rows>(&action))
            {
                if (commit->m_writes.front().m_key.find("group/") != std::string::npos)
                    sent = commit->m_writes;
                a.m_lease_manager.handle(
                    commit_finished{
                        commit->m_call,
                        sent.empty()
                            ? outcome<platform::commit_result>(m_table.commit(commit->m_writes))
                            : fail(verdict::may_have_run, reason::timeout, "")},
                    m_now);
            }
        }
    CHECK(!sent.empty());
    const auto owned_before = a.owned();
    CHECK(owned_before < groups_per_data_centre);
    for (const auto& action : a.m_lease_manager.handle(lease_manager_tick{}, m_now))
        if (const auto* scan = std::get_if<scan_rows>(&action))
            a.m_lease_manager.handle(rows_scanned{scan->m_call, m_table.scan(scan->m_prefix)},
                                     m_now);
    CHECK_EQUAL(owned_before, a.owned());
}

TEST(lease_manager, an_owner_without_a_table_stops_once_a_peer_that_could_fence_it_is_silent)
{
    managed_vm a(m_table, "a", 1);
    managed_vm b(m_table, "b", 1);
    run({&a, &b}, 6s);
    a.m_table_up = false;
    run({&a}, 5s);
    CHECK_EQUAL(0, a.owned());
}

TEST(lease_manager, an_entry_vm_that_is_no_elector_fences_the_owner_only_after_the_extension_limit)
{
    managed_vm a(m_table, "a", 1);
    run({&a}, 3s);
    managed_vm b(m_table, "b", 1);
    run({&b}, 600s);
    CHECK_EQUAL(0, b.owned());
    run({&b}, 90s);
    CHECK_EQUAL(groups_per_data_centre, b.owned());
}

TEST(lease_manager, a_process_promises_nothing_while_an_earlier_one_may_still_be_fencing)
{
    managed_vm a(m_table, "a", 1);
    run({&a}, 10s);
    const promise_request wanted{{vm_id("b"), 1, 1}, 1};
    CHECK(a.m_lease_manager.handle(wanted, m_now).empty());
    run({&a}, 11s);
    CHECK_EQUAL(1, a.m_lease_manager.handle(wanted, m_now).size());
}
