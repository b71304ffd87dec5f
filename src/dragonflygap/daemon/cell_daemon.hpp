#pragma once

#include "dragonflygap/config/settings.hpp"

namespace dragonflygap::daemon
{

/// Runs an entry VM of a cell on the users' platform until it is told to stop; the result is the
/// process's exit code. Throws std::runtime_error if an address can't be bound.
int run_cell_daemon(const config::settings& settings);

} // namespace dragonflygap::daemon
