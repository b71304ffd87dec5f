#pragma once

#include <algorithm>
#include <cstdint>

#include "dragonflygap/cell/job_request.hpp"

namespace dragonflygap::cell
{

/// Resources that a task reserves on a worker. A best-effort task's processor time isn't counted.
inline resources size_of(const step_spec& spec)
{
    auto size = spec.m_size;
    if (spec.m_best_effort)
        size.m_millicores = 0;
    return size;
}

inline resources times(const resources& size, int count)
{
    return {.m_millicores = size.m_millicores * count,
            .m_memory_mb = size.m_memory_mb * count,
            .m_accelerators = size.m_accelerators * count};
}

/// Number of tasks of a size that fit into a capacity.
inline int fit_count(const resources& size, const resources& capacity)
{
    constexpr std::int64_t unlimited = 1000000;
    auto fits = [](std::int64_t part, std::int64_t whole)
    { return part <= 0 ? unlimited : std::max<std::int64_t>(0, whole / part); };
    return static_cast<int>(std::min({fits(size.m_millicores, capacity.m_millicores),
                                      fits(size.m_memory_mb, capacity.m_memory_mb),
                                      fits(size.m_accelerators, capacity.m_accelerators)}));
}

} // namespace dragonflygap::cell
