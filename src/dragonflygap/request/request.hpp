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

/// Admits caller requests, queues them, dispatches them to executor slots and returns the answers.
namespace dragonflygap::request
{

/// The scheduler's description of a request. The body stays with the task that owns the connection.
struct pending_request
{
    request_id m_id;
    caller_id m_caller;
    class_id m_class;
    idempotency_key m_key; ///< Empty if the caller sent none.
    bool m_idempotent = true;
    std::uint32_t m_hops = 0; ///< Number of times it was forwarded between entry VMs.
    instant m_arrived_at{};
    instant m_deadline{};
};

/// An executor whose slots this entry VM owns exclusively.
struct target
{
    target_id m_id;
    worker_id m_worker;
    endpoint m_address;
    int m_slots = 0;
    int m_connections = 0;
    bool m_leaving = false;
};

/// The last known load of a peer.
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
/// An attempt at a target succeeded or failed, or a peer answered a forwarded request. On success
/// the caller already has its answer; on failure the scheduler decides how to continue.
struct request_ended
{
    request_id m_id;
    outcome<void> m_outcome;
    bool m_slot_free = true; ///< False: the target may still run it; slot_freed follows.
};
/// The slot of a request that ended with m_slot_free = false is free again.
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
/// This entry VM shuts down: refuse new requests; forward queued ones to peers or finish them.
struct drain_started
{
};
/// The caller disconnected or cancelled the request.
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

/// Send the request to a target.
struct dispatch_request
{
    request_id m_id;
    target_id m_target;
    endpoint m_address;
    instant m_deadline{};
    int m_attempt = 1;
};
/// Answer the caller with an error: the request was never sent to a target.
struct refuse_request
{
    request_id m_id;
    failure m_failure;
};
/// Answer the caller with an error: the last attempt failed and there will be no retry.
struct fail_request
{
    request_id m_id;
    failure m_failure;
};
/// Forward the request to a peer with free slots.
struct forward_request
{
    request_id m_id;
    vm_id m_peer;
};
/// Cancel the call to the target or peer because nobody waits for its answer. No further action
/// follows for the request; request_ended must report whether the slot is free.
struct abort_request
{
    request_id m_id;
};
using scheduler_action =
    std::variant<dispatch_request, refuse_request, fail_request, forward_request, abort_request>;

} // namespace dragonflygap::request
