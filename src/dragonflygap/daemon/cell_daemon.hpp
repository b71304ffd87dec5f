#pragma once

#include "dragonflygap/config/settings.hpp"

namespace dragonflygap::daemon
{

/// Runs an entry VM of a cell on the users' platform until SIGTERM or SIGINT; returns the exit code
/// of the process. Throws std::runtime_error if an address can't be bound.
int run_cell_daemon(const config::settings& settings);

} // namespace dragonflygap::daemon
