#pragma once

#include <string>

namespace scenarios
{

/// What became of a scenario.
struct script_result
{
    std::string m_wrong;   ///< What went wrong, or nothing.
    std::string m_history; ///< Every event of the daemons, the stand-in and the callers.
};

/// Runs a scenario written in Lua; docs/SCENARIOS.md lists the words that it may use.
script_result run_script(const std::string& path);

} // namespace scenarios
