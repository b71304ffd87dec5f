#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflygap::config
{

/// A document as the platform's table keeps it.
struct revision
{
    std::uint64_t m_number = 0; ///< 1 for the first document that was applied.
    std::string m_change;       ///< Names the change, unique among all entry VMs.
    std::string m_text;
};

/// Row with the number of the revision in force; every change goes through its version.
inline constexpr std::string_view head_key = "config/head";

/// Prefix of the rows that keep the latest revisions, the one in force among them.
inline constexpr std::string_view history_prefix = "config/history/";

/// How many revisions are kept; their rows are used again and again.
inline constexpr std::uint64_t kept_revisions = 64;

/// Row that keeps a revision until a later one takes its place.
std::string history_key(std::uint64_t number);

/// Reads the value of the head row; 0 if it is something else.
std::uint64_t parse_head(std::string_view value);

/// Value of a row.
std::string write_revision(const revision& value);

/// Reads what write_revision wrote; nothing if the value is something else.
std::optional<revision> read_revision(std::string_view value);

} // namespace dragonflygap::config
