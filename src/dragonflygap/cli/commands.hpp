#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "dragonflygap/core/endpoint.hpp"

namespace dragonflygap::cli
{

inline constexpr int exit_ok = 0;
inline constexpr int exit_failed = 1;      ///< The server refused.
inline constexpr int exit_usage = 2;       ///< The command is wrong, nothing was sent.
inline constexpr int exit_unreachable = 3; ///< No answer from the server.
inline constexpr int exit_conflict = 4;    ///< Another operator was faster.

struct command_options
{
    endpoint m_server;
    bool m_json = false;
    std::optional<std::uint64_t> m_base; ///< config apply: the version that was edited.
    bool m_wait = false;                 ///< config apply: until it is in force everywhere.
};

/// Runs one command and prints its result; gives the process's exit code.
int run_command(const command_options& options, std::span<const std::string> words);

/// What the commands are, with examples.
std::string_view usage();

} // namespace dragonflygap::cli
