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
    po::options_description described("Options of dragonflygap");
    described.add_options()("help", "show this text")(
        "server", po::value(&server)->default_value("127.0.0.1:8081"),
        "operators' address of an entry VM")("json", "print JSON instead of tables")(
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
        return cli::run_command({.m_server = *at, .m_json = given.count("json") != 0}, words);
    }
    catch (const std::exception& error)
    {
        std::cerr << "dragonflygap: " << error.what() << "\n";
        return cli::exit_usage;
    }
}
