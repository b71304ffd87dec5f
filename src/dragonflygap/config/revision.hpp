#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflygap::config
{

/// A configuration document as stored in the platform's table.
struct revision
{
    std::uint64_t m_number = 0; ///< Starts at 1.
    std::string m_change;       ///< Id of the change, unique across all entry VMs.
    std::string m_text;
};

/// Row with the number of the active revision; its row version serialises all changes.
inline constexpr std::string_view head_key = "config/head";

/// Prefix of the rows with the latest revisions, including the active one.
inline constexpr std::string_view history_prefix = "config/history/";

/// Number of revisions in the history; their rows are reused in a ring.
inline constexpr std::uint64_t revision_limit = 64;

/// Row that holds a revision until a later one overwrites it.
std::string history_key(std::uint64_t number);

/// Parses the value of the head row; 0 if it is malformed.
std::uint64_t parse_head(std::string_view value);

/// Encodes a revision as the value of a history row.
std::string encode_revision(const revision& value);

/// Decodes the value of a history row; nullopt if it is malformed.
std::optional<revision> decode_revision(std::string_view value);

} // namespace dragonflygap::config
