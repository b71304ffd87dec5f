#pragma once

#include "dragonflygap/config/settings.hpp"
#include "dragonflygap/net/http_limits.hpp"

namespace dragonflygap::daemon
{

/// Limits of this process's HTTP servers, from its settings, memory and descriptors.
http_shares client_limits(const config::settings& settings);

} // namespace dragonflygap::daemon
