#include <string>
#include <vector>

#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

constexpr duration apply_bound = 3s; // of the requirements, from the store's acknowledgement

std::string vm_name(int number)
{
    return "vm" + std::to_string(number);
}

std::vector<std::string> followers(const cell_world& world)
{
    std::vector<std::string> result;
    for (int i = 0; i < world.options().m_vms; ++i)
        if (vm_name(i) != world.leader())
            result.push_back(vm_name(i));
    return result;
}

std::uint64_t version_of(cell_world& world, const std::string& vm)
{
    const auto* node = world.find(vm);
    return node == nullptr || node->config() == nullptr ? 0 : node->config()->m_version;
}

void check_all_have(cell_world& world, std::uint64_t version)
{
    for (int i = 0; i < world.options().m_vms; ++i)
        UNSIGNED_LONGS_EQUAL(version, version_of(world, vm_name(i)));
}

} // namespace

// A version is in force on each VM in time if any way leads there, and no VM returns to an older
// one.
TEST_GROUP(config_spread){};

// The only way that versions took between VMs led over the leader.
TEST(config_spread, a_vm_that_reaches_neither_the_store_nor_the_leader_learns_it_from_another)
{
    cell_world world({.m_vms = 4});
    world.run(5s);
    const auto vm = followers(world).front();
    world.cut(vm, "store");
    world.cut(vm, world.leader());
    world.change_config();
    world.run(apply_bound);
    check_all_have(world, 2);
    // Later versions reach it as well, through the same VM and through others.
    for (std::uint64_t version = 3; version < 10; ++version)
    {
        world.run(std::chrono::milliseconds(700 * version));
        world.change_config();
        world.run(apply_bound);
        check_all_have(world, version);
    }
}

TEST(config_spread, a_vm_that_reaches_only_one_other_vm_learns_it)
{
    cell_world world({.m_vms = 8});
    world.run(5s);
    const auto others = followers(world);
    const auto& vm = others.front();
    world.cut_off(vm);
    world.heal(others.back());
    CHECK_FALSE(world.is_cut(vm, others.back()));
    world.change_config();
    world.run(apply_bound);
    check_all_have(world, 2);
}

// A chain: the second VM reaches only the first, and that one only one VM that knows the version.
TEST(config_spread, a_version_is_passed_on_by_vms_that_are_cut_off_themselves)
{
    cell_world world({.m_vms = 6});
    world.run(5s);
    const auto others = followers(world);
    const auto& first = others[0];
    const auto& second = others[1];
    world.cut_off(second);
    world.heal(first);
    world.cut(first, "store");
    for (int i = 0; i < 6; ++i)
        if (vm_name(i) != second && vm_name(i) != others[2])
            world.cut(first, vm_name(i));
    world.run(10s);
    world.change_config();
    world.run(apply_bound);
    check_all_have(world, 2);
}

TEST(config_spread, a_leader_that_is_cut_off_from_the_store_learns_it_from_a_member)
{
    cell_world world({.m_vms = 4});
    world.run(5s);
    const auto leader = world.leader();
    const auto vm = followers(world).front();
    world.cut(leader, "store");
    world.cut(vm, "store");
    world.change_config();
    world.run(apply_bound);
    check_all_have(world, 2);
}

// The leader, and a VM that hears no other one, are cut off; a third VM knows the version.
TEST(config_spread, a_vm_learns_it_although_its_leader_is_cut_off_too)
{
    cell_world world({.m_vms = 4});
    world.run(5s);
    const auto leader = world.leader();
    const auto others = followers(world);
    world.cut(others[0], "store");
    world.cut(leader, "store");
    for (const auto& other : {others[1], others[2]})
        world.cut(leader, other);
    world.change_config();
    world.run(apply_bound);
    UNSIGNED_LONGS_EQUAL(2, version_of(world, others[0]));
    UNSIGNED_LONGS_EQUAL(2, version_of(world, others[1]));
    UNSIGNED_LONGS_EQUAL(2, version_of(world, others[2]));
}

TEST(config_spread, a_leader_that_loses_power_delays_no_version)
{
    cell_world world({.m_vms = 4});
    world.run(5s);
    const auto vm = followers(world).front();
    world.cut(vm, "store");
    world.cut_power(world.leader());
    world.change_config();
    world.run(apply_bound);
    UNSIGNED_LONGS_EQUAL(2, version_of(world, vm));
}

// It had served version 2 alone, when nobody else could read it.
TEST(config_spread, a_restarted_vm_takes_no_older_version_from_a_peer)
{
    cell_world world({.m_vms = 3, .m_customers = 1});
    world.run(5s);
    const auto vm = followers(world).front();
    for (int i = 0; i < 3; ++i)
    {
        if (vm_name(i) != vm)
            world.cut(vm_name(i), "store");
        for (int k = 0; k < i; ++k)
            world.cut(vm_name(i), vm_name(k));
    }
    world.change_config();
    world.run(200ms);
    UNSIGNED_LONGS_EQUAL(2, version_of(world, vm));
    world.cut_power(vm);
    world.heal();
    for (int i = 0; i < 3; ++i)
        world.cut(vm_name(i), "store");
    world.start(vm);
    for (int i = 0; i < 100; ++i)
    {
        world.run(100ms);
        UNSIGNED_LONGS_EQUAL(0, version_of(world, vm));
    }
    CHECK_FALSE(world.find(vm)->ready());
    world.heal(vm);
    world.run(apply_bound);
    check_all_have(world, 2);
}

TEST(config_spread, a_restarted_vm_without_the_store_gets_the_version_that_a_peer_confirms)
{
    cell_world world({.m_vms = 4});
    world.run(5s);
    const auto vm = followers(world).front();
    world.cut(vm, "store");
    world.cut_power(vm);
    world.change_config();
    world.run(1s);
    world.start(vm);
    world.run(apply_bound);
    check_all_have(world, 2);
    // Also if the leader doesn't reach it.
    world.cut_power(vm);
    world.run(1s);
    world.cut(vm, world.leader());
    world.start(vm);
    world.run(5s);
    // Its list of members is empty, as it was never read.
    UNSIGNED_LONGS_EQUAL(0, version_of(world, vm));
    world.heal();
    world.run(apply_bound);
    check_all_have(world, 2);
}

TEST(config_spread, nobody_asks_peers_while_the_store_answers)
{
    cell_world world({.m_vms = 4});
    world.run(60s);
    LONGS_EQUAL(0, world.m_inquiries_sent);
    world.cut(followers(world).front(), "store");
    world.run(60s);
    // One peer, twice a second.
    CHECK(world.m_inquiries_sent > 60);
    CHECK(world.m_inquiries_sent < 150);
}

// All VMs ask each other, while they have as much else to do.
TEST(config_spread, an_outage_of_the_store_causes_few_messages)
{
    constexpr int vms = 8;
    cell_world world({.m_vms = vms});
    world.run(5s);
    world.rows().m_faults.m_down = true;
    world.run(10s);
    const int sent_before = world.m_inquiries_sent;
    world.run(20s);
    CHECK(world.m_inquiries_sent - sent_before <= vms * 4 * 11);
}
