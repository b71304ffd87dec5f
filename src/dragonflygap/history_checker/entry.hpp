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

/// One line of a history, as observe/history wrote it.
struct entry
{
    std::string m_vm;
    std::string m_event;
    instant m_at{};
    std::map<std::string, std::string, std::less<>> m_fields;

    /// Value of a key; empty if the line has none.
    const std::string& text(std::string_view key) const;

    /// Value of a key as a number; 0 if it is none.
    std::int64_t number(std::string_view key) const;
};

/// Reads one log line; nothing if it is no line of a history.
std::optional<entry> parse_entry(std::string_view line);

/// Appends the histories in a log; lines of other kinds are skipped.
void read_entries(std::istream& from, std::vector<entry>& to);

/// Orders the lines of several processes by their instants, ends before starts.
void sort_entries(std::vector<entry>& entries);

} // namespace dragonflygap::history_checker
