#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "dragonflygap/config/revision.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::config
{

struct change_options
{
    std::string m_id; ///< Unique; identifies this change's own write after a lost reply.
    std::uint64_t m_expected = 0; ///< Revision that the operator based the change on.
    std::string m_text;           ///< Already validated.
    duration m_timeout = 10s;     ///< Afterwards the result is reported as unknown.
};

struct change_started
{
};
struct change_rows_read
{
    outcome<std::vector<platform::row>> m_rows;
};
struct change_committed
{
    outcome<platform::commit_result> m_result;
};
using change_event = std::variant<change_started, change_rows_read, change_committed>;

/// After the delay, read all rows that start with the prefix, then report change_rows_read.
struct read_change_rows
{
    std::string m_prefix;
    duration m_delay{};
};
/// Commit, then report change_committed.
struct commit_change
{
    std::vector<platform::row_write> m_writes;
};
/// The result of the change is known, or its timeout has passed.
struct change_settled
{
    /// The revision that this change made active; reason conflict: another one is active.
    outcome<revision> m_result;
};
using change_action = std::variant<read_change_rows, commit_change, change_settled>;

/// State machine of one configuration change, from its start until its result is known. Pure.
///
/// After a lost reply the rows are read again, as each revision carries the id of its change. While
/// the head row is unchanged, the same commit is retried, since the lost one may still take effect.
class change
{
public:
    explicit change(change_options options) : m_options(std::move(options)) {}

    std::vector<change_action> handle(const change_event& event, instant now);

private:
    using actions = std::vector<change_action>;

    void on(const change_started& event, instant now, actions& out);
    void on(const change_rows_read& event, instant now, actions& out);
    void on(const change_committed& event, instant now, actions& out);

    void read_rows(duration delay, actions& out);
    void on_head(std::span<const platform::row> rows, actions& out);
    void on_slot(std::span<const platform::row> rows, actions& out);
    void commit(actions& out);
    void report_conflict(actions& out);
    void retry_or_give_up(const failure& error, instant now, actions& out);

    change_options m_options;
    instant m_started{};
    bool m_may_have_committed = false; ///< A commit was sent and may have taken effect.
    bool m_reading_slot = false;       ///< Reading the history row, else the head row.
    std::uint64_t m_head_version = 0;
    std::uint64_t m_head = 0;         ///< Number of the active revision.
    std::uint64_t m_slot_version = 0; ///< Row version of the history row to be written.
};

} // namespace dragonflygap::config
