#pragma once

#include <memory>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

/// The state of a request within the scheduler.
enum class stage
{
    waiting,     ///< Queued in its class.
    backing_off, ///< Delayed before a retry.
    running,     ///< Dispatched to a target.
    forwarded,   ///< Sent to a peer.
    ended,       ///< Finished; its remaining queue entries are removed lazily.
};

/// A request with its scheduling state. Queues share it and skip it once its stage has changed.
struct tracked_request
{
    pending_request m_request;
    stage m_stage = stage::waiting;
    target_id m_target; ///< Target of the latest attempt.
    vm_id m_peer;
    instant m_dispatched_at{};
    int m_attempts = 0;
    bool m_was_forwarded = false;
    bool m_may_have_run = false; ///< An earlier attempt, or a peer, may have run it.
    bool m_aborted = false;
    std::size_t m_running_index = 0;        ///< Index in class_state::m_running.
    std::uint64_t m_queue_entry_number = 0; ///< Its latest queue entry; older entries are stale.
};

using tracked_request_ptr = std::shared_ptr<tracked_request>;

} // namespace dragonflygap::request
