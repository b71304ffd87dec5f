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
    duration m_flush_interval = 200ms; ///< Minimum time between transactions.
    duration m_retry_delay = 500ms;    ///< After a failure or an unknown outcome.
    duration m_call_timeout = 6s;      ///< After this, the outcome is unknown.
    std::size_t m_max_rows = 64;       ///< In a transaction of several entries.
};

/// Group commit: batches independent entries into transactions, one in flight at a time, and
/// retries a transaction of unknown outcome until it is certain whether it took effect. Performs no
/// I/O.
///
/// Every value written must be unique, so that it can be recognised as the caller's own.
class commit_queue
{
public:
    /// Final result of an entry.
    struct completion
    {
        std::uint64_t m_entry = 0;
        bool m_committed = false;
        std::vector<platform::row> m_rows; ///< Current rows of this entry, as far as known.
    };

    /// A transaction to send.
    struct transaction
    {
        std::uint64_t m_call = 0;
        std::vector<platform::row_write> m_writes;
    };

    explicit commit_queue(commit_queue_options options) : m_options(options) {}

    /// Queues writes that take effect together; returns the entry's number.
    std::uint64_t add(std::vector<platform::row_write> writes);

    /// Returns the next transaction, if one is due.
    std::optional<transaction> next(instant now);

    std::vector<completion>
    handle_result(std::uint64_t call, const outcome<platform::commit_result>& result, instant now);

    /// Removes an entry that certainly wasn't written; otherwise returns false.
    bool withdraw(std::uint64_t entry);

    /// Removes an entry, even if it may have been written; returns false while it is in flight.
    bool abandon(std::uint64_t entry);

    std::size_t size() const { return m_pending.size() + m_in_flight.size() + m_uncertain.size(); }

private:
    struct entry
    {
        std::uint64_t m_id = 0;
        std::vector<platform::row_write> m_writes;
        bool m_isolated = false; ///< Sent alone, after a conflict in a shared transaction.
    };

    void retry_later(instant now, bool uncertain);
    void requeue();
    std::vector<completion> complete_all(const platform::commit_result& result, bool committed);

    commit_queue_options m_options;
    std::deque<entry> m_pending;
    std::vector<entry> m_in_flight;
    std::vector<entry> m_uncertain; ///< May have taken effect: resent unchanged.
    bool m_retrying = false;        ///< What is in flight was uncertain before.
    std::uint64_t m_last_entry = 0;
    std::uint64_t m_last_call = 0;
    instant m_sent_at{};
    instant m_not_before{};
};

} // namespace dragonflygap::placement
