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
    duration m_gap = 20ms;         ///< Least time between two transactions: more share a call.
    duration m_idle_limit = 200ms; ///< Without changes the leader's row is still rewritten.
    duration m_check_after = 60ms; ///< Without an answer for longer (six times a usual one), the
                                   ///< leader's row is read; a slow store gets longer.
    int m_most_tries = 3;          ///< At a time: each takes a connection until its timeout.
    duration m_first_backoff = 50ms;
    duration m_longest_backoff = 400ms;
};

/// Sends a leader's transactions one after another, each under the condition that the one before
/// it was the last to write the leader's row. So a transaction that was answered late or never
/// can't overwrite a later one, and another leader's epoch ends the chain. Pure.
class commit_chain
{
public:
    enum class status
    {
        committed,
        retry,    ///< Unknown: send the same transaction again at retry_at().
        pending,  ///< Nothing is settled yet: an answer to another try is awaited.
        refused,  ///< No try of it has had any effect: it is dropped, build it anew.
        conflict, ///< Conditions other than the chain's own failed: build it anew without them.
        deposed,  ///< Another leader has written the row.
    };

    commit_chain(commit_chain_options options, leader_record self, std::uint64_t version);

    /// True if a transaction may be built now.
    bool idle(instant now) const
    {
        return !m_sent && now >= m_last + m_options.m_gap && now >= m_not_before;
    }

    /// True if the row should be rewritten though nothing has changed.
    bool due(instant now) const { return idle(now) && now >= m_last + m_options.m_idle_limit; }

    /// Adds the chain's own condition and write; the result is to be sent.
    const transaction& begin(transaction change, instant now);

    /// Tells transactions apart, also those that were dropped.
    std::uint64_t number() const { return m_number; }

    /// True if the transaction of this number is in flight; other answers are to be ignored.
    bool expects(std::uint64_t number) const { return m_sent && number == m_number; }

    /// Takes the answer to one try of the transaction in flight.
    status finish(const outcome<transaction_result>& result, instant now);

    /// When the transaction in flight is to be sent again; nothing while an answer is awaited.
    std::optional<instant> retry_at() const { return m_retry_at; }
    const transaction& again(instant now);

    /// When the leader's row is to be read, for an answer that may be lost for good: the row tells
    /// whether the transaction took effect, and a read doesn't queue behind the store's writes.
    std::optional<instant> check_at() const { return m_check_at; }
    void check_sent(instant now);
    /// Takes the row that was read.
    status found(const outcome<stored_row>& row, instant now);

    const leader_record& record() const { return m_record; }
    instant last_success() const { return m_last_success; }

private:
    void drop();
    void check_later(instant now);
    status committed(std::uint64_t version, instant now);

    commit_chain_options m_options;
    leader_record m_record;
    std::uint64_t m_version;
    std::optional<transaction> m_sent;
    std::uint64_t m_number = 0;
    int m_tries = 0; ///< Without an answer so far.
    std::optional<instant> m_retry_at;
    std::optional<instant> m_check_at;
    instant m_check_sent{};
    duration m_usual_took{}; ///< From begin() to the answer; a lost answer hardly raises it.
    duration m_backoff{};
    bool m_surely_not_done = true; ///< So far: every try was refused.
    instant m_not_before{};        ///< After refusals.
    instant m_last{};
    instant m_last_success{};
};

} // namespace dragonflygap::cell
