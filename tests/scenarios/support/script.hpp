#pragma once

#include <string>

namespace scenarios
{

/// Runs a scenario written in Lua; gives what went wrong, or nothing.
///
/// tests/scenarios/README.md lists the words that a scenario may use.
std::string run_script(const std::string& path);

} // namespace scenarios
