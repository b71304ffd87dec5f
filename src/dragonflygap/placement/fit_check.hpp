#pragma once

#include <optional>
#include <span>
#include <string>

#include "dragonflygap/placement/engine.hpp"

namespace dragonflygap::placement
{

/// Returns why a job could not run even in an empty cell; nothing if it could. The quota is the
/// team's limit for the whole cell.
std::optional<std::string> never_fits_reason(const job_spec& spec,
                                             std::span<const placement_worker> cell,
                                             const std::optional<resources>& quota);

} // namespace dragonflygap::placement
