#include "dragonflygap/placement/preemption.hpp"

#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;

namespace
{

constexpr resources capacity{.m_millicores = 4000, .m_memory_mb = 4000};

job_spec make_spec(const std::string& name, std::int64_t millicores, bool urgent = false)
{
    return {.m_id = job_id(name),
            .m_name = name,
            .m_urgent = urgent,
            .m_size = {.m_millicores = millicores, .m_memory_mb = 10}};
}

worker_id worker_name(int number)
{
    return worker_id("w" + std::to_string(number));
}

} // namespace

TEST_GROUP(preemption)
{
    engine m_engine;
    preemptor m_preemptor{{}};
    std::vector<victim_candidate> m_running;
    instant m_now{1000s};
    const preemptor::task_key m_task{job_id("urgent"), 0};
    const job_spec m_urgent = make_spec("urgent", 3000, true);

    void setup() override
    {
        for (int i = 0; i < 3; ++i)
            m_engine.set_worker({.m_id = worker_name(i), .m_capacity = capacity});
    }

    void run(const std::string& name, int worker, std::int64_t millicores, duration ran,
             job_kind kind = job_kind::batch)
    {
        auto spec = make_spec(name, millicores);
        m_engine.adopt(spec, worker_name(worker));
        m_running.push_back({.m_task = task_id(name),
                             .m_job = spec.m_id,
                             .m_worker = worker_name(worker),
                             .m_size = spec.m_size,
                             .m_kind = kind,
                             .m_elapsed = ran});
    }

    auto make_plan()
    {
        return m_preemptor.make_plan(m_task, m_urgent, m_engine, m_running, m_now);
    }
};

TEST(preemption, batch_tasks_are_preempted_before_services)
{
    run("service", 0, 4000, 1s, job_kind::service);
    run("batch", 1, 4000, 1000s);
    const auto victims = make_plan();
    CHECK_EQUAL(1, victims.size());
    CHECK(victims[0].m_task == task_id("batch"));
}

TEST(preemption, the_task_that_loses_the_least_work_is_preempted)
{
    run("long", 0, 4000, 1000s);
    run("short", 1, 4000, 10s);
    CHECK(make_plan().at(0).m_task == task_id("short"));
}

TEST(preemption, a_task_that_can_be_checkpointed_loses_little)
{
    run("long", 0, 4000, 1000s);
    m_running[0].m_checkpoints = true;
    run("short", 1, 4000, 10s);
    CHECK(make_plan().at(0).m_task == task_id("long"));
}

TEST(preemption, no_more_tasks_are_stopped_than_needed)
{
    run("small", 0, 1000, 1s);
    run("large", 0, 3000, 2s);
    const auto victims = make_plan();
    CHECK_EQUAL(1, victims.size());
    CHECK(victims[0].m_task == task_id("large"));
}

TEST(preemption, urgent_tasks_are_never_preempted)
{
    run("other", 0, 4000, 1s);
    m_running[0].m_urgent = true;
    CHECK(make_plan().empty());
}

TEST(preemption, the_urgent_task_waits_until_its_victims_have_ended)
{
    run("a", 0, 2000, 1s);
    run("b", 0, 2000, 1s);
    CHECK_EQUAL(2, make_plan().size());
    m_engine.release(make_spec("a", 2000), worker_name(0));
    CHECK(!m_preemptor.try_place(m_task, m_engine).has_value());
    m_engine.release(make_spec("b", 2000), worker_name(0));
    CHECK(m_preemptor.try_place(m_task, m_engine) == worker_name(0));
    CHECK(m_engine.committed(worker_name(0)) == m_urgent.m_size);
}

TEST(preemption, freed_capacity_goes_to_no_other_task)
{
    run("a", 0, 4000, 1s);
    run("b", 1, 4000, 9s);
    run("c", 2, 4000, 9s);
    make_plan();
    m_engine.release(make_spec("a", 4000), worker_name(0));
    CHECK(!m_engine.place(make_spec("thief", 2000)).has_value());
    m_preemptor.cancel(m_task, m_engine);
    CHECK(m_engine.place(make_spec("thief", 2000)).has_value());
}

TEST(preemption, if_a_worker_stays_silent_another_one_is_tried)
{
    run("a", 0, 4000, 1s);
    run("b", 1, 4000, 9s);
    CHECK(make_plan().at(0).m_task == task_id("a"));
    m_now += 1s;
    CHECK(make_plan().empty());
    m_now += 2s;
    CHECK(make_plan().at(0).m_task == task_id("b"));
    m_engine.release(make_spec("b", 4000), worker_name(1));
    CHECK(m_preemptor.try_place(m_task, m_engine) == worker_name(1));
    CHECK(m_engine.free(worker_name(0)).m_millicores == 0);
}

TEST(preemption, capacity_holds_while_victims_end_in_any_order)
{
    CHECK(rc::check("capacity under preemption",
                    [this]
                    {
                        engine placements;
                        preemptor preempting({});
                        std::vector<victim_candidate> running;
                        std::vector<job_spec> specs;
                        for (int i = 0; i < 4; ++i)
                            placements.set_worker({.m_id = worker_name(i), .m_capacity = capacity});
                        for (int i = 0; i < 40; ++i)
                        {
                            auto spec = make_spec(std::to_string(i), 500 * *rc::gen::inRange(1, 5));
                            if (const auto worker = placements.place(spec))
                            {
                                specs.push_back(spec);
                                running.push_back({.m_task = task_id(spec.m_name),
                                                   .m_job = spec.m_id,
                                                   .m_worker = *worker,
                                                   .m_size = spec.m_size,
                                                   .m_elapsed = 1s * *rc::gen::inRange(1, 99)});
                            }
                        }
                        int urgent = 0;
                        auto now = m_now;
                        for (int i = 0; i < 40; ++i)
                        {
                            now += 1s;
                            const preemptor::task_key key{job_id("u" + std::to_string(urgent)), 0};
                            const auto spec = make_spec(key.first.m_value, 3000, true);
                            preempting.make_plan(key, spec, placements, running, now);
                            if (!running.empty() && *rc::gen::inRange(0, 2) == 0)
                            {
                                const auto at = static_cast<std::size_t>(
                                    *rc::gen::inRange(0, static_cast<int>(running.size())));
                                placements.release(specs[at], running[at].m_worker);
                                running.erase(running.begin() + static_cast<std::ptrdiff_t>(at));
                                specs.erase(specs.begin() + static_cast<std::ptrdiff_t>(at));
                            }
                            urgent += preempting.try_place(key, placements).has_value();
                            for (int worker = 0; worker < 4; ++worker)
                                RC_ASSERT(
                                    placements.committed(worker_name(worker)).fits_in(capacity));
                        }
                    }));
}
