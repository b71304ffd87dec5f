#pragma once

#include <cstdint>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// Processor time that the calling thread has used since its start.
duration thread_cpu_time();

/// Memory of this process that is resident now, in bytes; 0 if the system doesn't tell.
std::uint64_t resident_bytes();

} // namespace dragonflygap
