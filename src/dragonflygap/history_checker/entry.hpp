#pragma once

#include <cstdint>
#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap::history_checker
{

/// One line of a history, in the format of observe/history.
struct entry
{
    std::string m_vm;
    std::string m_event;
    instant m_at{};
    std::map<std::string, std::string, std::less<>> m_fields;

    /// Value of a key; empty if the line has none.
    const std::string& text(std::string_view key) const;

    /// Value of a key as a number; 0 if it is missing or no number.
    std::int64_t number(std::string_view key) const;
};

/// Parses one log line; returns nothing if it is not part of a history.
std::optional<entry> parse_entry(std::string_view line);

/// Appends the history lines of a log; skips all others.
void read_entries(std::istream& from, std::vector<entry>& to);

/// Sorts the lines of several processes by instant; at the same instant, task starts come last.
void sort_entries(std::vector<entry>& entries);

} // namespace dragonflygap::history_checker
