#include <cstdlib>
#include <iostream>

#include "cases.hpp"

/// rig CASE FOLDER RECORD: plays one case; the daemons' files go into the folder.
/// Exits with 1 if the rule was broken, 0 if it held and 2 if the case couldn't run.
int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = setting == nullptr || std::string(setting) != "0";
    rig::record log(argv[3]);
    log.line(std::string("case ") + argv[1] + (trouble ? "" : ", without the disruption"));
    const auto found = rig::cases().find(argv[1]);
    if (found == rig::cases().end())
        return 2;
    int result = 2;
    try
    {
        result = found->second(log, argv[2], trouble);
    }
    catch (const std::exception& error)
    {
        log.line(std::string("couldn't run: ") + error.what());
    }
    log.line("result " + std::to_string(result) +
             (result == 1   ? ": the rule was broken"
              : result == 0 ? ": the rule held"
                            : ": the case couldn't run"));
    std::cout << argv[1] << (trouble ? "" : " (TROUBLE=0)") << ": " << result << std::endl;
    // Threads of the stand-ins still wait for connections.
    std::_Exit(result);
}
