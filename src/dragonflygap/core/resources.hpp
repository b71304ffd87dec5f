#pragma once

#include <compare>
#include <cstdint>

namespace dragonflygap
{

/// An amount of a VM: thousandths of a processor, megabytes of memory, whole accelerators.
struct resources
{
    std::int64_t m_millicores = 0;
    std::int64_t m_memory_mb = 0;
    std::int64_t m_accelerators = 0;

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other)
    {
        m_millicores += other.m_millicores;
        m_memory_mb += other.m_memory_mb;
        m_accelerators += other.m_accelerators;
        return *this;
    }

    resources& operator-=(const resources& other)
    {
        m_millicores -= other.m_millicores;
        m_memory_mb -= other.m_memory_mb;
        m_accelerators -= other.m_accelerators;
        return *this;
    }

    friend resources operator+(resources left, const resources& right) { return left += right; }
    friend resources operator-(resources left, const resources& right) { return left -= right; }

    /// True if this amount is available within the other in every dimension.
    bool fits_in(const resources& room) const
    {
        return m_millicores <= room.m_millicores && m_memory_mb <= room.m_memory_mb &&
               m_accelerators <= room.m_accelerators;
    }
};

} // namespace dragonflygap
