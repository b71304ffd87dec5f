#pragma once

#include <cstdint>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// CPU time consumed by the calling thread.
duration thread_cpu_time();

/// Resident set size of this process in bytes; 0 if unavailable.
std::uint64_t resident_bytes();

} // namespace dragonflygap
