#include "dragonflygap/cli/table.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using dragonflygap::cli::format_table;

TEST_GROUP(table){};

TEST(table, tasks_are_counted_by_state)
{
    const auto jobs = nlohmann::json::parse(
        R"([{"id": "a", "tasks": [{"state": "running"}, {"state": "waiting"}, {"state": "running"}]}])");
    CHECK(format_table(jobs).find("2 running, 1 waiting") != std::string::npos);
}

TEST(table, columns_are_aligned_with_their_headers)
{
    const auto text =
        format_table(nlohmann::json::parse(R"([{"a": "long text", "b": 1}, {"a": "x", "b": 22}])"));
    CHECK(text == "a          b\nlong text  1\nx          22\n");
}

TEST(table, an_empty_list_is_shown_as_none)
{
    CHECK(format_table(nlohmann::json::array()) == "(none)\n");
}
