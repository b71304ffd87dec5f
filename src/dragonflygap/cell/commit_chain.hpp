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

    status finish(const outcome<transaction_result>& result, instant now);

    /// When the transaction in flight is to be sent again; nothing while an answer is awaited.
    std::optional<instant> retry_at() const { return m_retry_at; }
    const transaction& again();

    const leader_record& record() const { return m_record; }
    instant last_success() const { return m_last_success; }

private:
    void drop();

    commit_chain_options m_options;
    leader_record m_record;
    std::uint64_t m_version;
    std::optional<transaction> m_sent;
    std::optional<instant> m_retry_at;
    duration m_backoff{};
    bool m_surely_not_done = true; ///< So far: every try was refused.
    instant m_not_before{};        ///< After refusals.
    instant m_last{};
    instant m_last_success{};
};

} // namespace dragonflygap::cell
