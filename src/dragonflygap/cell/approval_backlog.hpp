#pragma once

#include <deque>
#include <optional>
#include <vector>

#include "dragonflygap/cell/peer_messages.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct approval_backlog_options
{
    /// While the service handles one call, the second one waits there, so that it is never idle.
    int m_max_in_flight = 2;
};

/// Calls to the approval service that one VM still has to make. The service handles each VM's calls
/// one at a time and doesn't skip those that were abandoned, so calls wait here, where they can be
/// dropped. Does no I/O.
class approval_backlog
{
public:
    struct entry
    {
        vm_id m_from;
        approval_call m_call;
        instant m_expires_at{};
        instant m_arrived_at{};
    };

    explicit approval_backlog(approval_backlog_options options) : m_options(options) {}

    /// Adds a leader's call. Drops calls of earlier leaders and an earlier call for the same step,
    /// unless they are in flight.
    void add(const vm_id& from, const approval_call& call, instant now);

    /// The next call to send; nothing if the backlog is empty or enough calls are in flight.
    std::optional<entry> next();

    /// To be called when a call in flight was answered or timed out.
    void finished(const approval_call& call);

    /// Removes and returns the calls that expired before they were sent.
    std::vector<entry> remove_expired(instant now);

    /// How long the service needs for all calls that are in flight or waiting.
    duration backlog_time() const;

private:
    approval_backlog_options m_options;
    std::deque<entry> m_waiting;
    int m_in_flight = 0;
    duration m_in_flight_cost{};
    std::uint64_t m_epoch = 0;
};

} // namespace dragonflygap::cell
