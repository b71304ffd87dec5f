#include <map>
#include <set>
#include <string>
#include <vector>

#include <rapidcheck.h>

#include "dragonflygap/placement/gang_holds.hpp"
#include "dragonflygap/placement/gang_reservation.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;

namespace
{

constexpr resources capacity{.m_millicores = 4000, .m_memory_mb = 4000};

job_spec make_gang(const std::string& name)
{
    return {.m_id = job_id(name),
            .m_name = name,
            .m_kind = job_kind::gang,
            .m_size = {.m_millicores = 2000, .m_memory_mb = 10}};
}

worker_id worker_name(int number)
{
    return worker_id("w" + std::to_string(number));
}

void add_workers(engine& placements, int count)
{
    for (int i = 0; i < count; ++i)
        placements.set_worker({.m_id = worker_name(i), .m_capacity = capacity});
}

resources committed(const engine& placements, int workers)
{
    resources sum;
    for (int i = 0; i < workers; ++i)
        sum += placements.committed(worker_name(i));
    return sum;
}

} // namespace

TEST_GROUP(gang_holds)
{
    engine m_engine;
    gang_hold_table m_holds;
    instant m_now{1000s};

    void setup() override
    {
        add_workers(m_engine, 2);
    }
};

TEST(gang_holds, held_capacity_is_not_committed_and_other_jobs_do_not_get_it)
{
    CHECK(m_holds.hold(make_gang("g1"), 4, m_now + 10s, m_engine));
    CHECK(committed(m_engine, 2) == resources{});
    CHECK(!m_engine.place(make_gang("other")).has_value());
}

TEST(gang_holds, confirming_a_hold_allocates_capacity_for_all_tasks)
{
    m_holds.hold(make_gang("g1"), 4, m_now + 10s, m_engine);
    CHECK_EQUAL(4, m_holds.confirm(job_id("g1"), m_now + 9s, m_engine)->size());
    CHECK_EQUAL(8000, committed(m_engine, 2).m_millicores);
}

TEST(gang_holds, an_expired_hold_releases_its_capacity_and_is_not_confirmed)
{
    m_holds.hold(make_gang("g1"), 4, m_now + 10s, m_engine);
    CHECK(!m_holds.confirm(job_id("g1"), m_now + 10s, m_engine).has_value());
    CHECK(m_engine.place_all(make_gang("other"), 4).has_value());
}

TEST(gang_holds, a_gang_with_a_hold_on_a_leaving_worker_gets_no_capacity_at_all)
{
    m_holds.hold(make_gang("g1"), 4, m_now + 10s, m_engine);
    m_engine.set_worker({.m_id = worker_name(1), .m_capacity = capacity, .m_leaving = true});
    CHECK(!m_holds.confirm(job_id("g1"), m_now, m_engine).has_value());
    CHECK(committed(m_engine, 2) == resources{});
    CHECK(m_engine.free(worker_name(0)) == capacity);
}

TEST(gang_holds, a_gang_with_a_lower_id_takes_held_capacity_and_one_with_a_higher_id_does_not)
{
    CHECK(m_holds.hold(make_gang("g2"), 4, m_now + 10s, m_engine));
    CHECK(!m_holds.hold(make_gang("g3"), 1, m_now + 10s, m_engine));
    CHECK(m_holds.hold(make_gang("g1"), 1, m_now + 10s, m_engine));
    CHECK(!m_holds.confirm(job_id("g2"), m_now, m_engine).has_value());
}

TEST(gang_holds, a_gang_keeps_its_hold_if_displacing_it_does_not_help)
{
    m_holds.hold(make_gang("g2"), 2, m_now + 10s, m_engine);
    CHECK(!m_holds.hold(make_gang("g1"), 5, m_now + 10s, m_engine));
    CHECK(!m_engine.place_all(make_gang("other"), 3).has_value());
    CHECK(m_holds.confirm(job_id("g2"), m_now, m_engine).has_value());
}

TEST(gang_holds, no_commit_begins_that_could_outlast_the_holds)
{
    gang_round round({.m_hold_duration = 10s, .m_commit_timeout = 6s}, m_now);
    const std::vector<gang_offer> offers{{vm_id("a"), 2}, {vm_id("b"), 3}};
    CHECK_EQUAL(2, round.begin(4, offers).size());
    CHECK(round.record_answer(vm_id("a"), true, m_now + 1s) == gang_decision::wait);
    CHECK(round.record_answer(vm_id("b"), true, m_now + 3s) == gang_decision::confirm);
    CHECK(round.check(m_now + 4s) == gang_decision::release);
}

TEST(gang_holds, of_two_gangs_competing_at_two_owners_one_always_proceeds)
{
    CHECK(rc::check(
        "the gang with the lowest id makes progress",
        [this]
        {
            struct gang_owner
            {
                engine m_placements;
                gang_hold_table m_holds;
            };
            std::map<int, gang_owner> owners;
            for (int i = 0; i < 2; ++i)
                add_workers(owners[i].m_placements, 2);
            // Each gang needs 3 of the 4 task slots of each owner.
            std::map<std::string, std::set<int>> held;
            const auto ask = [&](const std::string& gang, int at)
            {
                auto& owner = owners[at];
                if (owner.m_holds.hold(make_gang(gang), 3, m_now + 10s, owner.m_placements))
                    held[gang].insert(at);
            };
            std::vector<std::pair<std::string, int>> asks{
                {"g1", 0}, {"g1", 1}, {"g2", 0}, {"g2", 1}};
            while (!asks.empty())
            {
                const auto at = *rc::gen::inRange(0, static_cast<int>(asks.size()));
                ask(asks[static_cast<std::size_t>(at)].first,
                    asks[static_cast<std::size_t>(at)].second);
                asks.erase(asks.begin() + at);
            }
            RC_ASSERT(held["g1"].size() == 2U);
            for (auto& [number, each] : owners)
            {
                RC_ASSERT(each.m_holds.confirm(job_id("g1"), m_now, each.m_placements).has_value());
                RC_ASSERT(
                    !each.m_holds.confirm(job_id("g2"), m_now, each.m_placements).has_value());
            }
        }));
}

TEST_GROUP(gang_reservation)
{
    engine m_engine;
    gang_reservation m_reservation{{.m_reservation_delay = 10s, .m_widen_interval = 30s}};
    std::vector<drainable_worker> m_workers;
    instant m_now{1000s};
    job_spec m_small{.m_id = job_id("s"), .m_name = "s", .m_size = {1000, 10, 0}};

    void setup() override
    {
        add_workers(m_engine, 3);
        for (int i = 0; i < 3; ++i)
            m_workers.push_back({worker_name(i), capacity, {}});
    }

    void wait(const std::string& gang, int count)
    {
        m_reservation.record_waiting(make_gang(gang), count, m_engine, m_workers, m_now);
    }

    int small_tasks_that_fit()
    {
        int count = 0;
        while (m_engine.place(m_small).has_value())
            ++count;
        return count;
    }
};

TEST(gang_reservation, small_tasks_go_first_only_until_the_reservation_delay_is_over)
{
    wait("g1", 4);
    m_now += 10s;
    wait("g1", 4);
    CHECK_EQUAL(4, small_tasks_that_fit());
    m_reservation.record_end(job_id("g1"), m_engine);
    CHECK_EQUAL(8, small_tasks_that_fit());
}

TEST(gang_reservation, the_longest_waiting_gang_goes_first_and_alone)
{
    wait("g2", 2);
    wait("g1", 2);
    m_now += 10s;
    wait("g1", 2);
    CHECK(!m_reservation.holder().has_value());
    wait("g2", 2);
    wait("g1", 2);
    CHECK(m_reservation.holder() == job_id("g2"));
}

TEST(gang_reservation, a_gang_that_still_waits_gets_more_workers)
{
    m_workers[1].m_pinned = {3000, 0, 0};
    wait("g1", 2);
    m_now += 10s;
    wait("g1", 2);
    m_now += 30s;
    wait("g1", 2);
    CHECK_EQUAL(4, small_tasks_that_fit());
}
