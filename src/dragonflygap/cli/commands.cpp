#include "dragonflygap/cli/commands.hpp"

#include <algorithm>
#include <array>
#include <functional>
#include <iostream>

#include <nlohmann/json.hpp>

#include "dragonflygap/cli/config_commands.hpp"
#include "dragonflygap/cli/log_commands.hpp"
#include "dragonflygap/cli/server_call.hpp"
#include "dragonflygap/cli/table.hpp"

namespace dragonflygap::cli
{

namespace
{

constexpr std::string_view usage_text = R"(Usage: dragonflygap [--server IP:PORT] [--json] COMMAND

  status                 this entry VM: load, ownership, configuration
  members                the other entry VMs
  workers                workers with their owners and free room
  jobs                   jobs that this entry VM coordinates
  job ID                 one job with its tasks
  submit FILE            submit a job
  cancel ID              stop all tasks of a job, wherever they run
  config show [VERSION]  the document in force, or one of the latest 64
  config check FILE      check a document, without a server
  config diff FILE       show what a document would change
  config apply FILE      put a document in force; with --base VERSION only over that version,
                         with --wait ends only when every live entry VM has it
  config history         the latest versions
  drain                  take the entry VM out of service
  logs explain ID [FILE...]
                         show the decisions about one job, from logs of several entry VMs
  schema NAME            JSON Schema of settings, config or job

Examples:
  dragonflygap --server 127.0.0.1:8081 status
  dragonflygap submit examples/service.json
  dragonflygap --json jobs
  cat entry-*.log | dragonflygap logs explain 5c0e7a21d94b36f8
  dragonflygap config apply cell.json --base 12 --wait

Exit codes: 0 done, 1 refused, 2 usage error or invalid file, 3 no answer, 4 another operator
changed the configuration first
)";

using argument_span = std::span<const std::string>;

struct command
{
    std::string_view m_name;
    std::size_t m_min_arguments;
    std::function<int(const command_options&, argument_span)> m_run;
};

int show(const command_options& options, const std::string& path)
{
    const auto answer = call_server(options, {.m_path = path});
    if (!succeeded(answer))
        return report_failure(options, answer);
    const auto body = nlohmann::json::parse(answer->m_body);
    std::cout << (options.m_json ? body.dump(2) + "\n" : format_table(body));
    return exit_ok;
}

int submit(const command_options& options, argument_span arguments)
{
    const auto text = read_file(arguments[1]);
    if (!text)
    {
        std::cerr << "dragonflygap: " << text.error().m_detail << "\n";
        return exit_usage;
    }
    const auto answer =
        call_server(options, {.m_method = "POST", .m_path = "/v1/jobs", .m_body = *text});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << nlohmann::json::parse(answer->m_body)["id"].get<std::string>() << "\n";
    return exit_ok;
}

int cancel(const command_options& options, argument_span arguments)
{
    const auto answer = call_server(
        options, {.m_method = "POST", .m_path = "/v1/jobs/" + arguments[1] + "/cancel"});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << "cancelled " << arguments[1] << "\n";
    return exit_ok;
}

int drain(const command_options& options)
{
    const auto answer = call_server(options, {.m_method = "POST", .m_path = "/v1/drain"});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << "draining\n";
    return exit_ok;
}

int show_schema(const command_options& options, argument_span arguments)
{
    const auto answer = call_server(options, {.m_path = "/v1/schema/" + arguments[1]});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << answer->m_body;
    return exit_ok;
}

const std::array commands{
    command{"status", 0,
            [](const auto& options, argument_span) { return show(options, "/v1/status"); }},
    command{"members", 0,
            [](const auto& options, argument_span) { return show(options, "/v1/members"); }},
    command{"workers", 0,
            [](const auto& options, argument_span) { return show(options, "/v1/workers"); }},
    command{"jobs", 0,
            [](const auto& options, argument_span) { return show(options, "/v1/jobs"); }},
    command{"job", 1,
            [](const auto& options, argument_span arguments)
            { return show(options, "/v1/jobs/" + arguments[1]); }},
    command{"submit", 1, submit},
    command{"cancel", 1, cancel},
    command{"config", 1, config_command},
    command{"logs", 2,
            [](const command_options&, argument_span arguments)
            { return logs_command(arguments); }},
    command{"drain", 0, [](const auto& options, argument_span) { return drain(options); }},
    command{"schema", 1, show_schema},
};

} // namespace

int run_command(const command_options& options, std::span<const std::string> arguments)
{
    const auto* found = std::ranges::find(commands, arguments.front(), &command::m_name);
    if (found == commands.end())
    {
        std::cerr << "dragonflygap: unknown command '" << arguments.front() << "'; see --help\n";
        return exit_usage;
    }
    if (arguments.size() <= found->m_min_arguments)
    {
        std::cerr << "dragonflygap: " << arguments.front() << " needs an argument; see --help\n";
        return exit_usage;
    }
    return found->m_run(options, arguments);
}

std::string_view usage()
{
    return usage_text;
}

} // namespace dragonflygap::cli
