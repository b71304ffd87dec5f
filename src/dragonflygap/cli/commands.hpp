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
inline constexpr int exit_failed = 1;      ///< Request refused, nothing found or wait timed out.
inline constexpr int exit_usage = 2;       ///< Wrong usage or unusable file; nothing was sent.
inline constexpr int exit_unreachable = 3; ///< No answer from the server.
inline constexpr int exit_conflict = 4;    ///< Another operator changed the configuration first.

struct command_options
{
    endpoint m_server;
    bool m_json = false;
    std::optional<std::uint64_t> m_base; ///< config apply: the version on which the edit is based.
    bool m_wait = false;                 ///< config apply: wait until it is in force everywhere.
};

/// Runs a command, given with its arguments, and prints its result; returns the exit code.
int run_command(const command_options& options, std::span<const std::string> arguments);

/// Describes the commands, with examples.
std::string_view usage();

} // namespace dragonflygap::cli
