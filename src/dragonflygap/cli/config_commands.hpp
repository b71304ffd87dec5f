#pragma once

#include <span>
#include <string>

namespace dragonflygap::cli
{

struct command_options;

/// Runs config show | check | diff | apply | history; words start with "config".
int config_command(const command_options& options, std::span<const std::string> words);

} // namespace dragonflygap::cli
