#include "dragonflygap/cli/log_commands.hpp"

#include <sstream>

#include <CppUTest/TestHarness.h>

using dragonflygap::cli::explain_lines;

TEST_GROUP(log_commands){};

TEST(log_commands, lines_of_several_vms_are_sorted_by_time)
{
    std::istringstream logs(
        "time=2026-01-01T00:00:02.5 level=I vm=b event=tasks_started job=00a1 step=0\n"
        "time=2026-01-01T00:00:01.5 level=I vm=a event=call_answered kind=submit job=00a1\n"
        "time=2026-01-01T00:00:02.0 level=I vm=a event=call_answered kind=submit job=00a12\n"
        "time=2026-01-01T00:00:03.0 level=I vm=b event=task_ended task=00a1.0.0.3 how=failed\n"
        "a line without fields\n");
    const auto lines = explain_lines(logs, "00a1");
    LONGS_EQUAL(3, lines.size());
    CHECK_TRUE(lines[0].find("call_answered") != std::string::npos);
    CHECK_TRUE(lines[1].find("tasks_started") != std::string::npos);
    CHECK_TRUE(lines[2].find("task_ended") != std::string::npos);
}

TEST(log_commands, an_id_that_no_log_line_contains_yields_no_lines)
{
    std::istringstream logs("time=1 event=started job=00b2\n");
    LONGS_EQUAL(0, explain_lines(logs, "00a1").size());
}
