#include "dragonflygap/cell/memory_budget.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

std::int64_t memory_budget::retry_after_ms(std::size_t bytes) const
{
    constexpr std::int64_t min_ms = 2000;
    constexpr std::int64_t max_ms = 60000; // what fills the memory may be due in days
    if (m_removed_per_ms <= 0)
        return max_ms;
    const auto missing = m_used + bytes > m_limit ? m_used + bytes - m_limit : 0;
    const auto needed_ms = static_cast<double>(missing) / m_removed_per_ms;
    return std::clamp(static_cast<std::int64_t>(std::min<double>(needed_ms, max_ms)), min_ms,
                      max_ms);
}

void memory_budget::measure(instant now)
{
    constexpr duration interval = 1s;
    constexpr double weight = 0.2; // of the latest interval, so that it averages some seconds
    if (m_measured_at == instant{})
        m_measured_at = now;
    const auto elapsed = now - m_measured_at;
    if (elapsed < interval)
        return;
    const auto rate = static_cast<double>(m_removed) /
                      static_cast<double>(std::max<std::int64_t>(1, to_ms(elapsed)));
    m_removed_per_ms += weight * (rate - m_removed_per_ms);
    m_removed = 0;
    m_measured_at = now;
}

memory_share::memory_share(memory_share&& other) noexcept
    : m_budget(std::move(other.m_budget)), m_bytes(std::exchange(other.m_bytes, 0))
{
}

memory_share& memory_share::operator=(memory_share&& other) noexcept
{
    if (this != &other)
    {
        resize(0);
        m_budget = std::move(other.m_budget);
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

void memory_share::resize(std::size_t bytes)
{
    if (m_budget != nullptr && bytes > m_bytes)
        m_budget->add(bytes - m_bytes);
    if (m_budget != nullptr && bytes < m_bytes)
        m_budget->remove(m_bytes - bytes);
    m_bytes = bytes;
}

} // namespace dragonflygap::cell
