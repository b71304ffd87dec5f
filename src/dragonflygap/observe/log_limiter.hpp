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

/// Bounds the lines a second, so that logging can't take the processor from the work that it
/// tells of. Lines that are left out are counted. Pure.
class log_limiter
{
public:
    /// A cell of 48 workers writes about 400 lines a second at its crest.
    static constexpr int most_lines_per_second = 2000;
    /// Of one event, whatever its weight: one that floods leaves room for the others.
    static constexpr int most_lines_per_event = most_lines_per_second / 2;
    /// Of these, for lines that matter more than ordinary ones.
    static constexpr int kept_lines_per_second = most_lines_per_second / 10;

    enum class weight
    {
        ordinary,
        kept, ///< Warnings, errors, and lines that come at a fixed rate.
    };

    /// True if a line may be written now.
    bool admit(instant now) { return take(now, most_lines_per_second, nullptr); }

    /// True if a line of this event may be written now.
    bool admit(instant now, weight how, std::string_view event)
    {
        const int kept = how == weight::kept ? 0 : kept_lines_per_second;
        return take(now, most_lines_per_second - kept, &event);
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
    bool take(instant now, int most_lines, const std::string_view* event)
    {
        if (now - m_window >= 1s)
        {
            m_window = now;
            m_lines = 0;
            m_lines_of.clear();
        }
        int* of_event = event == nullptr ? nullptr : &lines_of(*event);
        if (m_lines >= most_lines || (of_event != nullptr && *of_event >= most_lines_per_event))
        {
            ++m_dropped;
            return false;
        }
        ++m_lines;
        if (of_event != nullptr)
            ++*of_event;
        return true;
    }

    int& lines_of(std::string_view event)
    {
        const auto found = m_lines_of.find(event);
        return found != m_lines_of.end() ? found->second
                                         : m_lines_of.emplace(std::string(event), 0).first->second;
    }

    instant m_window{};
    int m_lines = 0;
    std::map<std::string, int, std::less<>> m_lines_of; ///< By event.
    std::uint64_t m_dropped = 0;
};

} // namespace dragonflygap
