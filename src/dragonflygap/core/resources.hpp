#pragma once

#include <compare>
#include <cstdint>

namespace dragonflygap
{

/// An amount of resources: millicores, megabytes of memory, whole accelerators.
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

    /// True if no dimension exceeds what is available.
    bool fits_in(const resources& available) const
    {
        return m_millicores <= available.m_millicores && m_memory_mb <= available.m_memory_mb &&
               m_accelerators <= available.m_accelerators;
    }
};

} // namespace dragonflygap
