#pragma once

#include <cstdint>

namespace dragonflygap::bench
{

/// Number of calls to operator new in this process so far.
std::uint64_t heap_allocations();

} // namespace dragonflygap::bench
