#include "dragonflygap/cli/config_commands.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <optional>
#include <thread>

#include <nlohmann/json.hpp>

#include "dragonflygap/cli/commands.hpp"
#include "dragonflygap/cli/server_call.hpp"
#include "dragonflygap/cli/table.hpp"
#include "dragonflygap/config/document.hpp"

namespace dragonflygap::cli
{

namespace
{

using argument_span = std::span<const std::string>;

constexpr auto poll_interval = std::chrono::milliseconds(200);
constexpr auto wait_timeout = std::chrono::seconds(30);

struct shown_document
{
    std::uint64_t m_version = 0;
    std::string m_text;
};

int get_json(const command_options& options, const std::string& path, nlohmann::json& body)
{
    const auto answer = call_server(options, {.m_path = path});
    if (!succeeded(answer))
        return report_failure(options, answer);
    body = nlohmann::json::parse(answer->m_body);
    return exit_ok;
}

int get_current(const command_options& options, shown_document& current)
{
    nlohmann::json body;
    const int code = get_json(options, "/v1/config", body);
    if (code == exit_ok)
        current = {body["version"].get<std::uint64_t>(), body["document"].get<std::string>()};
    return code;
}

int get_revision(const command_options& options, const std::string& version, shown_document& shown)
{
    nlohmann::json list;
    if (const int code = get_json(options, "/v1/config/history", list); code != exit_ok)
        return code;
    for (const auto& item : list)
    {
        if (item["version"].dump() != version)
            continue;
        shown = {item["version"].get<std::uint64_t>(), item["document"].get<std::string>()};
        return exit_ok;
    }
    std::cerr << "dragonflygap: version " << version
              << " is not in the history, which holds the latest 64\n";
    return exit_failed;
}

int show(const command_options& options, argument_span arguments)
{
    shown_document shown;
    const int code = arguments.empty() ? get_current(options, shown)
                                       : get_revision(options, arguments.front(), shown);
    if (code != exit_ok)
        return code;
    if (options.m_json)
        std::cout << nlohmann::json{{"version", shown.m_version}, {"document", shown.m_text}}.dump(
                         2)
                  << "\n";
    else
        std::cout << shown.m_text;
    std::cerr << "version " << shown.m_version << "\n";
    return exit_ok;
}

int read_valid_document(const std::string& path, std::string& text)
{
    const auto read = read_file(path);
    if (!read)
    {
        std::cerr << "dragonflygap: " << read.error().m_detail << "\n";
        return exit_usage;
    }
    text = *read;
    const auto parsed = config::parse_document(text);
    if (parsed)
        return exit_ok;
    std::cerr << "dragonflygap: " << path << " has faults:\n" << config::to_string(parsed.error());
    return exit_usage;
}

int check(const command_options& /*options*/, argument_span arguments)
{
    std::string text;
    const int code = read_valid_document(arguments.front(), text);
    if (code == exit_ok)
        std::cout << "valid\n";
    return code;
}

int diff(const command_options& options, argument_span arguments)
{
    std::string text;
    if (const int code = read_valid_document(arguments.front(), text); code != exit_ok)
        return code;
    shown_document current;
    if (const int code = get_current(options, current); code != exit_ok)
        return code;
    const auto old_document = nlohmann::json::parse(current.m_text);
    const auto changes = nlohmann::json::diff(old_document, nlohmann::json::parse(text));
    if (options.m_json)
    {
        std::cout << changes.dump(2) << "\n";
        return exit_ok;
    }
    if (changes.empty())
        std::cout << "no difference from version " << current.m_version << "\n";
    for (const auto& change : changes)
    {
        const nlohmann::json::json_pointer path(change["path"].get<std::string>());
        std::cout << change["op"].get<std::string>() << " " << path.to_string();
        if (old_document.contains(path))
            std::cout << "  was " << old_document[path].dump();
        if (change.contains("value"))
            std::cout << "  becomes " << change["value"].dump();
        std::cout << "\n";
    }
    return exit_ok;
}

bool all_members_have(const command_options& options, std::uint64_t version)
{
    nlohmann::json members;
    if (get_json(options, "/v1/members", members) != exit_ok)
        return false;
    return std::ranges::all_of(members,
                               [version](const nlohmann::json& member)
                               {
                                   return member["status"] != "alive" ||
                                          member["config_version"].get<std::uint64_t>() >= version;
                               });
}

int wait_for_all(const command_options& options, std::uint64_t version)
{
    const auto deadline = std::chrono::steady_clock::now() + wait_timeout;
    while (!all_members_have(options, version))
    {
        if (std::chrono::steady_clock::now() > deadline)
        {
            std::cerr << "dragonflygap: version " << version
                      << " is accepted, but not yet in force on every live entry VM\n";
            return exit_failed;
        }
        std::this_thread::sleep_for(poll_interval);
    }
    std::cout << "version " << version << " is in force on every live entry VM\n";
    return exit_ok;
}

int apply(const command_options& options, argument_span arguments)
{
    std::string text;
    if (const int code = read_valid_document(arguments.front(), text); code != exit_ok)
        return code;
    auto base = options.m_base;
    if (!base)
    {
        shown_document current;
        if (const int code = get_current(options, current); code != exit_ok)
            return code;
        base = current.m_version;
    }
    const auto answer = call_server(options, {.m_method = "PUT",
                                              .m_path = "/v1/config",
                                              .m_query = "expected=" + std::to_string(*base),
                                              .m_body = text});
    if (!succeeded(answer))
        return report_failure(options, answer);
    const auto version = nlohmann::json::parse(answer->m_body)["version"].get<std::uint64_t>();
    std::cout << "version " << version << " accepted\n";
    return options.m_wait ? wait_for_all(options, version) : exit_ok;
}

int history(const command_options& options, argument_span /*arguments*/)
{
    nlohmann::json list;
    if (const int code = get_json(options, "/v1/config/history", list); code != exit_ok)
        return code;
    if (options.m_json)
    {
        std::cout << list.dump(2) << "\n";
        return exit_ok;
    }
    for (auto& item : list)
    {
        item["bytes"] = item["document"].get_ref<const std::string&>().size();
        item.erase("document");
    }
    std::cout << format_table(list);
    return exit_ok;
}

} // namespace

int config_command(const command_options& options, argument_span arguments)
{
    const auto& subcommand = arguments[1];
    const auto rest = arguments.subspan(2);
    if (subcommand == "show" && rest.size() <= 1)
        return show(options, rest);
    if (subcommand == "check" && rest.size() == 1)
        return check(options, rest);
    if (subcommand == "diff" && rest.size() == 1)
        return diff(options, rest);
    if (subcommand == "apply" && rest.size() == 1)
        return apply(options, rest);
    if (subcommand == "history" && rest.empty())
        return history(options, rest);
    std::cerr << "dragonflygap: config show [VERSION] | check FILE | diff FILE | apply FILE | "
                 "history\n";
    return exit_usage;
}

} // namespace dragonflygap::cli
