#include <iostream>
#include <span>
#include <string>
#include <vector>

#include <boost/program_options.hpp>

#include "dragonflygap/cli/commands.hpp"

namespace po = boost::program_options;
using namespace dragonflygap;

int main(int argc, char** argv)
{
    std::string server;
    std::vector<std::string> arguments;
    std::uint64_t base = 0;
    po::options_description descriptions("Options of dragonflygap");
    descriptions.add_options()("help", "show this text")(
        "server", po::value(&server)->default_value("127.0.0.1:8081"),
        "operators' address of an entry VM")("json", "print JSON instead of tables")(
        "base", po::value(&base), "config apply: the version on which the edit is based")(
        "wait", "config apply: wait until it is in force on every live entry VM")(
        "words", po::value(&arguments), "command and its arguments");
    po::positional_options_description positions;
    positions.add("words", -1);
    try
    {
        po::variables_map variables;
        po::store(
            po::command_line_parser(argc, argv).options(descriptions).positional(positions).run(),
            variables);
        po::notify(variables);
        if (variables.count("help") != 0 || arguments.empty())
        {
            std::cout << cli::usage() << "\n" << descriptions;
            return variables.count("help") != 0 ? 0 : cli::exit_usage;
        }
        const auto address = parse_endpoint(server);
        if (!address)
        {
            std::cerr << "dragonflygap: --server must be IP:PORT\n";
            return cli::exit_usage;
        }
        cli::command_options options{.m_server = *address,
                                     .m_json = variables.count("json") != 0,
                                     .m_wait = variables.count("wait") != 0};
        if (variables.count("base") != 0)
            options.m_base = base;
        return cli::run_command(options, arguments);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygap: " << error.what() << "\n";
        return cli::exit_usage;
    }
}
