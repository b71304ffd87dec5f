#pragma once

#include <cstdint>
#include <optional>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// Bounds the lines a second, so that logging can't take the processor from the work that it
/// tells of. Lines that are left out are counted. Pure.
class log_limiter
{
public:
    /// A cell of 48 workers writes about 400 lines a second at its crest.
    static constexpr int most_lines_per_second = 2000;

    /// True if a line may be written now.
    bool admit(instant now)
    {
        if (now - m_window >= 1s)
        {
            m_window = now;
            m_lines = 0;
        }
        if (m_lines >= most_lines_per_second)
        {
            ++m_dropped;
            return false;
        }
        ++m_lines;
        return true;
    }

    /// A line could not be written: nobody reads.
    void lost() { ++m_dropped; }

    /// How many lines were left out since this was last told; nothing if none was.
    std::optional<std::uint64_t> take_dropped()
    {
        if (m_dropped == 0)
            return std::nullopt;
        const auto dropped = m_dropped;
        m_dropped = 0;
        return dropped;
    }

private:
    instant m_window{};
    int m_lines = 0;
    std::uint64_t m_dropped = 0;
};

} // namespace dragonflygap
