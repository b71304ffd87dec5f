#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <utility>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// Memory that a leader may use for its jobs, in bytes. Counts estimates, not allocations.
class memory_budget
{
public:
    explicit memory_budget(std::size_t limit) : m_limit(limit) {}

    /// Also valid if more is in use already.
    void set_limit(std::size_t limit) { m_limit = limit; }
    std::size_t limit() const { return m_limit; }
    std::size_t used() const { return m_used; }
    bool fits(std::size_t bytes) const { return m_used + bytes <= m_limit; }

    void add(std::size_t bytes) { m_used += bytes; }
    void remove(std::size_t bytes)
    {
        m_used -= bytes;
        m_removed += bytes;
    }

    /// When a caller should try again to hand in what didn't fit, in ms: as long as it takes to
    /// free these bytes at the rate of the last seconds.
    std::int64_t retry_after_ms(std::size_t bytes) const;

    /// Updates that rate; to be called now and then.
    void measure(instant now);

private:
    std::size_t m_limit;
    std::size_t m_used = 0;
    std::size_t m_removed = 0;   ///< Since the last measurement.
    double m_removed_per_ms = 0; ///< Moving average.
    instant m_measured_at{};
};

/// Bytes that one job takes of a budget, given back when the job is destroyed.
class memory_share
{
public:
    memory_share() = default;
    explicit memory_share(std::shared_ptr<memory_budget> budget) : m_budget(std::move(budget)) {}
    memory_share(memory_share&& other) noexcept;
    memory_share& operator=(memory_share&& other) noexcept;
    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;
    ~memory_share() { resize(0); }

    void resize(std::size_t bytes);
    std::size_t bytes() const { return m_bytes; }

private:
    std::shared_ptr<memory_budget> m_budget; ///< nullptr: nothing is counted.
    std::size_t m_bytes = 0;
};

} // namespace dragonflygap::cell
