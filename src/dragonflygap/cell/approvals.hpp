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
    bool m_call_in_flight = false;
    std::uint64_t m_call = 0; ///< Number of the last call.
    instant m_requested_at{};

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

struct approval_balancer_options
{
    duration m_short_call_limit = 40ms; ///< Calls up to this cost may use any VM.
    duration m_long_call_limit = 150ms; ///< Calls above this cost use half of the VMs.
    /// How long a VM that left a call unanswered counts as busy.
    duration m_unresponsive_delay = 1s;
};

/// Distributes calls to the approval service over the VMs, as the service handles one call of each
/// VM at a time. Long calls use half of the VMs and medium ones three quarters, so that short calls
/// don't wait behind them. Does no I/O.
class approval_balancer
{
public:
    explicit approval_balancer(approval_balancer_options options) : m_options(options) {}

    void set_members(std::vector<vm_id> members);

    /// Number of VMs that may serve a call; calls with the same number use the same VMs.
    std::size_t vm_count(duration cost) const;

    /// The VM that would serve the call first; nothing if the call would wait for longer than
    /// max_wait.
    std::optional<vm_id> choose(duration cost, duration max_wait, instant now) const;

    void record_call(const vm_id& via, duration cost, instant now);

    /// Applies a VM's report of its own backlog, which includes calls of other leaders.
    void set_backlog_time(const vm_id& via, duration backlog_time, instant now);

    /// Prefers other VMs for a while after this one left a call unanswered.
    void set_unresponsive(const vm_id& via, instant now);

    /// How long a call through this VM would wait before it is served.
    duration queue_delay(const vm_id& via, instant now) const;

private:
    approval_balancer_options m_options;
    struct member
    {
        vm_id m_vm;
        instant m_busy_until{};
    };

    /// nullptr if the VM isn't a member.
    member* find(const vm_id& vm);
    const member* find(const vm_id& vm) const;

    std::vector<member> m_members; ///< Sorted by VM.
};

} // namespace dragonflygap::cell
