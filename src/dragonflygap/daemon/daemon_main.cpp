#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <optional>
#include <sstream>
#include <thread>

#include <boost/program_options.hpp>

#include "dragonflygap/daemon/cell_daemon.hpp"
#include "dragonflygap/daemon/daemon.hpp"

namespace po = boost::program_options;
using namespace dragonflygap;

namespace
{

constexpr int exit_usage = 2;

int run(const std::string& path, bool check_only)
{
    config::settings settings;
    if (!path.empty())
    {
        std::ifstream file(path);
        if (!file)
        {
            std::cerr << "dragonflygapd: can't read " << path << "\n";
            return exit_usage;
        }
        std::ostringstream text;
        text << file.rdbuf();
        const auto parsed = config::parse_settings(text.str());
        if (!parsed)
        {
            std::cerr << "dragonflygapd: " << path << " has faults:\n"
                      << config::to_string(parsed.error());
            return exit_usage;
        }
        settings = *parsed;
    }
    if (check_only)
    {
        std::cout << "settings are valid\n";
        return 0;
    }
    return settings.m_cell ? daemon::run_cell_daemon(settings) : daemon::run_daemon(settings);
}

} // namespace

int main(int argc, char** argv)
{
    std::string settings;
    po::options_description options("Options of dragonflygapd");
    options.add_options()("help", "show this help")(
        "settings", po::value(&settings),
        "settings file; without it, a single daemon serves on 127.0.0.1 with an embedded platform")(
        "check", "check the settings and exit");
    try
    {
        po::variables_map arguments;
        po::store(po::parse_command_line(argc, argv, options), arguments);
        po::notify(arguments);
        if (arguments.count("help") != 0)
        {
            std::cout << options;
            return 0;
        }
        return run(settings, arguments.count("check") != 0);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygapd: " << error.what() << "\n";
        return exit_usage;
    }
}
