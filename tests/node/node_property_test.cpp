#include <string>

#include <rapidcheck.h>

#include "node/support/cell_world.hpp"
#include "node/support/key_checker.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

std::string job_name(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

std::string random_vm()
{
    return "vm" + std::to_string(*rc::gen::inRange(0, 3));
}

task_spec random_task_spec()
{
    task_spec spec{.m_cpu = *rc::gen::inRange<std::int64_t>(200, 7000),
                   .m_run_time = std::chrono::milliseconds(*rc::gen::inRange(50, 3000))};
    spec.m_gang = *rc::gen::inRange(0, 3) == 0;
    spec.m_gang_size = *rc::gen::inRange(1, 5);
    return spec;
}

/// Lets the world run, and tries keys meanwhile.
void run_and_try(cell_world& world, key_checker& keys, duration length)
{
    constexpr duration step = 100ms;
    for (; length > step; length -= step)
    {
        world.run(step);
        keys.sample();
    }
    world.run(length);
}

void inject_fault(cell_world& world, key_checker& keys, int& crash_count)
{
    const auto vm = random_vm();
    switch (*rc::gen::inRange(0, 13))
    {
    case 0:
        world.kill(vm);
        run_and_try(world, keys, std::chrono::milliseconds(*rc::gen::inRange(1, 3000)));
        world.start(vm);
        break;
    case 1:
        if (world.find(vm) != nullptr)
        {
            world.freeze(vm, true);
            run_and_try(world, keys, std::chrono::milliseconds(*rc::gen::inRange(100, 5000)));
            world.freeze(vm, false);
        }
        break;
    case 2:
        world.cut(vm, "store");
        break;
    case 3:
        world.cut(vm, random_vm());
        break;
    case 4:
        world.cut(vm, cell_world::address_of(*rc::gen::inRange(0, 4)));
        break;
    case 5:
    {
        const int number = *rc::gen::inRange(0, 4);
        world.at(number).crash("w" + std::to_string(number) + "." + std::to_string(++crash_count));
        break;
    }
    case 6:
        world.rows().m_faults.m_down = !world.rows().m_faults.m_down;
        break;
    case 7:
        world.rows().m_faults.m_delayed_write_rate =
            world.rows().m_faults.m_delayed_write_rate > 0 ? 0 : 0.2;
        break;
    case 8:
        world.rows().m_faults.m_lost_reply_rate =
            world.rows().m_faults.m_lost_reply_rate > 0 ? 0 : 0.3;
        break;
    case 9:
        world.at(*rc::gen::inRange(0, 4)).m_faults.m_hangs = true;
        break;
    case 10:
        if (world.find(vm) != nullptr)
            world.slow_down(vm, std::chrono::milliseconds(*rc::gen::inRange(1, 200)));
        break;
    case 11:
        // A new version may then reach the VM only over another one that it still hears.
        world.cut(vm, "store");
        world.cut(vm, random_vm());
        keys.change();
        run_and_try(world, keys, 5s);
        break;
    default:
        world.at(*rc::gen::inRange(0, 4)).m_faults.m_unanswered_order_rate = 0.1;
        break;
    }
}

void settle(cell_world& world, key_checker& keys)
{
    world.heal();
    world.rows().m_faults = {};
    for (int i = 0; i < 4; ++i)
        world.at(i).m_faults = {};
    for (const auto* vm : {"vm0", "vm1", "vm2"})
        if (world.find(vm) == nullptr)
            world.start(vm);
        else
            world.slow_down(vm, {});
    keys.change();
    run_and_try(world, keys, 60s);
}

} // namespace

TEST_GROUP(node_property){};

// Under random faults, no task runs twice at a time or again after its end was stored, no worker is
// overcommitted, steps run in order, rejected jobs don't run, and accepted jobs complete. Keys that
// are added and removed meanwhile are in force in time.
TEST(node_property, invariants_hold_under_random_faults)
{
    const bool passed = rc::check(
        "invariants_hold_under_random_faults",
        []
        {
            constexpr int customers = 2;
            const auto seed = *rc::gen::arbitrary<unsigned>();
            cell_world world({.m_seed = seed, .m_customers = customers});
            key_checker keys(world, seed);
            world.run(3s);
            int crash_count = 0;
            const int round_count = *rc::gen::inRange(1, 12);
            int jobs = 0;
            for (int round_number = 0; round_number < round_count; ++round_number)
            {
                const int job_count = *rc::gen::inRange(1, 8);
                for (int i = 0; i < job_count; ++i)
                {
                    std::vector<task_spec> steps{random_task_spec()};
                    if (*rc::gen::arbitrary<bool>())
                    {
                        steps.push_back(random_task_spec());
                        steps.back().m_depends_on = {0};
                    }
                    ++jobs;
                    world.submit(random_vm(), job_name(jobs), steps,
                                 "c" + std::to_string(jobs % customers));
                }
                run_and_try(world, keys, std::chrono::milliseconds(*rc::gen::inRange(1, 2000)));
                inject_fault(world, keys, crash_count);
                if (*rc::gen::inRange(0, 3) == 0)
                    keys.change();
                if (*rc::gen::inRange(0, 3) == 0)
                    world.heal();
            }
            settle(world, keys);
            for (const auto& text : world.m_checker.m_violations)
                RC_FAIL(text);
            for (const auto& text : keys.m_violations)
                RC_FAIL(text);
            for (const auto& task : world.accepted_not_done())
                RC_FAIL(
                    "task " + task + " of an accepted job isn't done; the job's state is " +
                    world.state("vm0", task.substr(0, 16),
                                "c" + std::to_string(std::stoi(task.substr(0, 16)) % customers)));
        });
    CHECK_TRUE(passed);
}
