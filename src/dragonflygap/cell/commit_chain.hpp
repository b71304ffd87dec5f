#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/records.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct commit_chain_options
{
    duration m_min_interval = 20ms;   ///< Between transactions, so that more changes share one.
    duration m_idle_interval = 200ms; ///< The leader's row is rewritten this often without changes.
    duration m_check_delay = 60ms; ///< Without an answer for this long (six typical latencies) the
                                   ///< leader's row is read. Grows with the store's latency.
    int m_max_attempts_in_flight = 3; ///< Each one holds a connection until its timeout.
    duration m_initial_backoff = 50ms;
    duration m_max_backoff = 400ms;
};

/// Sends a leader's transactions one at a time. Each one requires that the previous one was the
/// last to write the leader's row. So a transaction that arrives late, or whose answer was lost,
/// can't overwrite a later one, and a new leader's epoch ends the chain. Does no I/O.
class commit_chain
{
public:
    enum class status
    {
        committed,
        retry,    ///< Result unknown: resend the same transaction at retry_at().
        pending,  ///< Undecided: waits for the answer to another attempt.
        refused,  ///< No attempt had any effect: the transaction is dropped and has to be rebuilt.
        conflict, ///< Conditions other than the chain's own failed: rebuild it without them.
        rejected, ///< The store will never accept it, so it has to be built otherwise. Dropped.
        deposed,  ///< Another leader has written the row.
    };

    commit_chain(commit_chain_options options, leader_record self, std::uint64_t version);

    /// True if a new transaction may begin.
    bool idle(instant now) const
    {
        return !m_in_flight && now >= m_begun_at + m_options.m_min_interval && now >= m_not_before;
    }

    /// True if the leader's row has to be rewritten although nothing has changed.
    bool due(instant now) const
    {
        return idle(now) && now >= m_begun_at + m_options.m_idle_interval;
    }

    /// Adds the condition and write of the leader's row; returns the transaction to send.
    const transaction& begin(transaction change, instant now);

    /// Identifies the transaction, including those that were dropped.
    std::uint64_t number() const { return m_number; }

    /// True if the transaction with this number is in flight; other answers have to be ignored.
    bool expects(std::uint64_t number) const { return m_in_flight && number == m_number; }

    /// Applies the answer to one attempt of the transaction in flight.
    status apply_answer(const outcome<transaction_result>& result, instant now);

    /// When to resend the transaction in flight; nothing while an answer is awaited.
    std::optional<instant> retry_at() const { return m_retry_at; }
    const transaction& resend(instant now);

    /// When to read the leader's row because the answer may be lost. The row shows whether the
    /// transaction took effect, and a read doesn't queue behind the store's writes.
    std::optional<instant> check_at() const { return m_check_at; }
    void record_check(instant now);
    /// Applies the row that was read.
    status apply_row(const outcome<stored_row>& row, instant now);

    const leader_record& record() const { return m_record; }
    /// When the store last answered a transaction, with a commit or a conflict.
    instant last_success_at() const { return m_last_success_at; }
    /// No other leader had written the row at this time. An answer may be read much later, so it
    /// counts from the beginning of its transaction, or from the sending of a read.
    instant confirmed_at() const { return m_confirmed_at; }

private:
    void drop();
    void clear();
    void schedule_check(instant now);
    status committed(std::uint64_t version, instant now);

    commit_chain_options m_options;
    leader_record m_record;
    std::uint64_t m_version;
    std::optional<transaction> m_in_flight;
    std::uint64_t m_number = 0;
    int m_attempts_in_flight = 0; ///< Attempts that haven't been answered yet.
    std::optional<instant> m_retry_at;
    std::optional<instant> m_check_at;
    instant m_check_sent_at{};
    duration m_typical_latency{}; ///< From begin() to the answer; a lost answer hardly raises it.
    duration m_backoff{};
    bool m_certainly_not_run = true; ///< Every attempt so far was refused.
    instant m_not_before{};          ///< Backoff after refusals.
    instant m_begun_at{};
    instant m_last_success_at{};
    instant m_confirmed_at{};
};

} // namespace dragonflygap::cell
