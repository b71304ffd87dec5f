#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

#include "dragonflygap/observe/log.hpp"
#include "scenarios/support/script.hpp"

#include <CppUTest/TestHarness.h>

namespace
{

std::vector<std::string> scripts()
{
    std::vector<std::string> result;
    for (const auto& file : std::filesystem::directory_iterator(DRAGONFLYGAP_SCENARIOS))
        if (file.path().extension() == ".lua")
            result.push_back(file.path().string());
    std::ranges::sort(result);
    return result;
}

/// Returns whether KNOWN-RED.txt lists the scenario as failing because of an unfixed fault.
bool is_known_red(const std::string& script)
{
    std::ifstream known(DRAGONFLYGAP_KNOWN_RED);
    const auto name = "scenario " + std::filesystem::path(script).stem().string() + ":";
    for (std::string line; std::getline(known, line);)
        if (line.starts_with(name))
            return true;
    return false;
}

} // namespace

TEST_GROUP(scenarios){
    void setup() override{dragonflygap::start_logging(dragonflygap::log_level::error, "test");
}
}
;

TEST(scenarios, every_story_goes_as_told_and_breaks_no_promise)
{
    std::string failed;
    for (const auto& script : scripts())
    {
        const auto failure = scenarios::run_script(script).m_error;
        if (failure.empty() && is_known_red(script))
            std::cout << "KNOWN-RED passes now, remove its entry: " << script << std::endl;
        if (failure.empty())
            continue;
        if (is_known_red(script))
            std::cout << "KNOWN-RED " << script << ": " << failure << std::endl;
        else
            failed += script + ": " + failure + "\n";
    }
    STRCMP_EQUAL("", failed.c_str());
}

TEST(scenarios, a_scenario_has_the_same_history_every_time)
{
    const std::string script = DRAGONFLYGAP_SCENARIOS "/node_dies.lua";
    const auto history = scenarios::run_script(script).m_history;
    CHECK(!history.empty());
    CHECK(history == scenarios::run_script(script).m_history);
}
