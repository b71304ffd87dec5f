#include "dragonflygap/cli/commands.hpp"

#include <algorithm>
#include <array>
#include <fstream>
#include <functional>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "dragonflygap/cli/table.hpp"
#include "dragonflygap/config/document.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"

namespace dragonflygap::cli
{

namespace
{

constexpr duration call_timeout = 5s;

constexpr std::string_view usage_text = R"(Usage: dragonflygap [--server IP:PORT] [--json] COMMAND

  status                 this entry VM: load, ownership, configuration
  members                the other entry VMs
  workers                workers, their owners and their room
  jobs                   jobs that this entry VM coordinates
  job ID                 one job with its tasks
  submit FILE            submit a job
  config show            the document in force
  config check FILE      check a document, without a server
  config apply FILE      put a document in force, unless another operator was faster
  drain                  take the entry VM out of service
  schema NAME            JSON Schema of settings, config or job

Examples:
  dragonflygap --server 127.0.0.1:8081 status
  dragonflygap submit examples/service.json
  dragonflygap --json jobs
)";

using words_span = std::span<const std::string>;

struct command
{
    std::string_view m_name;
    std::size_t m_arguments;
    std::function<int(const command_options&, words_span)> m_run;
};

outcome<http_response> call(const command_options& options, http_request request)
{
    event_loop loop;
    http_client client(loop, {});
    outcome<http_response> result = fail(verdict::not_run, reason::target_unreachable, "no answer");
    client.send(options.m_server, std::move(request), call_timeout,
                [&](outcome<http_response> answer)
                {
                    result = std::move(answer);
                    loop.stop();
                });
    loop.run();
    return result;
}

int report_failure(const command_options& options, const outcome<http_response>& answer)
{
    if (!answer)
    {
        std::cerr << "dragonflygap: no answer from " << to_string(options.m_server) << " ("
                  << to_string(answer.error().m_verdict) << ")\n";
        return exit_unreachable;
    }
    const auto failed = failure_of_response(*answer);
    std::cerr << "dragonflygap: " << failed.m_detail << "\n";
    return failed.m_reason == reason::conflict ? exit_conflict : exit_failed;
}

bool succeeded(const outcome<http_response>& answer)
{
    return answer && answer->m_status >= 200 && answer->m_status < 300;
}

int show(const command_options& options, const std::string& path)
{
    const auto answer = call(options, {.m_path = path});
    if (!succeeded(answer))
        return report_failure(options, answer);
    const auto body = nlohmann::json::parse(answer->m_body);
    std::cout << (options.m_json ? body.dump(2) + "\n" : format_table(body));
    return exit_ok;
}

outcome<std::string> read_file(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        return fail(verdict::not_run, reason::not_found, "can't read " + path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

int submit(const command_options& options, words_span words)
{
    const auto text = read_file(words[1]);
    if (!text)
    {
        std::cerr << "dragonflygap: " << text.error().m_detail << "\n";
        return exit_usage;
    }
    const auto answer = call(options, {.m_method = "POST", .m_path = "/v1/jobs", .m_body = *text});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << nlohmann::json::parse(answer->m_body)["id"].get<std::string>() << "\n";
    return exit_ok;
}

int show_config(const command_options& options)
{
    const auto answer = call(options, {.m_path = "/v1/config"});
    if (!succeeded(answer))
        return report_failure(options, answer);
    const auto body = nlohmann::json::parse(answer->m_body);
    if (options.m_json)
        std::cout << body.dump(2) << "\n";
    else
        std::cout << body["document"].get<std::string>();
    return exit_ok;
}

int check_config(const std::string& path, std::string& text)
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

int apply_config(const command_options& options, const std::string& path)
{
    std::string text;
    if (const int checked = check_config(path, text); checked != exit_ok)
        return checked;
    const auto current = call(options, {.m_path = "/v1/config"});
    if (!succeeded(current))
        return report_failure(options, current);
    const auto version = nlohmann::json::parse(current->m_body)["version"].get<std::uint64_t>();
    const auto answer = call(options, {.m_method = "PUT",
                                       .m_path = "/v1/config",
                                       .m_query = "expected=" + std::to_string(version),
                                       .m_body = text});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << "version " << nlohmann::json::parse(answer->m_body)["version"] << " accepted\n";
    return exit_ok;
}

int config_command(const command_options& options, words_span words)
{
    if (words[1] == "show")
        return show_config(options);
    if (words.size() == 3 && words[1] == "check")
    {
        std::string text;
        const int checked = check_config(words[2], text);
        if (checked == exit_ok)
            std::cout << "valid\n";
        return checked;
    }
    if (words.size() == 3 && words[1] == "apply")
        return apply_config(options, words[2]);
    std::cerr << "dragonflygap: config show | check FILE | apply FILE\n";
    return exit_usage;
}

int drain(const command_options& options)
{
    const auto answer = call(options, {.m_method = "POST", .m_path = "/v1/drain"});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << "draining\n";
    return exit_ok;
}

int show_schema(const command_options& options, words_span words)
{
    const auto answer = call(options, {.m_path = "/v1/schema/" + words[1]});
    if (!succeeded(answer))
        return report_failure(options, answer);
    std::cout << answer->m_body;
    return exit_ok;
}

const std::array commands{
    command{"status", 0,
            [](const auto& options, words_span) { return show(options, "/v1/status"); }},
    command{"members", 0,
            [](const auto& options, words_span) { return show(options, "/v1/members"); }},
    command{"workers", 0,
            [](const auto& options, words_span) { return show(options, "/v1/workers"); }},
    command{"jobs", 0, [](const auto& options, words_span) { return show(options, "/v1/jobs"); }},
    command{"job", 1,
            [](const auto& options, words_span words)
            { return show(options, "/v1/jobs/" + words[1]); }},
    command{"submit", 1, submit},
    command{"config", 1, config_command},
    command{"drain", 0, [](const auto& options, words_span) { return drain(options); }},
    command{"schema", 1, show_schema},
};

} // namespace

int run_command(const command_options& options, std::span<const std::string> words)
{
    const auto* found = std::ranges::find(commands, words.front(), &command::m_name);
    if (found == commands.end())
    {
        std::cerr << "dragonflygap: no command '" << words.front() << "'; see --help\n";
        return exit_usage;
    }
    if (words.size() <= found->m_arguments)
    {
        std::cerr << "dragonflygap: " << words.front() << " wants an argument; see --help\n";
        return exit_usage;
    }
    return found->m_run(options, words);
}

std::string_view usage()
{
    return usage_text;
}

} // namespace dragonflygap::cli
