#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::placement
{

struct commit_queue_options
{
    duration m_flush_every = 200ms; ///< Shortest time from one transaction to the next.
    duration m_retry_after = 500ms; ///< Pause after a transaction of unknown outcome.
    duration m_call_timeout = 6s;   ///< After it a transaction's outcome counts as unknown.
    std::size_t m_max_rows = 64;    ///< Most rows in a transaction that has several entries.
};

/// Group commit: puts independent entries into shared transactions, one under way at a time, and
/// repeats one of unknown outcome until it is certain whether it took effect. Pure.
///
/// Every value written must be unique, so that it is recognised as one's own on a re-read.
class commit_queue
{
public:
    /// What became of an entry.
    struct settled
    {
        std::uint64_t m_entry = 0;
        bool m_committed = false;
        std::vector<platform::row> m_rows; ///< Of this entry, as they are now, as far as known.
    };

    /// A transaction to be sent.
    struct transaction
    {
        std::uint64_t m_call = 0;
        std::vector<platform::row_write> m_writes;
    };

    explicit commit_queue(commit_queue_options options) : m_options(options) {}

    /// Queues writes that take effect together; gives the entry's number.
    std::uint64_t add(std::vector<platform::row_write> writes);

    /// The next transaction, if it is time for one.
    std::optional<transaction> next(instant now);

    std::vector<settled> answered(std::uint64_t call,
                                  const outcome<platform::commit_result>& result, instant now);

    /// Takes an entry out; false if it may have been written.
    bool withdraw(std::uint64_t entry);

    /// Stops trying an entry whose outcome is unknown; false while it is under way.
    bool abandon(std::uint64_t entry);

    std::size_t size() const { return m_waiting.size() + m_sent.size() + m_doubtful.size(); }

private:
    struct entry
    {
        std::uint64_t m_id = 0;
        std::vector<platform::row_write> m_writes;
        bool m_alone = false; ///< A shared transaction with it met a conflict.
    };

    void retry_later(instant now, bool doubtful);
    void put_back();
    std::vector<settled> settle_all(const platform::commit_result& result, bool committed);

    commit_queue_options m_options;
    std::deque<entry> m_waiting;
    std::vector<entry> m_sent;
    std::vector<entry> m_doubtful; ///< A transaction that may have taken effect: sent as it was.
    bool m_repeated = false;       ///< What is under way was doubtful before.
    std::uint64_t m_last_entry = 0;
    std::uint64_t m_last_call = 0;
    instant m_sent_at{};
    instant m_not_before{};
};

} // namespace dragonflygap::placement
