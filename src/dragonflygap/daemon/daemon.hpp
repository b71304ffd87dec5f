#pragma once

#include "dragonflygap/config/settings.hpp"

namespace dragonflygap::daemon
{

/// Runs the tasks of an entry VM until SIGTERM or SIGINT; returns the exit code of the process.
/// Throws std::runtime_error if an address can't be bound.
int run_daemon(const config::settings& settings);

} // namespace dragonflygap::daemon
