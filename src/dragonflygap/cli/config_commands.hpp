#pragma once

#include <span>
#include <string>

namespace dragonflygap::cli
{

struct command_options;

/// Runs config show | check | diff | apply | history; the first argument is "config".
int config_command(const command_options& options, std::span<const std::string> arguments);

} // namespace dragonflygap::cli
