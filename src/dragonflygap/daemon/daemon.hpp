#pragma once

#include "dragonflygap/config/settings.hpp"

namespace dragonflygap::daemon
{

/// Runs an entry VM's tasks until SIGTERM or SIGINT; the result is the process's exit code.
/// Throws std::runtime_error if an address can't be bound.
int run_daemon(const config::settings& settings);

} // namespace dragonflygap::daemon
