#include "dragonflygap/placement/job_manager.hpp"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;

TEST_GROUP(job_manager)
{
    job_manager m_manager{{}};
    instant m_now{1000s};

    void setup() override
    {
        std::vector<owned_worker> workers;
        for (const auto* name : {"w1", "w2"})
            workers.push_back({{.m_id = worker_id(name),
                                .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000}},
                               1});
        m_manager.handle(workers_owned{workers}, m_now);
    }

    auto submit(job_kind kind, int count, std::int64_t millicores)
    {
        return m_manager.handle(
            job_accepted{make_job({.m_id = job_id("j"),
                                   .m_kind = kind,
                                   .m_count = count,
                                   .m_size = {.m_millicores = millicores, .m_memory_mb = 10}})},
            m_now);
    }
};

TEST(job_manager, a_gang_that_fits_only_in_part_starts_no_task)
{
    CHECK(submit(job_kind::gang, 3, 3000).empty());
}

TEST(job_manager, batch_tasks_start_as_far_as_there_is_room)
{
    CHECK_EQUAL(2, submit(job_kind::batch, 3, 3000).size());
}

TEST(job_manager, the_tasks_of_a_service_go_to_different_workers)
{
    const auto actions = submit(job_kind::service, 2, 1000);
    CHECK_EQUAL(2, actions.size());
    CHECK(std::get<start_on_worker>(actions[0]).m_worker.m_info.m_id !=
          std::get<start_on_worker>(actions[1]).m_worker.m_info.m_id);
}
