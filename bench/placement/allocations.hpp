#pragma once

#include <cstdint>

namespace dragonflygap::bench
{

/// Calls of operator new in this process so far.
std::uint64_t allocations();

} // namespace dragonflygap::bench
