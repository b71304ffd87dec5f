#pragma once

#include <string>

namespace scenarios
{

/// The result of running a scenario.
struct script_result
{
    std::string m_error;   ///< Why the scenario failed; empty if it passed.
    std::string m_history; ///< All events of the daemons, the emulator and the callers.
};

/// Runs a scenario written in Lua; docs/SCENARIOS.md lists the functions it may call.
script_result run_script(const std::string& path);

} // namespace scenarios
