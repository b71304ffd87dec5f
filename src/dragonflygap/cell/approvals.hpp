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

/// What is known of the workers that may run one step. The policy's decision never changes;
/// tickets lapse and are asked for again.
struct step_approval
{
    struct valid_ticket
    {
        std::string m_text;
        instant m_until{};
        bool m_used = false; ///< By an order to start.
        bool m_told = false; ///< It was counted as unused.
    };
    std::map<worker_id, valid_ticket> m_tickets;
    std::set<worker_id> m_approved;
    std::set<worker_id> m_denied;
    bool m_call_in_flight = false;
    std::uint64_t m_call = 0; ///< The last call.
    instant m_asked_at{};

    bool never_asked() const { return m_approved.empty() && m_denied.empty(); }

    /// A ticket that is valid until an order has arrived; nullptr if there is none.
    const std::string* usable(const worker_id& worker, instant now) const;

    /// Notes the use of a ticket; true if it is the first one.
    bool mark_used(const worker_id& worker);

    /// How many tickets have lapsed by then without a use; each is told once.
    std::size_t take_unused(instant by);
};

struct approval_desk_options
{
    duration m_short_call = 40ms; ///< Calls up to it go through any VM.
    duration m_long_call = 150ms; ///< Calls beyond it go through one half of the VMs.
    duration m_silence_rest = 1s; ///< A VM that left a call unanswered is taken for busy so long.
};

/// Spreads calls to the approval service over the VMs: it serves each of them one call at a time.
/// Long calls use one half of the VMs, middling ones three quarters, so that short ones needn't
/// wait behind them. Pure.
class approval_desk
{
public:
    explicit approval_desk(approval_desk_options options) : m_options(options) {}

    void set_members(std::vector<vm_id> members);

    /// The VM through which a call would be served first; nothing if the wait would be longer
    /// than the limit.
    std::optional<vm_id> choose(duration cost, duration longest_wait, instant now);

    void asked(const vm_id& through, duration cost, instant now);

    /// Takes a VM's own account of what it still waits for, calls for other leaders included.
    void set_queued(const vm_id& through, duration queued, instant now);

    /// A VM left a call unanswered: others are asked first for a while.
    void set_silent(const vm_id& through, instant now);

    /// How long a call through this VM would wait.
    duration wait(const vm_id& through, instant now) const;

private:
    approval_desk_options m_options;
    std::vector<vm_id> m_members;
    std::map<vm_id, instant> m_busy_until;
};

} // namespace dragonflygap::cell
