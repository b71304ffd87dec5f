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

void handle_request(event_loop& loop, emulator::cell& cell, const endpoint& address,
                    const http_request& request, const http_exchange_ptr& exchange)
{
    const auto answer = cell.handle(address, request, monotonic_clock::now());
    if (answer.m_lost)
    {
        // Keeps the exchange open without a reply, so that the caller runs into its own timeout.
        constexpr duration longer_than_any_timeout = 600s;
        loop.defer(longer_than_any_timeout, [exchange] {});
        return;
    }
    if (answer.m_delay == duration{})
    {
        exchange->reply(answer.m_response);
        return;
    }
    loop.defer(answer.m_delay,
               [exchange, response = answer.m_response] { exchange->reply(response); });
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
    std::signal(SIGPIPE, SIG_IGN); // delayed answers may be written to closed connections
    event_loop loop;
    emulator::cell cell(options);
    constexpr duration advance_interval = 100ms;
    const auto advance =
        loop.every(advance_interval, [&cell] { cell.advance(monotonic_clock::now()); });
    std::vector<std::unique_ptr<http_server>> servers;
    for (const auto& address : cell.endpoints())
        servers.push_back(std::make_unique<http_server>(
            loop, http_server_options{.m_listen = address,
                                      .m_handler = [&loop, &cell,
                                                    address](const http_request& request,
                                                             const http_exchange_ptr& exchange) {
                                          handle_request(loop, cell, address, request, exchange);
                                      }}));
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
    po::options_description descriptions("Options of dragonflygap-emulator");
    descriptions.add_options()("help", "show this text")(
        "platform", po::value(&platform)->default_value("127.0.0.1:7000"),
        "address of the platform's service")(
        "first-worker-port", po::value(&options.m_first_worker_port)->default_value(7100),
        "port of the first worker; the others follow")(
        "data-centres", po::value(&centres)->default_value("norte-a,norte-b,norte-c"),
        "names, separated by commas")("workers", po::value(&options.m_workers)->default_value(6),
                                      "workers in all data centres")(
        "slots", po::value(&options.m_slots)->default_value(8),
        "slots of each executor")("history", po::bool_switch(&with_history),
                                  "print the history of what workers and executors ran");
    try
    {
        po::variables_map variables;
        po::store(po::parse_command_line(argc, argv, descriptions), variables);
        po::notify(variables);
        if (variables.count("help") != 0)
        {
            std::cout << descriptions;
            return 0;
        }
        const auto address = parse_endpoint(platform);
        options.m_data_centres = split_names(centres);
        if (!address || options.m_data_centres.empty())
        {
            std::cerr
                << "dragonflygap-emulator: --platform must be IP:PORT, --data-centres must have "
                   "at least one name\n";
            return 2;
        }
        options.m_platform = *address;
        if (with_history)
            options.m_record = [](const history::event& event, instant at)
            { std::cout << history::format("emulator", event, at) << std::endl; };
        return serve(options);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygap-emulator: " << error.what() << "\n";
        return 2;
    }
}
