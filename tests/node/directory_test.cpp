#include <string>

#include "dragonflygap/node/leader_task.hpp"
#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

constexpr duration config_bound = 2s; // Of the platform's users, from the store's acknowledgement.

bool all_apply(cell_world& world, std::uint64_t version)
{
    for (int i = 0; i < world.options().m_vms; ++i)
    {
        const auto* config = world.find("vm" + std::to_string(i))->config();
        if (config == nullptr || config->m_version < version)
            return false;
    }
    return true;
}

const cell::worker_state* find_worker(cell_world& world, const std::string& id)
{
    const auto& workers = world.find(world.leader())->leading()->state().workers();
    const auto found = workers.find(worker_id(id));
    return found == workers.end() ? nullptr : &found->second;
}

bool is_listed(cell_world& world, const std::string& id)
{
    const auto* worker = find_worker(world, id);
    return worker != nullptr && worker->m_listed;
}

const std::string odd_worker = R"({"service":"looms","address":"10.1.0.1:9000","zone":"a",)"
                               R"("state":"ready","labels":["a","r1"],"capacity":)";

} // namespace

TEST_GROUP(directory){};

// Incident hunt-e5e4-3 of a further site: reads that wait for a change lost their answers.
TEST(directory, a_configuration_is_applied_in_time_although_every_waiting_reads_answer_is_lost)
{
    cell_world world({.m_vms = 3});
    world.run(5s);
    CHECK_TRUE(all_apply(world, 1));
    world.rows().m_faults.m_lost_feed_answers = 3;
    world.set_config(2, world.queue_config(2));
    world.run(config_bound);
    CHECK_TRUE(all_apply(world, 2));
}

// The same for a VM that hears no other one: only its own reads tell it.
TEST(directory, a_vm_without_peers_applies_a_configuration_in_time_although_an_answer_is_lost)
{
    cell_world world({.m_vms = 3});
    world.run(5s);
    const std::string alone = world.leader() == "vm2" ? "vm1" : "vm2";
    for (int i = 0; i < 3; ++i)
        if (const auto other = "vm" + std::to_string(i); other != alone)
            world.cut(alone, other);
    world.run(500ms);
    world.rows().m_faults.m_lost_feed_answers = 3;
    world.set_config(2, world.queue_config(2));
    world.run(config_bound);
    CHECK_TRUE(world.find(alone)->config()->m_version == 2);
}

// Seen on scale-1 of two sites (CONFIG): an operator that writes twice within milliseconds.
TEST(directory, the_last_of_two_configurations_in_one_answer_is_applied)
{
    cell_world world({.m_vms = 3});
    world.run(5s);
    world.set_config(2, world.queue_config(2));
    world.set_config(3, world.queue_config(3));
    world.run(config_bound);
    CHECK_TRUE(all_apply(world, 3));
}

TEST(directory, a_worker_that_is_removed_and_back_in_one_answer_is_listed)
{
    cell_world world({.m_vms = 3});
    world.run(5s);
    const auto entry = world.rows().find("servers", "w0")->m_value;
    world.rows().put("servers", "other", entry);
    world.run(1s);
    CHECK_TRUE(is_listed(world, "other"));
    world.rows().drop("servers", "other");
    world.rows().put("servers", "other", entry);
    world.run(1s);
    CHECK_TRUE(is_listed(world, "other"));
    world.rows().put("servers", "other", entry);
    world.rows().drop("servers", "other");
    world.run(1s);
    CHECK_FALSE(is_listed(world, "other"));
}

TEST(directory, a_quarter_of_lost_answers_delays_no_configuration_beyond_the_bound)
{
    cell_world world({.m_vms = 5, .m_seed = 3});
    world.run(5s);
    world.rows().m_faults.m_lost_read_rate = 0.25;
    for (int version = 2; version < 40; ++version)
    {
        world.set_config(version, world.queue_config(version));
        world.run(config_bound);
        CHECK_TRUE(all_apply(world, static_cast<std::uint64_t>(version)));
    }
}

TEST(directory, a_gap_in_the_history_makes_the_readers_read_all_rows)
{
    cell_world world({.m_vms = 3});
    world.run(5s);
    world.cut("vm0", "store");
    world.cut("vm1", "store");
    world.cut("vm2", "store");
    world.set_config(2, world.queue_config(2));
    world.rows().drop("servers", "w1");
    world.rows().compact();
    world.heal();
    world.at(1).m_faults.m_unreachable = true;
    world.run(5s);
    CHECK_TRUE(all_apply(world, 2));
    CHECK_FALSE(is_listed(world, "w1"));
    CHECK_TRUE(is_listed(world, "w0"));
}

// Of the 350 and more rows, only those that changed are read.
TEST(directory, the_list_of_workers_is_followed_by_its_changes)
{
    cell_world world({.m_vms = 3, .m_workers = 2});
    world.run(5s);
    const auto reads_before = world.rows().m_reads;
    world.run(10s);
    CHECK_TRUE(is_listed(world, "w1"));
    world.at(1).m_faults.m_unreachable = true;
    world.run(1s);
    CHECK_FALSE(is_listed(world, "w1"));
    CHECK(world.rows().m_reads - reads_before < 200);
}

TEST(directory, a_change_of_a_worker_is_seen_in_time_although_the_reads_answers_are_lost)
{
    cell_world world({.m_vms = 1, .m_workers = 2});
    world.run(5s);
    world.rows().m_faults.m_lost_feed_answers = 4;
    world.at(1).m_faults.m_unreachable = true;
    world.run(2s);
    CHECK_FALSE(is_listed(world, "w1"));
}

// Reports of other operators: one odd entry ended the machines that read the list, or they stopped
// following it.
TEST(directory, odd_entries_of_other_writers_neither_end_a_vm_nor_stop_the_list)
{
    constexpr int depth = 20000;
    const std::string odd_entries[] = {
        "",
        "\xff\xfe not text",
        std::string(depth, '['),
        std::string(depth, '[') + std::string(depth, ']'),
        R"({"capacity":)" + std::string(depth, '[') + std::string(depth, ']') + "}",
        odd_worker + R"({"cpu":1e999,"requested_memory_mb":1}})",
        odd_worker + R"({"cpu":1e300,"requested_memory_mb":1}})",
        odd_worker + R"({"cpu":18446744073709551615,"requested_memory_mb":9223372036854775807}})",
        odd_worker + R"({"cpu":-9223372036854775808,"requested_memory_mb":-1}})",
        odd_worker + R"({"cpu":"4000"}})",
        R"({"service":"looms","address":"10.1.0.1:0","state":"ready","capacity":{"cpu":4000}})",
        R"({"service":"looms","address":"10.1.0.1:65536","state":"ready","capacity":{"cpu":1}})",
        R"({"service":"looms","address":"10.1.0.1:-1","state":"ready","capacity":{"cpu":1}})",
        R"({"service":"looms","address":"10.1.0.1:99999999999999999999","state":"ready","capacity":{"cpu":1}})",
        R"({"service":"looms","address":"999.1.0.1:80","state":"ready","capacity":{"cpu":1}})",
        R"({"service":["looms"],"address":{},"state":7,"capacity":[],"labels":"a"})",
        R"({"service":"looms","address":"10.1.0.9:80","state":"ready","capacity":{"cpu":1},)"
        R"("labels":[[["a"]],7,null],"remaining_ms":1e300})",
        R"({"service":")" + std::string(60000, 'x') + R"("})",
    };
    cell_world world({.m_vms = 2, .m_workers = 3});
    world.run(3s);
    int number = 0;
    for (const auto& entry : odd_entries)
    {
        world.rows().put("servers", "odd" + std::to_string(number++), entry);
        world.rows().put("op", "odd" + std::to_string(number), entry);
        world.run(200ms);
    }
    // The list is still followed, also by a leader that reads all of it.
    world.at(1).m_faults.m_unreachable = true;
    world.run(1s);
    CHECK_FALSE(is_listed(world, "w1"));
    CHECK_TRUE(is_listed(world, "w0"));
    world.kill(world.leader());
    world.run(4s);
    CHECK_FALSE(world.leader().empty());
    CHECK_TRUE(is_listed(world, "w0"));
    for (int i = 0; i < number; ++i)
        if (const auto* odd = find_worker(world, "odd" + std::to_string(i)); odd != nullptr)
        {
            CHECK(odd->m_info.m_capacity.m_millicores <= 4000);
            CHECK(odd->m_info.m_address.m_port != 0);
        }
}

// An executor's entry may become unreadable: it names nothing to use any more.
TEST(directory, a_worker_whose_entry_becomes_unreadable_is_unlisted)
{
    cell_world world({.m_vms = 1, .m_workers = 2});
    world.run(5s);
    world.rows().put("servers", "extra", odd_worker + R"({"cpu":4000,"requested_memory_mb":1}})");
    world.run(300ms);
    CHECK_TRUE(is_listed(world, "extra"));
    world.rows().put("servers", "extra", "{");
    world.run(300ms);
    CHECK_FALSE(is_listed(world, "extra"));
}

// Incident DRAIN of serra-la-tear-grown: a leader that falls behind the workers' heartbeats got
// part of the changes in each answer of the feed and took them for all.
TEST(directory, a_leader_that_reads_slowly_starts_nothing_after_a_workers_notice)
{
    constexpr int worker_count = 250;
    cell_world world({.m_workers = worker_count, .m_approvals = false});
    world.run(5s);
    world.slow_down(world.leader(), 35ms);
    int jobs = 0;
    const auto run = [&](duration length)
    {
        for (duration passed{}; passed < length; passed += 100ms)
        {
            for (int i = 0; i < 8; ++i)
            {
                const auto text = std::to_string(++jobs);
                world.submit("vm" + std::to_string(i % 3),
                             std::string(16 - text.size(), '0') + text,
                             {{.m_cpu = 16000, .m_run_time = 2s}});
            }
            world.run(100ms);
        }
    };
    run(20s);
    for (int i = 0; i < worker_count; i += 3)
    {
        world.at(i).m_draining = true;
        run(100ms);
    }
    run(5s);
    for (const auto& text : world.m_checker.m_violations)
        FAIL(text.c_str());
}

// Seen with the review's stand-ins: while no entry changes, each read of the list waits in vain,
// and the list of a leader without any answered order was always too old for a start.
TEST(directory, tasks_start_while_no_entry_of_a_worker_changes)
{
    cell_world world({.m_approvals = false, .m_heartbeats = false});
    world.run(5s);
    world.submit("vm0", "0000000000000001", {{}});
    world.run(1s);
    LONGS_EQUAL(1, world.completed());
    CHECK_TRUE(world.all_accepted_are_done());
}
