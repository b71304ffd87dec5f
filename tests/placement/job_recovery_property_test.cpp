#include "placement/support/recovery_cell.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;
using namespace dragonflygap::placement::test;

TEST_GROUP(job_recovery_property){};

TEST(job_recovery_property, a_task_runs_at_most_once_at_a_time_and_no_accepted_job_is_lost)
{
    CHECK(rc::check("one running copy, no accepted job lost",
                    []
                    {
                        cell all(*rc::gen::arbitrary<unsigned>());
                        all.run(5s, false);
                        for (int i = 0; i < 10; ++i)
                        {
                            all.submit(job_kind::batch, 3, 7s);
                            all.submit(job_kind::service, 1, 0s);
                            all.run(12s, true);
                        }
                        all.run(150s, false);
                        RC_ASSERT(all.accepted() > 0);
                        RC_ASSERT(all.unfinished() == 0);
                    }));
}
