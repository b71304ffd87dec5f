#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct change_watch_options
{
    duration m_wait = 1s; ///< How long the store holds back the answer to a waiting read.
    duration m_answer_delay = 300ms; ///< Answers that take longer after the wait are overdue.
    duration m_full_read_time = 3s;  ///< Of all rows, page by page; overdue after it.
    duration m_timeout = 1500ms;     ///< After the wait; a slow store still answers.
    duration m_retry_delay = 300ms;  ///< After a refusal.
    std::size_t m_max_reads = 3;     ///< In flight.
    /// Between reads that are up to date, as a table that changes all the time answers at once.
    duration m_min_interval{};
};

/// Answers that were applied, since the watch was made.
struct change_watch_counts
{
    std::uint64_t m_answers = 0;
    std::uint64_t m_rows = 0;
    std::uint64_t m_parts = 0;      ///< Answers that may have left out later changes.
    std::uint64_t m_full_reads = 0; ///< Answers with all rows of the table.
};

/// Follows the changes of one table of the store by reads that wait for a change. A read whose
/// answer is overdue is repeated beside it on a new connection, without waiting, until one is
/// answered: so a lost answer, or connections that went silent, delay a change by little more than
/// the wait. A reader that is behind reads all rows once that is less than the history. Answers the
/// load of a table whose rows all change each few seconds, at any speed of the reader. Does no I/O.
class change_watch
{
public:
    explicit change_watch(change_watch_options options) : m_options(options) {}

    /// The next read, if one is due. To be called several times a second, and after each answer.
    std::optional<table_read> next(instant now);

    /// True if the answer's changes are to be applied; false if it has none, or later ones are
    /// known.
    bool answered(std::uint64_t read, const read_extent& extent, instant now);
    void failed(std::uint64_t read, bool refused, instant now);

    /// All changes up to this time are known.
    instant confirmed_at() const { return m_confirmed_at; }

    /// The last reads weren't answered in time.
    bool overdue() const { return m_overdue > 0; }

    std::uint64_t position() const { return m_position; }
    const change_watch_counts& counts() const { return m_counts; }

private:
    struct sent_read
    {
        instant m_at{};
        duration m_wait{};
        std::uint64_t m_position = 0;
    };

    table_read send(duration wait, bool new_connection, instant now);
    void read_on(std::size_t rows);

    change_watch_options m_options;
    std::map<std::uint64_t, sent_read> m_reads; ///< In flight, by number.
    std::uint64_t m_last_read = 0;
    std::uint64_t m_position = 0;  ///< Of the store's changes that are applied.
    bool m_read_all = true;        ///< The next read is of all rows.
    std::size_t m_table_rows = 0;  ///< When all rows were last read.
    std::size_t m_rows_behind = 0; ///< Read since the answers ceased to be up to date.
    int m_overdue = 0;             ///< Reads in a row that weren't answered in time.
    instant m_not_before{};
    instant m_sent_at{}; ///< Of the last read.
    instant m_confirmed_at{};
    change_watch_counts m_counts;
};

} // namespace dragonflygap::cell
