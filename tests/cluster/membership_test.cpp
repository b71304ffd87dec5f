#include "dragonflygap/cluster/membership.hpp"

#include <algorithm>
#include <array>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cluster;

namespace
{

member make_peer(const char* vm, const char* data_centre)
{
    return {.m_vm = vm_id(vm),
            .m_data_centre = data_centre_id(data_centre),
            .m_address = {"127.0.0.1", 1000}};
}

template <class Action>
std::vector<Action> actions_of(const std::vector<membership_action>& actions)
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
    std::array<member, 2> m_peers{make_peer("near", "d1"), make_peer("far", "d2")};
    membership m_membership{{.m_self = vm_id("self"), .m_data_centre = data_centre_id("d1")},
                            m_peers};
    instant m_now{1000s};
    std::uint64_t m_sequence = 0;

    auto receive_heartbeat(const char* vm, std::uint64_t incarnation, heartbeat content = {})
    {
        content.m_sequence = ++m_sequence;
        if (content.m_data_centre.empty())
            content.m_data_centre = data_centre_id(std::string(vm) == "far" ? "d2" : "d1");
        return m_membership.handle(heartbeat_received{vm_id(vm), incarnation, content}, m_now);
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
    receive_heartbeat("near", 1);
    receive_heartbeat("far", 1);
    m_now += 3s;
    tick();
    CHECK(status("near") == member_status::suspect);
    CHECK(status("far") == member_status::alive);
    m_now += 3s;
    tick();
    CHECK(status("near") == member_status::dead);
    CHECK(status("far") == member_status::suspect);
}

TEST(membership, a_peer_never_heard_from_is_unknown_not_dead)
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
        for (const auto& sent : actions_of<send_heartbeat>(tick()))
            (sent.m_vm == vm_id("near") ? near : far) += 1;
    CHECK_EQUAL(20, near);
    CHECK_EQUAL(8, far);
}

TEST(membership, a_late_heartbeat_of_an_earlier_process_is_ignored)
{
    receive_heartbeat("near", 5, {.m_config_version = 9});
    receive_heartbeat("near", 4, {.m_config_version = 1});
    CHECK_EQUAL(9, m_membership.members().at(vm_id("near")).m_config_version);
}

TEST(membership, a_process_with_a_clock_set_back_is_accepted_once_the_earlier_one_is_dead)
{
    receive_heartbeat("near", 5);
    m_now += 6s;
    tick();
    receive_heartbeat("near", 4);
    CHECK(status("near") == member_status::alive);
    CHECK_EQUAL(4, m_membership.members().at(vm_id("near")).m_incarnation);
}

TEST(membership, a_peer_that_does_not_hear_us_is_redialled_although_we_hear_it)
{
    receive_heartbeat("near", 1, {.m_hears_receiver = false});
    const auto redials = actions_of<redial_peer>(tick());
    CHECK(std::ranges::any_of(redials, [](const auto& r) { return r.m_vm == vm_id("near"); }));
    m_now += 2s;
    receive_heartbeat("near", 1, {.m_hears_receiver = true});
    const auto later = actions_of<redial_peer>(tick());
    CHECK(std::ranges::none_of(later, [](const auto& r) { return r.m_vm == vm_id("near"); }));
}

TEST(membership, a_replaced_vm_is_dialled_at_its_new_address)
{
    const auto dials =
        actions_of<dial_peer>(receive_heartbeat("near", 2, {.m_address = "127.0.0.1:2000"}));
    CHECK_EQUAL(1, dials.size());
    CHECK_EQUAL(2000, dials.front().m_address.m_port);
}

TEST(membership, two_vms_that_are_new_to_everyone_are_introduced_to_each_other)
{
    receive_heartbeat("new-1", 1, {.m_hears_receiver = true, .m_address = "127.0.0.1:3001"});
    receive_heartbeat("new-2", 1, {.m_hears_receiver = true, .m_address = "127.0.0.1:3002"});
    bool introduced = false;
    for (int i = 0; i < 40; ++i, m_now += 100ms)
    {
        receive_heartbeat("new-1", 1, {.m_hears_receiver = true});
        receive_heartbeat("new-2", 1, {.m_hears_receiver = true});
        for (const auto& sent : actions_of<send_heartbeat>(tick()))
            introduced = introduced || (sent.m_vm == vm_id("new-1") && sent.m_introduced &&
                                        sent.m_introduced->m_vm == vm_id("new-2"));
    }
    CHECK(introduced);
}

TEST(membership, an_introduction_never_changes_a_known_member)
{
    receive_heartbeat("near", 1, {.m_address = "127.0.0.1:2000"});
    const introduction wrong{vm_id("near"), data_centre_id("d2"), "127.0.0.1:9"};
    CHECK(actions_of<dial_peer>(receive_heartbeat("far", 1, {.m_introduced = wrong})).empty());
    CHECK_EQUAL(2000, m_membership.members().at(vm_id("near")).m_address.m_port);
}

TEST(membership, a_peer_not_in_the_settings_is_forgotten_after_ten_minutes_of_silence)
{
    receive_heartbeat("new-1", 1, {.m_address = "127.0.0.1:3001"});
    receive_heartbeat("near", 1);
    m_now += 601s;
    CHECK_EQUAL(1, actions_of<forget_peer>(tick()).size());
    CHECK_EQUAL(2, m_membership.members().size());
}
