#include <string>

#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

constexpr duration apply_bound = 3s; // of the requirements, from the store's acknowledgement

constexpr int accepted = 200;
constexpr int unauthorized = 401;
constexpr int unavailable = 503;

std::string job_name(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

std::string vm_name(int number)
{
    return "vm" + std::to_string(number);
}

/// A VM that doesn't lead.
std::string follower(const cell_world& world, int number = 0)
{
    for (int i = 0; i < world.options().m_vms; ++i)
        if (vm_name(i) != world.leader() && number-- == 0)
            return vm_name(i);
    return {};
}

/// Lets all VMs answer a call with a key; the status that they share, or 0.
int status_everywhere(cell_world& world, const std::string& key)
{
    int shared = world.try_key(vm_name(0), key);
    for (int i = 1; i < world.options().m_vms; ++i)
        shared = world.try_key(vm_name(i), key) == shared ? shared : 0;
    return shared;
}

void check_no_violations(const cell_world& world)
{
    for (const auto& text : world.m_checker.m_violations)
        FAIL(text.c_str());
}

} // namespace

// Keys on a whole cell: in force and out of force in time, whatever fails.
TEST_GROUP(customers){};

TEST(customers, calls_need_a_key_of_the_configuration)
{
    cell_world world({.m_customers = 2});
    world.run(3s);
    LONGS_EQUAL(accepted, status_everywhere(world, "key-of-c0"));
    LONGS_EQUAL(accepted, status_everywhere(world, "key-of-c1"));
    LONGS_EQUAL(unauthorized, status_everywhere(world, "key-of-c2"));
    LONGS_EQUAL(unauthorized, status_everywhere(world, ""));
    world.submit("vm0", job_name(1), {{}}, "c0");
    world.submit("vm1", job_name(2), {{}}, "c9");
    world.run(2s);
    STRCMP_EQUAL("completed", world.state("vm2", job_name(1), "c0").c_str());
    LONGS_EQUAL(unauthorized, world.m_submissions[job_name(2)].m_status);
    STRCMP_EQUAL("410", world.state("vm2", job_name(2), "c0").c_str());
    check_no_violations(world);
}

// A refused call must leave nothing behind: no row, no job, no open call.
TEST(customers, a_refused_call_leaves_no_state)
{
    cell_world world({.m_customers = 1});
    world.run(3s);
    const auto writes = world.rows().rows("job") + world.rows().rows("ended");
    for (int i = 0; i < 50; ++i)
        world.submit(vm_name(i % 3), job_name(i), {{}}, "nobody");
    world.run(1s);
    LONGS_EQUAL(writes, world.rows().rows("job") + world.rows().rows("ended"));
    LONGS_EQUAL(0, world.find(world.leader())->leading()->state().live_jobs());
    for (int i = 0; i < 3; ++i)
        LONGS_EQUAL(0, world.find(vm_name(i))->callers().open_count());
}

TEST(customers, keys_are_rotated_while_jobs_run)
{
    cell_world world({.m_customers = 2});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_run_time = 20s}}, "c0");
    world.run(500ms);
    world.m_keys["c0"].emplace_back("second");
    world.change_config();
    world.run(apply_bound);
    LONGS_EQUAL(accepted, status_everywhere(world, "key-of-c0"));
    LONGS_EQUAL(accepted, status_everywhere(world, "second"));
    world.m_keys["c0"] = {"second"};
    world.change_config();
    world.run(apply_bound);
    LONGS_EQUAL(unauthorized, status_everywhere(world, "key-of-c0"));
    LONGS_EQUAL(accepted, status_everywhere(world, "second"));
    LONGS_EQUAL(accepted, status_everywhere(world, "key-of-c1"));
    world.m_caller_keys["c0"] = "second";
    STRCMP_EQUAL("running", world.state("vm1", job_name(1), "c0").c_str());
    STRCMP_EQUAL("410", world.state("vm1", job_name(1), "c1").c_str());
    world.run(15s);
    STRCMP_EQUAL("completed", world.state("vm1", job_name(1), "c0").c_str());
    check_no_violations(world);
}

TEST(customers, without_keys_a_customers_calls_are_refused_and_its_jobs_run_on)
{
    cell_world world({.m_customers = 2});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_run_time = 8s}}, "c0");
    world.run(500ms);
    world.m_keys["c0"].clear();
    world.change_config();
    world.run(apply_bound);
    LONGS_EQUAL(unauthorized, status_everywhere(world, "key-of-c0"));
    LONGS_EQUAL(accepted, status_everywhere(world, "key-of-c1"));
    world.run(8s);
    LONGS_EQUAL(1, world.completed());
    // Back under a new key, the customer has its job again.
    world.m_keys["c0"] = {"new"};
    world.m_caller_keys["c0"] = "new";
    world.change_config();
    world.run(apply_bound);
    STRCMP_EQUAL("completed", world.state("vm2", job_name(1), "c0").c_str());
    check_no_violations(world);
}

TEST(customers, a_removed_customers_calls_are_refused_and_its_jobs_run_on)
{
    cell_world world({.m_customers = 2});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_run_time = 5s}}, "c0");
    world.run(500ms);
    world.m_keys.erase("c0");
    world.change_config();
    world.run(apply_bound);
    LONGS_EQUAL(unauthorized, status_everywhere(world, "key-of-c0"));
    world.run(4s);
    LONGS_EQUAL(1, world.completed());
    check_no_violations(world);
}

TEST(customers, a_removal_reaches_a_vm_that_is_cut_off_from_the_store)
{
    cell_world world({.m_customers = 1});
    world.run(3s);
    const auto vm = follower(world);
    world.cut(vm, "store");
    world.run(5s);
    LONGS_EQUAL(accepted, world.try_key(vm, "key-of-c0"));
    world.m_keys["c0"] = {"second"};
    world.change_config();
    world.run(apply_bound);
    LONGS_EQUAL(unauthorized, world.try_key(vm, "key-of-c0"));
    LONGS_EQUAL(accepted, world.try_key(vm, "second"));
}

// By default a VM without any contact goes on with what it knows.
TEST(customers, a_vm_without_any_contact_keeps_the_last_keys)
{
    cell_world world({.m_customers = 1});
    world.run(3s);
    const auto vm = follower(world);
    world.cut_off(vm);
    world.m_keys["c0"] = {"second"};
    world.change_config();
    world.run(20s);
    // Without a leader the state isn't known, but the key is accepted.
    LONGS_EQUAL(unavailable, world.try_key(vm, "key-of-c0"));
    LONGS_EQUAL(unauthorized, world.try_key(vm, "second"));
    world.heal();
    world.run(apply_bound);
    LONGS_EQUAL(unauthorized, world.try_key(vm, "key-of-c0"));
}

TEST(customers, all_vms_losing_power_at_once_bring_no_old_key_back)
{
    cell_world world({.m_customers = 2});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_run_time = 6s}}, "c0");
    world.submit("vm0", job_name(2), {{}}, "c0");
    world.run(2s);
    world.m_keys["c0"] = {"second"};
    world.change_config();
    for (int i = 0; i < 3; ++i)
        world.cut_power(vm_name(i));
    world.run(500ms);
    for (int i = 0; i < 3; ++i)
        world.start(vm_name(i));
    for (int i = 0; i < 30; ++i)
    {
        const auto status = world.try_key(vm_name(i % 3), "key-of-c0");
        CHECK(status == unauthorized || status == unavailable);
        world.run(50ms);
    }
    world.m_caller_keys["c0"] = "second";
    world.run(10s);
    // Whose the jobs are is known from their rows.
    for (const int job : {1, 2})
    {
        STRCMP_EQUAL("completed", world.state("vm1", job_name(job), "c0").c_str());
        STRCMP_EQUAL("410", world.state("vm1", job_name(job), "c1").c_str());
    }
    check_no_violations(world);
}

TEST(customers, another_customer_finds_no_job_at_the_leader_nor_in_the_store)
{
    cell_world world({.m_customers = 2});
    world.run(3s);
    world.submit("vm0", job_name(1), {{.m_run_time = 30s}}, "c0");
    world.submit("vm1", job_name(2), {{}}, "c0");
    world.run(2s);
    const auto vm = follower(world);
    const auto check = [&](const std::string& state)
    {
        STRCMP_EQUAL(state.c_str(), world.state(vm, job_name(1), "c0").c_str());
        STRCMP_EQUAL("410", world.state(vm, job_name(1), "c1").c_str());
        STRCMP_EQUAL("completed", world.state(vm, job_name(2), "c0").c_str());
        STRCMP_EQUAL("410", world.state(vm, job_name(2), "c1").c_str());
    };
    check("running");
    // Without a leader the rows answer.
    for (int i = 0; i < 3; ++i)
        if (vm_name(i) != vm)
        {
            world.cut(vm, vm_name(i));
        }
    world.run(700ms);
    check("running");
    world.heal();
    world.run(2s);
    world.cancel(vm, job_name(1), "c1");
    world.submit(vm, job_name(1), {{.m_run_time = 30s}}, "c1");
    world.run(1s);
    LONGS_EQUAL(unavailable, world.m_submissions[job_name(1)].m_status);
    check("running");
    world.cancel(vm, job_name(1), "c0");
    world.run(1s);
    check("cancelled");
}

// A VM that woke had accepted a key that was removed ten seconds before.
TEST(customers, a_vm_that_was_frozen_accepts_no_key_that_was_removed_meanwhile)
{
    cell_world world({.m_customers = 1});
    world.run(3s);
    const auto vm = follower(world);
    world.freeze(vm, true);
    world.run(500ms);
    world.m_keys["c0"] = {"second"};
    world.change_config();
    world.run(10s);
    std::vector<int> answers;
    for (int i = 0; i < 50; ++i)
        world.send(vm, {.m_path = "/q/", .m_headers = {{"Authorization", "Bearer key-of-c0"}}},
                   [&](const http_response& response) { answers.push_back(response.m_status); });
    world.run(500ms);
    world.freeze(vm, false);
    world.run(2s);
    LONGS_EQUAL(50, answers.size());
    for (const int status : answers)
        CHECK(status == unauthorized || status == unavailable);
    LONGS_EQUAL(accepted, world.try_key(vm, "second"));
}

// The setting for deployments that prefer refusing calls to accepting a removed key.
TEST(customers, keys_expire_on_a_vm_that_nothing_confirms)
{
    cell_world world({.m_customers = 1, .m_keys_expire = 5s});
    world.run(3s);
    LONGS_EQUAL(accepted, status_everywhere(world, "key-of-c0"));
    const auto vm = follower(world);
    world.cut_off(vm);
    const auto cut_ms = world.now_ms();
    world.m_keys["c0"] = {"second"};
    world.change_config();
    int last_status = 0;
    while (world.now_ms() < cut_ms + 20000)
    {
        http_response response;
        world.send(vm,
                   {.m_method = "POST",
                    .m_path = "/q/" + job_name(1),
                    .m_headers = {{"Authorization", "Bearer second"}},
                    .m_body = R"({"steps":[{}]})"},
                   [&](const http_response& received) { response = received; });
        world.run(100ms);
        last_status = response.m_status;
        if (world.now_ms() <= cut_ms + 2000)
            LONGS_EQUAL(unauthorized, last_status); // not expired yet, and not heard of
        if (world.now_ms() > cut_ms + 5200)
        {
            LONGS_EQUAL(unavailable, last_status);
            STRCMP_EQUAL("1", std::string(response.header("Retry-After")).c_str());
        }
    }
    // Calls that need no key are served as before.
    int open_status = 0;
    world.send(vm, {.m_path = "/open/nothing"},
               [&](const http_response& response) { open_status = response.m_status; });
    world.run(100ms);
    LONGS_EQUAL(410, open_status);
    world.heal();
    world.run(apply_bound);
    LONGS_EQUAL(accepted, status_everywhere(world, "second"));
}

TEST(customers, keys_do_not_expire_on_a_vm_that_peers_confirm)
{
    cell_world world({.m_vms = 5, .m_customers = 1, .m_keys_expire = 5s});
    world.run(3s);
    const auto vm = follower(world);
    world.cut(vm, "store");
    for (int i = 0; i < 40; ++i)
    {
        world.run(500ms);
        LONGS_EQUAL(accepted, world.try_key(vm, "key-of-c0"));
    }
    // Nor if the leader isn't among them.
    world.cut(vm, world.leader());
    for (int i = 0; i < 40; ++i)
    {
        world.run(500ms);
        CHECK(world.try_key(vm, "never-issued") == unauthorized);
    }
}

// Such a VM has never read the members from the store; only leaders call it.
TEST(customers, keys_do_not_expire_on_a_restarted_vm_whose_leader_confirms)
{
    cell_world world({.m_vms = 4, .m_customers = 1, .m_keys_expire = 5s});
    world.run(3s);
    const auto vm = follower(world);
    world.cut(vm, "store");
    world.cut_power(vm);
    world.run(1s);
    world.start(vm);
    world.run(apply_bound);
    LONGS_EQUAL(accepted, world.try_key(vm, "key-of-c0"));
    world.cut_power(world.leader());
    for (int i = 0; i < 20; ++i)
    {
        world.run(500ms);
        CHECK(world.try_key(vm, "never-issued") == unauthorized);
    }
}

// No new version can be acknowledged meanwhile, but a VM can't tell that from being cut off.
TEST(customers, keys_expire_everywhere_while_the_store_is_down)
{
    cell_world world({.m_customers = 1, .m_keys_expire = 5s});
    world.run(3s);
    world.rows().m_faults.m_down = true;
    world.run(6s);
    LONGS_EQUAL(unavailable, status_everywhere(world, "key-of-c0"));
    world.rows().m_faults.m_down = false;
    world.run(2s);
    LONGS_EQUAL(accepted, status_everywhere(world, "key-of-c0"));
}

TEST(customers, without_the_setting_keys_last_through_an_outage_of_the_store)
{
    cell_world world({.m_customers = 1});
    world.run(3s);
    world.rows().m_faults.m_down = true;
    world.run(60s);
    LONGS_EQUAL(unauthorized, status_everywhere(world, "never-issued"));
    for (int i = 0; i < 3; ++i)
        CHECK(world.try_key(vm_name(i), "key-of-c0") != unauthorized);
}

TEST(customers, refused_calls_are_counted_by_cause)
{
    cell_world world({.m_vms = 1, .m_customers = 1});
    world.run(3s);
    world.try_key("vm0", "");
    world.try_key("vm0", "never-issued");
    world.try_key("vm0", "never-issued");
    world.try_key("vm0", "key-of-c0");
    const auto text = world.metrics_of("vm0");
    CHECK(text.find("dragonflygap_caller_refusals_total{cause=\"missing\"} 1") !=
          std::string::npos);
    CHECK(text.find("dragonflygap_caller_refusals_total{cause=\"unknown\"} 2") !=
          std::string::npos);
}
