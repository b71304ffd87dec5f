#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dragonflygap/core/verdict.hpp"

/// Ports for the platform's services.
namespace dragonflygap::platform
{

/// A row of the transactional table. Every write increases its version; 0 means no row.
struct row
{
    std::string m_key;
    std::uint64_t m_version = 0;
    std::string m_value;
};

/// One write of a transaction, which takes effect only if the row has the expected version.
struct row_write
{
    std::string m_key;
    std::uint64_t m_expected_version = 0;
    std::optional<std::string> m_value; ///< nullopt: delete the row.
};

/// Result of an answered transaction.
struct commit_result
{
    bool m_committed = false;
    std::vector<row> m_rows; ///< The rows written, or the conflicting ones.
};

using read_done = std::function<void(outcome<std::vector<row>>)>;
using commit_done = std::function<void(outcome<commit_result>)>;

/// The platform's transactional table. Every call runs its callback once, later, in the task's
/// event loop.
///
/// A commit that fails with may_have_run may have taken effect: read the rows again to find out.
struct table_port
{
    /// Reads the rows whose keys start with a prefix, ordered by key.
    std::function<void(std::string prefix, read_done done)> m_scan;

    /// Applies all writes or none.
    std::function<void(std::vector<row_write> writes, commit_done done)> m_commit;
};

} // namespace dragonflygap::platform
