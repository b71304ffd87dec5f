#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct approval_balancer_options
{
    duration m_short_call_limit = 40ms; ///< Calls up to this cost may use any VM.
    duration m_long_call_limit = 150ms; ///< Calls above this cost are long ones.
    /// How long a VM that left a call unanswered counts as busy.
    duration m_unresponsive_delay = 1s;
    /// A VM gets no more calls while its overdue ones cost more than this.
    duration m_max_overdue = 100ms;
    /// For how long past calls count in the estimate of the VMs that a kind of calls keeps busy.
    duration m_load_interval = 2s;
    /// VMs kept free of longer calls: at least these, and so many times those that are kept busy.
    std::size_t m_min_kept_free = 2;
    double m_kept_free_factor = 2;
};

/// Distributes calls to the approval service over the VMs, as the service handles one call of each
/// VM at a time. Some VMs are kept free of longer calls, so that shorter ones don't wait behind
/// them: as many as the shorter ones need, at most half of all for long calls and a quarter for
/// medium ones. A VM's queue is known from the calls that it hasn't answered, including
/// those still on the way, so that a leader that reads answers late doesn't ask more of it than it
/// can do. Does no I/O.
class approval_balancer
{
public:
    explicit approval_balancer(approval_balancer_options options) : m_options(options) {}

    /// A VM that is removed loses its calls.
    void set_members(std::vector<vm_id> members);

    /// Number of VMs that may serve a call; calls with the same number use the same VMs.
    std::size_t vm_count(duration cost) const;

    /// The VM that would serve the call first; nothing if the call would wait for longer than
    /// max_wait.
    std::optional<vm_id> choose(duration cost, duration max_wait, instant now) const;

    void record_call(std::uint64_t call, const vm_id& via, duration cost, instant now);

    /// To be called with every answer. The VM reports its own backlog as of then, which may include
    /// calls of other leaders and lacks those on the way.
    void answered(std::uint64_t call, const vm_id& via, duration reported_backlog, instant now);

    /// Gives up a call without an answer, and prefers other VMs for a while.
    void set_unresponsive(std::uint64_t call, const vm_id& via, instant now);

    /// How long a call through this VM would wait before it is served.
    duration queue_delay(const vm_id& via, instant now) const;

private:
    struct open_call
    {
        duration m_cost{};
        instant m_expected_at{}; ///< When the service should have answered.
    };
    struct member
    {
        vm_id m_vm;
        instant m_busy_until{};
        std::map<std::uint64_t, open_call> m_calls; ///< Not answered yet.

        duration delay(instant now) const { return std::max(duration{}, m_busy_until - now); }
        duration open_cost() const;
        duration overdue_cost(instant now) const;
    };

    /// Mean number of VMs that the calls of one kind keep busy.
    struct load_estimate
    {
        double m_busy_vms = 0;
        instant m_as_of{};

        void advance(duration interval, instant now);
    };

    std::size_t kept_free(double busy_vms, std::size_t limit) const;

    /// nullptr if the VM isn't a member.
    member* find(const vm_id& vm);
    const member* find(const vm_id& vm) const;

    approval_balancer_options m_options;
    std::vector<member> m_members; ///< Sorted by VM.
    load_estimate m_short_load;
    load_estimate m_medium_load;
};

} // namespace dragonflygap::cell
