#include "dragonflygap/cell/worker_index.hpp"

#include <memory>

#include "dragonflygap/cell/room_claims.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const service_id pool("pool");
const resources task{.m_millicores = 1000, .m_memory_mb = 100};

step_key step(const char* job)
{
    return {job_id(job), 0, 0};
}

} // namespace

TEST_GROUP(worker_index)
{
    worker_index m_index;
    room_claims m_claims{m_index};
    std::vector<std::unique_ptr<worker_state>> m_workers;

    worker_state& add(std::int64_t millicores, const service_id& service = pool)
    {
        auto& worker = *m_workers.emplace_back(std::make_unique<worker_state>());
        worker.m_info.m_service = service;
        worker.m_info.m_capacity = {millicores, 4000, 0};
        m_index.add(worker);
        m_index.set_open(worker, true);
        return worker;
    }

    worker_number roomiest() const
    {
        return m_index.open_workers(pool).begin()->second;
    }
};

TEST(worker_index, open_workers_are_ordered_by_room_and_service)
{
    auto& small = add(4000);
    auto& large = add(8000);
    add(16000, service_id("other"));
    LONGS_EQUAL(large.m_number, roomiest());
    LONGS_EQUAL(2, m_index.open_workers(pool).size());
    LONGS_EQUAL(16000, m_index.max_free().m_millicores);
    large.add({job_id("j"), 0, 0, 0}, {.m_run = 1, .m_size = {6000, 0, 0}});
    m_index.update_room(large);
    LONGS_EQUAL(small.m_number, roomiest());
    m_index.set_open(small, false);
    LONGS_EQUAL(large.m_number, roomiest());
    LONGS_EQUAL(2, m_index.open_count());
    large.m_info.m_service = service_id("other");
    m_index.update_room(large);
    LONGS_EQUAL(0, m_index.open_workers(pool).size());
    LONGS_EQUAL(2, m_index.open_workers(service_id("other")).size());
}

TEST(worker_index, a_removed_workers_number_is_used_again)
{
    auto& first = add(4000);
    add(4000);
    const auto number = first.m_number;
    m_index.remove(first);
    CHECK(m_index.find(number) == nullptr);
    LONGS_EQUAL(1, m_index.open_count());
    LONGS_EQUAL(number, add(4000).m_number);
    LONGS_EQUAL(2, m_index.end());
}

TEST(worker_index, changes_and_growth_are_listed_once)
{
    auto& worker = add(4000);
    m_index.take_changed();
    m_index.take_grown();
    m_index.take_grown();
    m_index.mark_changed(worker);
    m_index.mark_changed(worker);
    LONGS_EQUAL(1, m_index.take_changed().size());
    LONGS_EQUAL(0, m_index.take_changed().size());
    m_index.mark_grown(worker);
    LONGS_EQUAL(0, m_index.grown().size()); // It belongs to the next pass.
    m_index.take_grown();
    LONGS_EQUAL(1, m_index.grown().size());
    m_index.take_grown();
    LONGS_EQUAL(0, m_index.grown().size());
}

TEST(worker_index, claims_bind_steps_of_the_same_or_lower_priority)
{
    auto& worker = add(4000);
    m_claims.set(step("a"), {.m_priority = 1, .m_size = task, .m_firm = {{worker.m_number, 2}}});
    LONGS_EQUAL(4000, worker.free_for(0).m_millicores);
    LONGS_EQUAL(2000, worker.free_for(1).m_millicores);
    LONGS_EQUAL(2000, worker.free_for_others().m_millicores);
    CHECK_TRUE(m_claims.any_below(0));
    CHECK_FALSE(m_claims.any_below(1));
    CHECK_TRUE(m_claims.has_firm_claim(step("a"), worker.m_number));
    m_claims.suspend(step("a"));
    LONGS_EQUAL(4000, worker.free_for(1).m_millicores);
    m_claims.resume();
    LONGS_EQUAL(2000, worker.free_for(1).m_millicores);
    m_claims.drop(step("a"));
    LONGS_EQUAL(4000, worker.free_for_others().m_millicores);
    CHECK_FALSE(m_claims.any_below(0));
}

// The step's tasks started, which drops its claim while it is suspended.
TEST(worker_index, a_suspended_claim_is_dropped_once)
{
    auto& worker = add(4000);
    m_claims.set(step("a"), {.m_priority = 1, .m_size = task, .m_firm = {{worker.m_number, 2}}});
    m_claims.suspend(step("a"));
    m_claims.drop(step("a"));
    m_claims.resume();
    LONGS_EQUAL(4000, worker.free_for_others().m_millicores);
    CHECK(worker.m_claims.empty());
}

TEST(worker_index, a_replaced_claim_counts_once_and_tentative_ones_only_in_the_order)
{
    auto& first = add(4000);
    auto& second = add(3500);
    const room_claim claim{.m_priority = 1,
                           .m_size = task,
                           .m_tentative = {{first.m_number, 2}},
                           .m_approval_rate = 0.5};
    m_claims.set(step("a"), claim);
    m_claims.set(step("a"), claim);
    LONGS_EQUAL(4000, first.free_for(1).m_millicores);
    LONGS_EQUAL(3000, first.expected_free_millicores());
    LONGS_EQUAL(second.m_number, roomiest());
    m_claims.drop(step("a"));
    LONGS_EQUAL(first.m_number, roomiest());
}

TEST(worker_index, claims_forget_a_removed_worker)
{
    auto& first = add(4000);
    auto& second = add(4000);
    m_claims.set(step("a"), {.m_priority = 1,
                             .m_size = task,
                             .m_firm = {{first.m_number, 1}},
                             .m_tentative = {{second.m_number, 1}},
                             .m_approval_rate = 1});
    m_claims.forget(first.m_number);
    m_index.remove(first);
    CHECK_FALSE(m_claims.any_below(0));
    auto& other = add(4000);
    LONGS_EQUAL(first.m_number, other.m_number);
    CHECK_FALSE(m_claims.has_firm_claim(step("a"), other.m_number));
    m_claims.drop(step("a"));
    LONGS_EQUAL(4000, other.free_for_others().m_millicores);
    LONGS_EQUAL(4000, second.expected_free_millicores());
}
