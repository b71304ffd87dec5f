#include "dragonflygap/cli/server_call.hpp"

#include <fstream>
#include <iostream>
#include <sstream>
#include <utility>

#include "dragonflygap/cli/commands.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"

namespace dragonflygap::cli
{

namespace
{

// Longer than the server's own timeout for a configuration change.
constexpr duration call_timeout = 15s;

} // namespace

outcome<http_response> call_server(const command_options& options, http_request request)
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

bool succeeded(const outcome<http_response>& answer)
{
    return answer && answer->m_status >= 200 && answer->m_status < 300;
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
    std::cerr << "dragonflygap: " << failed.m_detail << " (" << to_string(failed.m_reason) << ", "
              << to_string(failed.m_verdict) << ")\n";
    return failed.m_reason == reason::conflict ? exit_conflict : exit_failed;
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

} // namespace dragonflygap::cli
