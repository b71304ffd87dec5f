#pragma once

#include <memory>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

/// Where a request is on its way through the scheduler.
enum class stage
{
    waiting,     ///< In the queue of its class.
    backing_off, ///< Between two attempts.
    running,     ///< At a target.
    forwarded,   ///< At a peer.
    ended,       ///< Answered; what is left of it in queues is dropped when it is met.
};

/// One request with the scheduler's own notes. Queues share it and check its stage on removal.
struct tracked_request
{
    pending_request m_request;
    stage m_stage = stage::waiting;
    target_id m_target; ///< Of the newest attempt.
    vm_id m_peer;
    instant m_dispatched{};
    int m_attempts = 0;
    bool m_was_forwarded = false;
    bool m_may_have_run = false; ///< Some attempt may have taken effect.
    bool m_aborted = false;
    std::size_t m_running_index = 0; ///< Place among the running requests of its class.
    std::uint64_t m_queue_entry = 0; ///< Its newest entry in a queue; older ones are void.
};

using tracked_request_ptr = std::shared_ptr<tracked_request>;

} // namespace dragonflygap::request
