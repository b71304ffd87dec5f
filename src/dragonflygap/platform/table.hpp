#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dragonflygap/core/verdict.hpp"

/// What the platform's service offers, as this project uses it.
namespace dragonflygap::platform
{

/// A row of the transactional table. Its version grows with every write; 0 means no row.
struct row
{
    std::string m_key;
    std::uint64_t m_version = 0;
    std::string m_value;
};

/// Part of a transaction: takes effect only if the row still has the expected version.
struct row_write
{
    std::string m_key;
    std::uint64_t m_expected_version = 0;
    std::optional<std::string> m_value; ///< Nothing: delete the row.
};

/// What became of a transaction that was answered.
struct commit_result
{
    bool m_committed = false;
    std::vector<row> m_rows; ///< The rows written, or those that had another version.
};

using read_done = std::function<void(outcome<std::vector<row>>)>;
using commit_done = std::function<void(outcome<commit_result>)>;

/// The platform's transactional table. Hooks answer once, later, in the loop of the task.
///
/// A commit that fails with may_have_run may have taken effect: read the rows again to know.
struct table_port
{
    /// Rows whose keys start with a prefix, in order of their keys.
    std::function<void(std::string prefix, read_done done)> m_scan;

    /// All writes together or none.
    std::function<void(std::vector<row_write> writes, commit_done done)> m_commit;
};

} // namespace dragonflygap::platform
