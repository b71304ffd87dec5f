#pragma once

#include <optional>
#include <span>
#include <string>

#include "dragonflygap/placement/engine.hpp"

namespace dragonflygap::placement
{

/// Why a job can't run even in the whole cell standing empty; nothing if it can. The quota is
/// the team's for the whole cell.
std::optional<std::string> why_never_fits(const job_spec& spec,
                                          std::span<const placement_worker> cell,
                                          const std::optional<resources>& quota);

} // namespace dragonflygap::placement
