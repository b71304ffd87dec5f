#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/worker_state.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// What is known about the workers that may run one step. The policy's decision is final; tickets
/// lapse and are requested again.
class step_approval
{
public:
    struct valid_ticket
    {
        std::string m_text;
        instant m_expires_at{};
        bool m_used = false; ///< Sent in a start order.
    };
    std::map<worker_number, valid_ticket> m_tickets;
    std::vector<std::uint64_t> m_calls; ///< Numbers of the calls in flight; made at the same time.

    bool call_in_flight() const { return !m_calls.empty(); }

    void approve(worker_number worker);
    /// Has no effect on a worker that was approved before.
    void deny(worker_number worker);
    /// The worker was removed; its number may be given to another one. True if an unused ticket was
    /// dropped.
    bool forget(worker_number worker);

    bool is_approved(worker_number worker) const { return decided(worker) == decision::approved; }
    bool is_known(worker_number worker) const { return decided(worker) != decision::unknown; }
    /// In the order in which they were approved.
    const std::vector<worker_number>& approved() const { return m_approved; }
    std::size_t denied_count() const { return m_denied_count; }

    /// True until the first call is answered.
    bool no_answer() const { return m_approved.empty() && m_denied_count == 0; }

    /// The worker's ticket if it will still be valid when an order arrives; nullptr otherwise.
    const std::string* find_valid_ticket(worker_number worker, instant now) const;

    /// Replaces the worker's ticket; true if there was one that wasn't used.
    bool set_ticket(worker_number worker, valid_ticket ticket);

    /// True if there was a ticket that wasn't used.
    bool drop_ticket(worker_number worker);

    /// Tickets that weren't used.
    std::size_t held_count() const;

    /// Marks a ticket as used; true if it wasn't used before.
    bool mark_used(worker_number worker);

    /// Drops the tickets that lapse by this time; returns how many of them weren't used.
    std::size_t drop_lapsed(instant by);

private:
    enum class decision : std::uint8_t
    {
        unknown,
        denied,
        approved,
    };

    decision decided(worker_number worker) const
    {
        return worker < m_decisions.size() ? m_decisions[worker] : decision::unknown;
    }
    decision& decision_of(worker_number worker);

    std::vector<decision> m_decisions; ///< By worker; those beyond its end are unknown.
    std::vector<worker_number> m_approved;
    std::size_t m_denied_count = 0;
};

} // namespace dragonflygap::cell
