#include <csignal>
#include <iostream>
#include <memory>
#include <sstream>
#include <vector>

#include <boost/program_options.hpp>

#include "dragonflygap/emulator/cell.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_server.hpp"

namespace po = boost::program_options;
using namespace dragonflygap;

namespace
{

void answer(event_loop& loop, emulator::cell& cell, const endpoint& at, const http_request& request,
            const http_exchange_ptr& exchange)
{
    const auto made = cell.handle(at, request, monotonic_clock::now());
    if (made.m_lost)
    {
        // The exchange is kept, so that the caller waits in vain until its own timeout.
        constexpr duration longer_than_any_timeout = 600s;
        loop.defer(longer_than_any_timeout, [exchange] {});
        return;
    }
    if (made.m_delay == duration{})
    {
        exchange->reply(made.m_response);
        return;
    }
    loop.defer(made.m_delay, [exchange, response = made.m_response] { exchange->reply(response); });
}

std::vector<data_centre_id> split_names(const std::string& text)
{
    std::vector<data_centre_id> result;
    std::istringstream stream(text);
    for (std::string name; std::getline(stream, name, ',');)
        result.emplace_back(name);
    return result;
}

int serve(const emulator::cell_options& options)
{
    std::signal(SIGPIPE, SIG_IGN); // late answers are written to callers that have gone
    event_loop loop;
    emulator::cell cell(options);
    constexpr duration advance_interval = 100ms;
    const auto advance =
        loop.every(advance_interval, [&cell] { cell.advance(monotonic_clock::now()); });
    std::vector<std::unique_ptr<http_server>> servers;
    for (const auto& at : cell.endpoints())
        servers.push_back(std::make_unique<http_server>(
            loop,
            http_server_options{.m_listen = at,
                                .m_handler = [&loop, &cell, at](const http_request& request,
                                                                const http_exchange_ptr& exchange)
                                { answer(loop, cell, at, request, exchange); }}));
    const auto on_interrupt = loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    const auto on_terminate = loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    std::cout << "event=emulator_ready platform=" << to_string(options.m_platform)
              << " workers=" << options.m_workers << std::endl;
    loop.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    std::string platform;
    std::string centres;
    bool with_history = false;
    emulator::cell_options options;
    po::options_description described("Options of dragonflygap-emulator");
    described.add_options()("help", "show this text")(
        "platform", po::value(&platform)->default_value("127.0.0.1:7000"),
        "address of the platform's service")(
        "first-worker-port", po::value(&options.m_first_worker_port)->default_value(7100),
        "port of the first worker; the others follow")(
        "data-centres", po::value(&centres)->default_value("norte-a,norte-b,norte-c"),
        "names, separated by commas")("workers", po::value(&options.m_workers)->default_value(6),
                                      "workers in all data centres")(
        "slots", po::value(&options.m_slots)->default_value(8), "slots of each executor")(
        "history", po::bool_switch(&with_history), "print what workers and executors really ran");
    try
    {
        po::variables_map given;
        po::store(po::parse_command_line(argc, argv, described), given);
        po::notify(given);
        if (given.count("help") != 0)
        {
            std::cout << described;
            return 0;
        }
        const auto at = parse_endpoint(platform);
        options.m_data_centres = split_names(centres);
        if (!at || options.m_data_centres.empty())
        {
            std::cerr << "dragonflygap-emulator: --platform wants an IP number and a port, "
                         "--data-centres at least one name\n";
            return 2;
        }
        options.m_platform = *at;
        if (with_history)
            options.m_record = [](const history::event& what, instant at)
            { std::cout << history::format("emulator", what, at) << std::endl; };
        return serve(options);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygap-emulator: " << error.what() << "\n";
        return 2;
    }
}
