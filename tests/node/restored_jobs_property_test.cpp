#include <string>

#include <rapidcheck.h>

#include "node/support/cell_world.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

constexpr int vms = 3;
constexpr int workers = 4;

std::string job_name(int number)
{
    auto text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

std::string vm_name(int number)
{
    return "vm" + std::to_string(number);
}

std::string random_vm()
{
    return vm_name(*rc::gen::inRange(0, vms));
}

int random_worker()
{
    return *rc::gen::inRange(0, workers);
}

/// Faults that change the leader, or part workers from some or all VMs. None of them ends here.
void begin_fault(cell_world& world)
{
    const auto vm = random_vm();
    switch (*rc::gen::inRange(0, 8))
    {
    case 0:
    case 1:
        if (world.find(vm) != nullptr)
            world.freeze(vm, true);
        break;
    case 2:
        world.kill(vm);
        break;
    case 3:
        world.cut(vm, "store");
        break;
    case 4:
        world.at(random_worker()).m_faults.m_unreachable = true;
        break;
    case 5:
        world.at(random_worker()).m_faults.m_unanswered_order_rate = 0.2;
        break;
    case 6:
        world.rows().m_faults.m_lost_reply_rate = 0.2;
        break;
    default:
        world.cut(vm, cell_world::address_of(random_worker()));
        break;
    }
}

void end_faults(cell_world& world)
{
    world.heal();
    world.rows().m_faults = {};
    for (int i = 0; i < workers; ++i)
        world.at(i).m_faults = {};
    for (int i = 0; i < vms; ++i)
        if (world.find(vm_name(i)) == nullptr)
            world.start(vm_name(i));
        else
            world.freeze(vm_name(i), false);
}

/// Wakes or restarts a VM, so that leaders go on changing while workers stay silent.
void revive(cell_world& world, const std::string& vm)
{
    if (world.find(vm) == nullptr)
        world.start(vm);
    else
        world.freeze(vm, false);
}

} // namespace

TEST_GROUP(restored_jobs_property){};

// A leader wakes after many seconds, and reaches a worker that its successors don't.
TEST(restored_jobs_property, no_task_runs_twice_while_leaders_change_beside_silent_workers)
{
    const bool passed =
        rc::check("no_task_runs_twice_while_leaders_change_beside_silent_workers",
                  []
                  {
                      cell_world world({.m_workers = workers,
                                        .m_seed = *rc::gen::arbitrary<unsigned>(),
                                        .m_approvals = false});
                      for (int i = 0; i < workers; ++i)
                          world.at(i).m_clock_rate = *rc::gen::element(0.98, 1.0, 1.02);
                      world.run(3s);
                      const int rounds = *rc::gen::inRange(1, 16);
                      for (int i = 1; i <= rounds; ++i)
                      {
                          const task_spec task{.m_cpu = *rc::gen::inRange<std::int64_t>(500, 5000),
                                               .m_run_time = std::chrono::milliseconds(
                                                   *rc::gen::inRange(100, 15000))};
                          world.submit(random_vm(), job_name(i), {task});
                          world.run(std::chrono::milliseconds(*rc::gen::inRange(1, 500)));
                          begin_fault(world);
                          world.run(std::chrono::milliseconds(*rc::gen::inRange(1, 7000)));
                          revive(world, random_vm());
                          if (*rc::gen::inRange(0, 6) == 0)
                              end_faults(world);
                      }
                      end_faults(world);
                      world.run(60s);
                      for (const auto& text : world.m_checker.m_violations)
                          RC_FAIL(text);
                      for (const auto& task : world.accepted_not_done())
                          RC_FAIL("task " + task + " of an accepted job isn't done");
                  });
    CHECK_TRUE(passed);
}
