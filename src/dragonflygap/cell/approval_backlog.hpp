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
    int m_most_sent = 2; ///< One is served, one more keeps the service busy between two.
};

/// Calls to the approval service that one VM has still to make. The service serves each VM's calls
/// one after another, and goes on with those that nobody waits for any more; so calls wait here,
/// where they can be dropped. Pure.
class approval_backlog
{
public:
    struct entry
    {
        vm_id m_from;
        approval_call m_call;
        instant m_expires{};
        instant m_arrived_at{};
    };

    explicit approval_backlog(approval_backlog_options options) : m_options(options) {}

    /// Adds a leader's call. Calls of earlier leaders and an earlier one for the same step are
    /// dropped if they weren't sent yet.
    void add(const vm_id& from, const approval_call& call, instant now);

    /// The next call to be sent, if one may be.
    std::optional<entry> next();

    /// A call that was sent has its answer, or none is awaited any more.
    void finished(const approval_call& call);

    /// Removes the calls that weren't sent in time.
    std::vector<entry> take_expired(instant now);

    /// How long the service will be busy with what was sent and what waits.
    duration backlog_time() const;

private:
    approval_backlog_options m_options;
    std::deque<entry> m_waiting;
    int m_sent = 0;
    duration m_sent_cost{};
    std::uint64_t m_epoch = 0;
};

} // namespace dragonflygap::cell
