#include "dragonflygap/cell/occurrence_timetable.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

job_request every(std::int64_t interval_ms, std::int64_t first_due_ms, int occurrences)
{
    job_request request;
    request.m_occurrences = occurrences;
    request.m_first_due_ms = first_due_ms;
    request.m_interval_ms = interval_ms;
    return request;
}

/// Begins all that is due, and returns it.
std::vector<occurrence_key> begin_due(occurrence_timetable& timetable, std::int64_t unix_ms)
{
    std::vector<occurrence_key> begun;
    timetable.begin_due(unix_ms,
                        [&begun](const occurrence_key& due)
                        {
                            begun.push_back(due);
                            return due.m_occurrence + 1;
                        });
    return begun;
}

} // namespace

TEST_GROUP(occurrence_timetable){};

TEST(occurrence_timetable, returns_each_occurrence_once_when_it_is_due)
{
    occurrence_timetable timetable;
    timetable.add(job_id("a"), every(100, 1000, 3));
    CHECK_TRUE(begin_due(timetable, 999).empty());
    CHECK(begin_due(timetable, 1000) == std::vector<occurrence_key>({{job_id("a"), 0}}));
    CHECK_TRUE(begin_due(timetable, 1000).empty());
    CHECK_TRUE(begin_due(timetable, 500).empty());
    CHECK(begin_due(timetable, 1250) ==
          std::vector<occurrence_key>({{job_id("a"), 1}, {job_id("a"), 2}}));
    CHECK_TRUE(timetable.empty());
}

TEST(occurrence_timetable, merges_jobs_in_the_order_of_their_times)
{
    occurrence_timetable timetable;
    timetable.add(job_id("a"), every(100, 1000, 2));
    timetable.add(job_id("b"), every(100, 1050, 2));
    CHECK(begin_due(timetable, 1120) ==
          std::vector<occurrence_key>({{job_id("a"), 0}, {job_id("b"), 0}, {job_id("a"), 1}}));
}

TEST(occurrence_timetable, ignores_jobs_without_a_schedule)
{
    occurrence_timetable timetable;
    timetable.add(job_id("a"), {});
    CHECK_TRUE(timetable.empty());
}
