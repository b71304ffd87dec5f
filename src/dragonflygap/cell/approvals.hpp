#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

/// What is known about the workers that may run one step. The policy's decision is final; tickets
/// lapse and are requested again.
struct step_approval
{
    struct valid_ticket
    {
        std::string m_text;
        instant m_expires_at{};
        bool m_used = false;    ///< Sent in a start order.
        bool m_counted = false; ///< Already counted as lapsed without use.
    };
    std::map<worker_id, valid_ticket> m_tickets;
    std::set<worker_id> m_approved;
    std::set<worker_id> m_denied;
    bool m_call_in_flight = false;
    std::uint64_t m_call = 0; ///< Number of the last call.
    instant m_requested_at{};

    /// True until the first call is answered.
    bool no_answer() const { return m_approved.empty() && m_denied.empty(); }

    /// The worker's ticket if it will still be valid when an order arrives; nullptr otherwise.
    const std::string* find_valid_ticket(const worker_id& worker, instant now) const;

    /// Marks a ticket as used; true if it wasn't used before.
    bool mark_used(const worker_id& worker);

    /// Counts the tickets that lapse by this time without having been used, each one only once.
    std::size_t collect_unused(instant by);
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

    /// The VM that would serve the call first; nothing if the call would wait for longer than
    /// max_wait.
    std::optional<vm_id> choose(duration cost, duration max_wait, instant now);

    void record_call(const vm_id& via, duration cost, instant now);

    /// Applies a VM's report of its own backlog, which includes calls of other leaders.
    void set_backlog_time(const vm_id& via, duration backlog_time, instant now);

    /// Prefers other VMs for a while after this one left a call unanswered.
    void set_unresponsive(const vm_id& via, instant now);

    /// How long a call through this VM would wait before it is served.
    duration queue_delay(const vm_id& via, instant now) const;

private:
    approval_balancer_options m_options;
    std::vector<vm_id> m_members;
    std::map<vm_id, instant> m_busy_until;
};

} // namespace dragonflygap::cell
