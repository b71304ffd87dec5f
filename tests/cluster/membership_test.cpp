#include "dragonflygap/cluster/membership.hpp"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cluster;

namespace
{

member settings_peer(const char* vm, const char* centre)
{
    return {.m_vm = vm_id(vm),
            .m_data_centre = data_centre_id(centre),
            .m_address = {"127.0.0.1", 1000}};
}

template <class Action>
std::vector<Action> only(const std::vector<membership_action>& actions)
{
    std::vector<Action> found;
    for (const auto& action : actions)
        if (const auto* match = std::get_if<Action>(&action))
            found.push_back(*match);
    return found;
}

} // namespace

TEST_GROUP(membership)
{
    std::array<member, 2> m_peers{settings_peer("near", "d1"), settings_peer("far", "d2")};
    membership m_membership{{.m_self = vm_id("self"), .m_data_centre = data_centre_id("d1")},
                            m_peers};
    instant m_now{1000s};
    std::uint64_t m_sequence = 0;

    auto beat(const char* vm, std::uint64_t incarnation, heartbeat what = {})
    {
        what.m_sequence = ++m_sequence;
        if (what.m_data_centre.empty())
            what.m_data_centre = data_centre_id(std::string(vm) == "far" ? "d2" : "d1");
        return m_membership.handle(heartbeat_received{vm_id(vm), incarnation, what}, m_now);
    }

    auto tick()
    {
        return m_membership.handle(membership_tick{}, m_now);
    }
    auto status(const char* vm)
    {
        return m_membership.members().at(vm_id(vm)).m_status;
    }
};

TEST(membership, a_near_peer_is_suspected_and_dead_sooner_than_a_far_one)
{
    beat("near", 1);
    beat("far", 1);
    m_now += 3s;
    tick();
    CHECK(status("near") == member_status::suspect);
    CHECK(status("far") == member_status::alive);
    m_now += 3s;
    tick();
    CHECK(status("near") == member_status::dead);
    CHECK(status("far") == member_status::suspect);
}

TEST(membership, a_peer_never_heard_is_unknown_not_dead)
{
    m_now += 100s;
    tick();
    CHECK(status("near") == member_status::unknown);
}

TEST(membership, near_peers_get_two_heartbeats_a_second_and_far_ones_four_in_five_seconds)
{
    std::size_t near = 0;
    std::size_t far = 0;
    for (int i = 0; i < 100; ++i, m_now += 100ms)
        for (const auto& sent : only<send_heartbeat>(tick()))
            (sent.m_vm == vm_id("near") ? near : far) += 1;
    CHECK_EQUAL(20, near);
    CHECK_EQUAL(8, far);
}

TEST(membership, a_late_heartbeat_of_an_earlier_process_is_ignored)
{
    beat("near", 5, {.m_config_version = 9});
    beat("near", 4, {.m_config_version = 1});
    CHECK_EQUAL(9, m_membership.members().at(vm_id("near")).m_config_version);
}

TEST(membership, a_process_with_a_clock_set_back_is_believed_once_the_earlier_one_is_dead)
{
    beat("near", 5);
    m_now += 6s;
    tick();
    beat("near", 4);
    CHECK(status("near") == member_status::alive);
    CHECK_EQUAL(4, m_membership.members().at(vm_id("near")).m_incarnation);
}

TEST(membership, a_peer_that_does_not_hear_us_is_redialled_although_we_hear_it)
{
    beat("near", 1, {.m_hears_you = false});
    const auto redials = only<redial_peer>(tick());
    CHECK(std::ranges::any_of(redials, [](const auto& r) { return r.m_vm == vm_id("near"); }));
    m_now += 2s;
    beat("near", 1, {.m_hears_you = true});
    const auto later = only<redial_peer>(tick());
    CHECK(std::ranges::none_of(later, [](const auto& r) { return r.m_vm == vm_id("near"); }));
}

TEST(membership, a_replaced_vm_is_dialled_at_its_new_address)
{
    const auto dials = only<dial_peer>(beat("near", 2, {.m_address = "127.0.0.1:2000"}));
    CHECK_EQUAL(1, dials.size());
    CHECK_EQUAL(2000, dials.front().m_address.m_port);
}

TEST(membership, two_vms_that_are_new_to_everyone_are_introduced_to_each_other)
{
    beat("new-1", 1, {.m_hears_you = true, .m_address = "127.0.0.1:3001"});
    beat("new-2", 1, {.m_hears_you = true, .m_address = "127.0.0.1:3002"});
    bool introduced = false;
    for (int i = 0; i < 40; ++i, m_now += 100ms)
    {
        beat("new-1", 1, {.m_hears_you = true});
        beat("new-2", 1, {.m_hears_you = true});
        for (const auto& sent : only<send_heartbeat>(tick()))
            introduced = introduced || (sent.m_vm == vm_id("new-1") && sent.m_introduced &&
                                        sent.m_introduced->m_vm == vm_id("new-2"));
    }
    CHECK(introduced);
}

TEST(membership, an_introduction_never_changes_what_is_known_of_a_member)
{
    beat("near", 1, {.m_address = "127.0.0.1:2000"});
    const introduction wrong{vm_id("near"), data_centre_id("d2"), "127.0.0.1:9"};
    CHECK(only<dial_peer>(beat("far", 1, {.m_introduced = wrong})).empty());
    CHECK_EQUAL(2000, m_membership.members().at(vm_id("near")).m_address.m_port);
}

TEST(membership, a_peer_from_no_settings_is_forgotten_after_ten_minutes_of_silence)
{
    beat("new-1", 1, {.m_address = "127.0.0.1:3001"});
    beat("near", 1);
    m_now += 601s;
    CHECK_EQUAL(1, only<forget_peer>(tick()).size());
    CHECK_EQUAL(2, m_membership.members().size());
}
