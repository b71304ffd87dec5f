#pragma once

#include <string>

#include <nlohmann/json_fwd.hpp>

namespace dragonflygap::cli
{

/// Formats a JSON list as a table with a column per member, an object as lines of name and value.
std::string format_table(const nlohmann::json& value);

} // namespace dragonflygap::cli
