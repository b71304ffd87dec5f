#include "dragonflygap/placement/engine.hpp"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;

namespace
{

placement_worker make_worker(int number)
{
    return {.m_id = worker_id("w" + std::to_string(number)),
            .m_data_centre = data_centre_id("dc" + std::to_string(number % 2)),
            .m_rack = rack_id("r" + std::to_string(number % 5)),
            .m_capacity = {.m_millicores = 8000,
                           .m_memory_mb = 8000,
                           .m_accelerators = number % 4 == 0 ? 2 : 0}};
}

job_spec make_spec(std::string name, std::int64_t millicores)
{
    return {.m_id = job_id(name),
            .m_name = name,
            .m_team = team_id("looms"),
            .m_size = {.m_millicores = millicores, .m_memory_mb = 100}};
}

struct task
{
    job_spec m_spec;
    worker_id m_worker;
};

/// Reference model: a list of tasks from which everything is computed by a full scan.
struct naive_model
{
    std::map<worker_id, placement_worker> m_workers;
    std::vector<task> m_tasks;
    std::map<team_id, resources> m_quotas;

    template <class Predicate>
    resources sum(Predicate wanted) const
    {
        resources total;
        for (const auto& each : m_tasks)
            if (wanted(each))
                total += each.m_spec.m_size;
        return total;
    }

    resources on(const worker_id& worker) const
    {
        return sum([&](const task& each) { return each.m_worker == worker; });
    }

    resources of(const team_id& team) const
    {
        return sum([&](const task& each) { return each.m_spec.m_team == team; });
    }

    bool satisfies_anti_affinity(const job_spec& spec, const worker_id& worker) const
    {
        const auto conflicts = [&](const task& each)
        {
            return each.m_worker == worker && (each.m_spec.m_name == spec.m_rules.m_apart_from ||
                                               each.m_spec.m_rules.m_apart_from == spec.m_name);
        };
        return std::ranges::none_of(m_tasks, conflicts);
    }

    bool fits(const job_spec& spec, const placement_worker& worker) const
    {
        const auto& rules = spec.m_rules;
        return !worker.m_leaving &&
               (rules.m_data_centre.empty() || rules.m_data_centre == worker.m_data_centre) &&
               (on(worker.m_id) + spec.m_size).fits_in(worker.m_capacity) &&
               satisfies_anti_affinity(spec, worker.m_id);
    }

    placement_cost cost_of(const job_spec& spec, const placement_worker& worker) const
    {
        domain_counts counts;
        bool near = spec.m_rules.m_near.empty();
        for (const auto& each : m_tasks)
        {
            const auto& other = m_workers.at(each.m_worker);
            near =
                near || (each.m_worker == worker.m_id && each.m_spec.m_name == spec.m_rules.m_near);
            if (each.m_spec.m_id != spec.m_id)
                continue;
            counts.m_in_worker += other.m_id == worker.m_id;
            counts.m_in_rack += other.m_rack == worker.m_rack;
            counts.m_in_data_centre += other.m_data_centre == worker.m_data_centre;
        }
        return {(near ? 0 : std::int64_t{1} << 60) + spread_penalty(effective_spread(spec), counts),
                packing_waste(spec.m_size, worker.m_capacity - on(worker.m_id),
                              invert(worker.m_capacity))};
    }

    bool within_quota(const job_spec& spec) const
    {
        const auto quota = m_quotas.find(spec.m_team);
        return quota == m_quotas.end() || (of(spec.m_team) + spec.m_size).fits_in(quota->second);
    }

    /// True if no worker has a lower cost; if none was chosen, true if none is possible.
    bool is_best(const job_spec& spec, const std::optional<worker_id>& chosen) const
    {
        const bool quota_allows = within_quota(spec);
        if (chosen && (!quota_allows || !fits(spec, m_workers.at(*chosen))))
            return false;
        return std::ranges::none_of(m_workers,
                                    [&](const auto& entry)
                                    {
                                        if (!quota_allows || !fits(spec, entry.second))
                                            return false;
                                        return !chosen || cost_of(spec, entry.second) <
                                                              cost_of(spec, m_workers.at(*chosen));
                                    });
    }
};

job_spec random_spec()
{
    const auto random_below = [](int end) { return *rc::gen::inRange(0, end); };
    static const std::array<std::string, 4> names{"a", "b", "c", "d"};
    auto spec =
        make_spec(names[static_cast<std::size_t>(random_below(4))], 500 * (1 + random_below(8)));
    spec.m_kind = static_cast<job_kind>(random_below(3));
    spec.m_team = team_id(random_below(2) == 0 ? "looms" : "willow");
    spec.m_size.m_memory_mb = 500 * (1 + random_below(8));
    spec.m_size.m_accelerators = random_below(6) == 0 ? 1 : 0;
    spec.m_rules.m_spread = static_cast<spread_rule>(random_below(4));
    if (random_below(5) == 0)
        spec.m_rules.m_data_centre = data_centre_id("dc1");
    if (random_below(4) == 0)
        spec.m_rules.m_near = "b";
    if (random_below(4) == 0 && spec.m_name != "c")
        spec.m_rules.m_apart_from = "c";
    return spec;
}

/// Applies each operation to the engine and to the model, and compares them.
struct engine_and_model
{
    engine m_engine;
    naive_model m_model;

    void set_worker(placement_worker worker)
    {
        m_engine.set_worker(worker);
        m_model.m_workers[worker.m_id] = worker;
    }

    void remove_worker(const worker_id& worker)
    {
        m_engine.remove_worker(worker);
        m_model.m_workers.erase(worker);
        std::erase_if(m_model.m_tasks, [&](const task& each) { return each.m_worker == worker; });
    }

    void place(const job_spec& spec)
    {
        const auto worker = m_engine.place(spec);
        RC_ASSERT(m_model.is_best(spec, worker));
        if (worker)
            m_model.m_tasks.push_back({spec, *worker});
    }

    void place_all(const job_spec& spec, int count)
    {
        const auto workers = m_engine.place_all(spec, count);
        RC_ASSERT(!workers || workers->size() == static_cast<std::size_t>(count));
        for (std::size_t i = 0; workers && i < workers->size(); ++i)
            m_model.m_tasks.push_back({spec, (*workers)[i]});
    }

    void release(std::size_t which)
    {
        const auto ended = m_model.m_tasks[which];
        m_engine.release(ended.m_spec, ended.m_worker);
        m_model.m_tasks.erase(m_model.m_tasks.begin() + static_cast<std::ptrdiff_t>(which));
    }

    void compare() const
    {
        for (const auto& [id, worker] : m_model.m_workers)
        {
            RC_ASSERT(m_engine.committed(id) == m_model.on(id));
            RC_ASSERT(m_engine.committed(id).fits_in(worker.m_capacity));
        }
        for (const auto& [team, quota] : m_model.m_quotas)
        {
            RC_ASSERT(m_engine.committed(team) == m_model.of(team));
            RC_ASSERT(m_engine.committed(team).fits_in(quota));
        }
    }

    void step()
    {
        const auto number = *rc::gen::inRange(0, 40);
        const auto operation = *rc::gen::inRange(0, 20);
        if (operation < 11)
            place(random_spec());
        else if (operation < 13)
            place_all(random_spec(), 1 + number % 6);
        else if (operation < 17 && !m_model.m_tasks.empty())
            release(static_cast<std::size_t>(number) % m_model.m_tasks.size());
        else if (operation == 17)
            remove_worker(make_worker(number).m_id);
        else
        {
            auto worker = make_worker(number);
            worker.m_leaving = operation == 18 && number % 3 == 0;
            set_worker(worker);
        }
    }
};

} // namespace

TEST_GROUP(engine)
{
    engine m_engine;

    void add_workers(int count)
    {
        for (int i = 0; i < count; ++i)
            m_engine.set_worker(make_worker(i));
    }
};

TEST(engine, random_operations_agree_with_a_model_that_scans_all_tasks)
{
    CHECK(rc::check("engine equals model",
                    []
                    {
                        engine_and_model both;
                        both.m_model.m_quotas[team_id("looms")] = {20000, 20000, 1};
                        both.m_engine.set_quota(team_id("looms"), resources{20000, 20000, 1});
                        // More than one block of the index.
                        for (int i = 0; i < 40; i += 1 + i % 2)
                            both.set_worker(make_worker(i));
                        const auto steps = *rc::gen::inRange(1, 80);
                        for (int i = 0; i < steps; ++i)
                        {
                            both.step();
                            both.compare();
                        }
                    }));
}

TEST(engine, anti_affinity_holds_whichever_job_is_placed_first)
{
    add_workers(1);
    auto careful = make_spec("careful", 100);
    careful.m_rules.m_apart_from = "noisy";
    CHECK(m_engine.place(careful).has_value());
    CHECK(!m_engine.place(make_spec("noisy", 100)));
}

TEST(engine, releasing_an_unknown_task_releases_nothing)
{
    add_workers(1);
    m_engine.release(make_spec("unknown", 100), worker_id("w0"));
    CHECK(m_engine.committed(worker_id("w0")) == resources{});
}

TEST(engine, a_reserved_worker_accepts_only_tasks_of_its_job_and_urgent_tasks)
{
    add_workers(1);
    m_engine.reserve(job_id("gang"), std::vector{worker_id("w0")});
    CHECK(!m_engine.place(make_spec("small", 100)));
    CHECK(m_engine.place(make_spec("gang", 100)).has_value());
    auto urgent = make_spec("urgent", 100);
    urgent.m_urgent = true;
    CHECK(m_engine.place(urgent).has_value());
    m_engine.cancel_reservation();
    CHECK(m_engine.place(make_spec("small", 100)).has_value());
}

TEST(engine, new_tasks_get_no_capacity_that_others_use_beyond_their_size)
{
    add_workers(1);
    m_engine.set_overuse(worker_id("w0"), {.m_millicores = 7950});
    CHECK(!m_engine.place(make_spec("small", 100)));
    CHECK(m_engine.place(make_spec("tiny", 50)).has_value());
}
