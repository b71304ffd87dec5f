#include "dragonflygap/cli/log_commands.hpp"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "dragonflygap/cli/commands.hpp"

namespace dragonflygap::cli
{

namespace
{

/// Value of a key in a line of key=value pairs; empty if it is missing.
std::string value_of(const std::string& line, const std::string& key)
{
    const auto prefix = key + "=";
    auto at = line.find(prefix);
    while (at != std::string::npos && at > 0 && line[at - 1] != ' ')
        at = line.find(prefix, at + 1);
    if (at == std::string::npos)
        return {};
    const auto start = at + prefix.size();
    return line.substr(start, line.find(' ', start) - start);
}

bool mentions_job(const std::string& line, const std::string& id)
{
    return value_of(line, "job") == id || value_of(line, "task").starts_with(id + ".");
}

} // namespace

std::vector<std::string> explain_lines(std::istream& logs, const std::string& id)
{
    std::vector<std::pair<std::string, std::string>> found;
    for (std::string line; std::getline(logs, line);)
        if (mentions_job(line, id))
            found.emplace_back(value_of(line, "time"), line);
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::vector<std::string> result;
    result.reserve(found.size());
    for (auto& [time, line] : found)
        result.push_back(std::move(line));
    return result;
}

int logs_command(std::span<const std::string> arguments)
{
    if (arguments.size() < 3 || arguments[1] != "explain")
    {
        std::cerr << "dragonflygap: logs explain ID [FILE...]; see --help\n";
        return exit_usage;
    }
    std::stringstream text;
    if (arguments.size() == 3)
        text << std::cin.rdbuf();
    for (const auto& path : arguments.subspan(3))
    {
        std::ifstream file(path);
        if (!file)
        {
            std::cerr << "dragonflygap: can't read " << path << "\n";
            return exit_usage;
        }
        text << file.rdbuf();
    }
    const auto lines = explain_lines(text, arguments[2]);
    if (lines.empty())
    {
        std::cerr << "dragonflygap: no log line mentions " << arguments[2] << "\n";
        return exit_failed;
    }
    for (const auto& line : lines)
        std::cout << line << "\n";
    return exit_ok;
}

} // namespace dragonflygap::cli
