#pragma once

#include <algorithm>
#include <cstdint>

#include "dragonflygap/cell/job_request.hpp"

namespace dragonflygap::cell
{

/// What a task holds of a worker. A filler takes what the others leave: its processor time isn't
/// counted.
inline resources size_of(const step_spec& spec)
{
    auto size = spec.m_size;
    if (spec.m_best_effort)
        size.m_millicores = 0;
    return size;
}

/// How many tasks of a size fit into the room.
inline int times_in(const resources& size, const resources& room)
{
    constexpr std::int64_t many = 1000000;
    auto fits = [](std::int64_t part, std::int64_t whole)
    { return part <= 0 ? many : std::max<std::int64_t>(0, whole / part); };
    return static_cast<int>(std::min({fits(size.m_millicores, room.m_millicores),
                                      fits(size.m_memory_mb, room.m_memory_mb),
                                      fits(size.m_accelerators, room.m_accelerators)}));
}

} // namespace dragonflygap::cell
