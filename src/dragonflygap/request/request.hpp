#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "dragonflygap/config/document.hpp"
#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/core/verdict.hpp"

/// The way of a request: admission, queue, dispatch to a slot of an executor, answer.
namespace dragonflygap::request
{

/// What the scheduler knows of a request; its body stays with the task that holds the connection.
struct pending_request
{
    request_id m_id;
    caller_id m_caller;
    class_id m_class;
    idempotency_key m_key; ///< Empty if the caller gave none.
    bool m_idempotent = true;
    std::uint32_t m_hops = 0; ///< How often it was forwarded between entry VMs.
    instant m_arrived_at{};
    instant m_deadline{};
};

/// An executor that this entry VM may dispatch to: the one owner of its slots.
struct target
{
    target_id m_id;
    worker_id m_worker;
    endpoint m_address;
    int m_slots = 0;
    int m_connections = 0;
    bool m_leaving = false;
};

/// What is known of a peer's room.
struct peer_load
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint32_t m_free_slots = 0;
    std::uint32_t m_queued = 0;
    instant m_updated_at{};
};

struct request_submitted
{
    pending_request m_request;
};
/// An attempt at a target was answered or failed, or the peer answered a forwarded request.
/// The caller of an answered request has its answer; a failure is still to be answered.
struct request_ended
{
    request_id m_id;
    outcome<void> m_outcome;
    bool m_slot_free = true; ///< False: the target may still run it; slot_freed comes later.
};
/// The target certainly no longer runs a request that ended with m_slot_free = false.
struct slot_freed
{
    request_id m_id;
};
/// A peer refused or lost a forwarded request.
struct forward_failed
{
    request_id m_id;
    failure m_failure;
};
/// This entry VM leaves: hand queued requests to peers with room, serve the others, take no new.
struct drain_started
{
};
/// The caller hung up or cancelled.
struct request_cancelled
{
    request_id m_id;
};
struct targets_changed
{
    std::vector<target> m_targets;
};
struct classes_changed
{
    std::vector<config::request_class> m_classes;
    std::vector<config::caller_weight> m_callers;
};
struct peers_changed
{
    std::vector<peer_load> m_peers;
};
struct scheduler_tick
{
};
using scheduler_event = std::variant<request_submitted, request_ended, slot_freed, forward_failed,
                                     drain_started, request_cancelled, targets_changed,
                                     classes_changed, peers_changed, scheduler_tick>;

/// Send the request to a target now.
struct dispatch_request
{
    request_id m_id;
    target_id m_target;
    endpoint m_address;
    instant m_deadline{};
    int m_attempt = 1;
};
/// Answer the caller: the request was never sent to a target.
struct refuse_request
{
    request_id m_id;
    failure m_failure;
};
/// Answer the caller: the last attempt failed and there is no other.
struct fail_request
{
    request_id m_id;
    failure m_failure;
};
/// Hand the request to a peer that has room.
struct forward_request
{
    request_id m_id;
    vm_id m_peer;
};
/// Stop the call to the target or the peer; nobody waits for it any more. No other action follows;
/// the task reports request_ended when it knows about the slot.
struct abort_request
{
    request_id m_id;
};
using scheduler_action =
    std::variant<dispatch_request, refuse_request, fail_request, forward_request, abort_request>;

} // namespace dragonflygap::request
