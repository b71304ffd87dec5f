#include <filesystem>
#include <fstream>
#include <iterator>
#include <set>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "dragonflygap/cli/commands.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/history_checker/checker.hpp"
#include "dragonflygap/schemas.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

const std::filesystem::path root = DRAGONFLYGAP_ROOT;

std::string read(const std::filesystem::path& file)
{
    std::ifstream stream(root / file);
    CHECK_TEXT(stream.good(), file.c_str());
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Collects the names of all members in a schema, at any depth.
void collect_members(const nlohmann::json& schema, std::set<std::string>& names)
{
    if (schema.contains("properties"))
        for (const auto& [name, member] : schema["properties"].items())
        {
            names.insert(name);
            collect_members(member, names);
        }
    if (schema.contains("items"))
        collect_members(schema["items"], names);
}

void check_page_mentions(const std::string& page, const std::set<std::string>& names)
{
    const auto text = read(page);
    for (const auto& name : names)
        CHECK_TEXT(text.find("`" + name + "`") != std::string::npos,
                   (page + " does not mention " + name).c_str());
}

std::vector<std::filesystem::path> pages()
{
    std::vector<std::filesystem::path> result{root / "README.md"};
    for (const auto& file : std::filesystem::recursive_directory_iterator(root / "docs"))
        if (file.path().extension() == ".md")
            result.push_back(file.path());
    return result;
}

/// Commands after "dragonflygap ", at the start of a line of code or in backquotes.
std::set<std::string> commands_in(const std::string& text)
{
    std::set<std::string> result;
    for (const std::string prefix :
         {"`dragonflygap ", "\n    dragonflygap ", "\n    build/dragonflygap "})
        for (auto at = text.find(prefix); at != std::string::npos; at = text.find(prefix, at + 1))
        {
            const auto start = at + prefix.size();
            const auto command = text.substr(start, text.find_first_of(" `\n", start) - start);
            if (!command.starts_with("-"))
                result.insert(command);
        }
    return result;
}

std::set<std::string> scenario_names()
{
    std::set<std::string> result;
    for (const auto& file : std::filesystem::directory_iterator(root / "tests/scenarios"))
        if (file.path().extension() == ".lua")
            result.insert(file.path().stem().string());
    return result;
}

} // namespace

TEST_GROUP(docs){};

TEST(docs, name_every_member_of_the_settings_the_configuration_and_of_jobs)
{
    std::set<std::string> names;
    for (const auto schema : {schemas::settings, schemas::config, schemas::job})
        collect_members(nlohmann::json::parse(schema), names);
    check_page_mentions("docs/CONFIGURATION.md", names);
}

TEST(docs, name_every_reason_with_its_status)
{
    const auto text = read("docs/API.md");
    for (int value = 0; value <= static_cast<int>(reason::internal); ++value)
    {
        const auto item = static_cast<reason>(value);
        const auto line = "| `" + std::string(to_string(item)) + "` | " +
                          std::to_string(http_status(item)) + " |";
        CHECK_TEXT(text.find(line) != std::string::npos, line.c_str());
    }
}

TEST(docs, use_only_commands_that_exist)
{
    for (const auto& page : pages())
        for (const auto& command : commands_in(read(page)))
            CHECK_TEXT(
                cli::usage().find("\n  " + command + " ") != std::string_view::npos,
                (page.string() + " uses the unknown command dragonflygap " + command).c_str());
}

TEST(docs, name_every_scenario_and_every_rule)
{
    auto names = scenario_names();
    for (const auto& rule : history_checker::rules())
        names.insert(std::string(rule.m_name));
    check_page_mentions("docs/SCENARIOS.md", names);
}

TEST(docs, link_only_to_existing_files)
{
    for (const auto& page : pages())
    {
        const auto text = read(page);
        for (auto at = text.find("]("); at != std::string::npos; at = text.find("](", at + 1))
        {
            const auto link = text.substr(at + 2, text.find_first_of(")#", at) - at - 2);
            if (link.empty() || link.starts_with("http"))
                continue;
            CHECK_TEXT(std::filesystem::exists(page.parent_path() / link),
                       (page.string() + " links to the missing file " + link).c_str());
        }
    }
}

TEST(docs, the_index_links_to_every_page)
{
    const auto index = read("docs/README.md");
    for (const auto& page : pages())
    {
        const auto name = std::filesystem::relative(page, root / "docs").string();
        if (name != "README.md" && name != "../README.md")
            CHECK_TEXT(index.find("(" + name + ")") != std::string::npos, name.c_str());
    }
}
