#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// Limits the rate of log lines, so that logging can't use up the CPU time that the daemon needs.
/// Counts dropped lines. Does no I/O.
class log_limiter
{
public:
    /// A cell of 48 workers peaks at about 400 lines per second.
    static constexpr int max_lines_per_second = 2000;
    /// Limit for each event at any priority, so that a flood of one event can't crowd out others.
    static constexpr int max_lines_per_event = max_lines_per_second / 2;
    /// Part of the limit that only lines of high priority may use.
    static constexpr int reserved_lines_per_second = max_lines_per_second / 10;

    enum class priority
    {
        normal,
        high, ///< Warnings, errors and periodic lines.
    };

    /// True if a line may be written now.
    bool admit(instant now) { return try_admit(now, max_lines_per_second, nullptr); }

    /// True if a line of this event may be written now.
    bool admit(instant now, priority level, std::string_view event)
    {
        const int reserved = level == priority::high ? 0 : reserved_lines_per_second;
        return try_admit(now, max_lines_per_second - reserved, &event);
    }

    /// Counts an admitted line that could not be written.
    void count_dropped() { ++m_dropped_count; }

    /// Returns the number of lines dropped since the last call; nullopt if none were.
    std::optional<std::uint64_t> reset_dropped_count()
    {
        if (m_dropped_count == 0)
            return std::nullopt;
        const auto dropped = m_dropped_count;
        m_dropped_count = 0;
        return dropped;
    }

private:
    bool try_admit(instant now, int max_lines, const std::string_view* event)
    {
        if (now - m_window_start >= 1s)
        {
            m_window_start = now;
            m_line_count = 0;
            m_event_line_counts.clear();
        }
        int* event_line_count = event == nullptr ? nullptr : &line_count_of(*event);
        if (m_line_count >= max_lines ||
            (event_line_count != nullptr && *event_line_count >= max_lines_per_event))
        {
            ++m_dropped_count;
            return false;
        }
        ++m_line_count;
        if (event_line_count != nullptr)
            ++*event_line_count;
        return true;
    }

    int& line_count_of(std::string_view event)
    {
        const auto found = m_event_line_counts.find(event);
        return found != m_event_line_counts.end()
                   ? found->second
                   : m_event_line_counts.emplace(std::string(event), 0).first->second;
    }

    instant m_window_start{};
    int m_line_count = 0;
    std::map<std::string, int, std::less<>> m_event_line_counts;
    std::uint64_t m_dropped_count = 0;
};

} // namespace dragonflygap
