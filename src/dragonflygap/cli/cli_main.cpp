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
    std::vector<std::string> words;
    std::uint64_t base = 0;
    po::options_description described("Options of dragonflygap");
    described.add_options()("help", "show this text")(
        "server", po::value(&server)->default_value("127.0.0.1:8081"),
        "operators' address of an entry VM")("json", "print JSON instead of tables")(
        "base", po::value(&base), "config apply: the version that was edited")(
        "wait", "config apply: until it is in force on every live entry VM")(
        "words", po::value(&words), "command and its arguments");
    po::positional_options_description positions;
    positions.add("words", -1);
    try
    {
        po::variables_map given;
        po::store(
            po::command_line_parser(argc, argv).options(described).positional(positions).run(),
            given);
        po::notify(given);
        if (given.count("help") != 0 || words.empty())
        {
            std::cout << cli::usage() << "\n" << described;
            return given.count("help") != 0 ? 0 : cli::exit_usage;
        }
        const auto at = parse_endpoint(server);
        if (!at)
        {
            std::cerr << "dragonflygap: --server wants an IP number and a port\n";
            return cli::exit_usage;
        }
        cli::command_options options{.m_server = *at,
                                     .m_json = given.count("json") != 0,
                                     .m_wait = given.count("wait") != 0};
        if (given.count("base") != 0)
            options.m_base = base;
        return cli::run_command(options, words);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygap: " << error.what() << "\n";
        return cli::exit_usage;
    }
}
