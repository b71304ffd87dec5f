#pragma once

#include <functional>
#include <memory>
#include <variant>
#include <vector>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/net/transport.hpp"
#include "dragonflygap/request/key_claims.hpp"
#include "dragonflygap/request/request.hpp"

namespace dragonflygap
{

class event_loop;
class metrics;

namespace request
{

/// A request-related message from a peer.
struct from_peer
{
    vm_id m_from;
    std::uint64_t m_incarnation = 0;
    cluster::body m_body;
};
/// Refuse new requests, forward queued ones to peers and wait for running ones.
struct start_draining
{
};
/// A forwarded request was definitely not sent to the peer.
struct forward_not_sent
{
    std::uint64_t m_call = 0;
};
/// A peer's process has started, ended or been replaced.
struct peer_process_changed
{
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    bool m_dead = false;
};
/// Messages to the request task.
using request_message = std::variant<targets_changed, classes_changed, peers_changed, from_peer,
                                     start_draining, forward_not_sent, peer_process_changed,
                                     claim_granted, claim_answered, claim_refused>;
/// Messages from the request task to the owner of key_claims.
using claim_message = std::variant<claim_requested, claim_ended>;

struct request_task_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    endpoint m_listen;
    std::size_t m_max_body_bytes = 1 << 20;
    http_limits m_limits;
    duration m_drain_delay = 2s; ///< Time for the load balancer to see that readyz fails.
    bool m_history = false;
    http_transport m_to_executors;
    http_transport m_probes; ///< Also to executors; opens a new connection for each call.
    /// Sends a message to a peer. If it can't be sent, forward_not_sent must be reported.
    std::function<void(vm_id peer, cluster::body body)> m_to_peer;
    /// Requests or ends a claim; answered by claim_granted, claim_answered or claim_refused.
    std::function<void(claim_message message)> m_to_claims;
    /// Receives the load digest to be sent to peers.
    std::function<void(cluster::load_digest load)> m_on_load;
    /// Called after start_draining whenever no request is in flight.
    std::function<void()> m_on_drained;
};

/// Serves callers by calling executors: owns all their sockets and the requests in flight.
class request_task
{
public:
    request_task(event_loop& loop, metrics& registry, request_task_options options);
    ~request_task();
    request_task(const request_task&) = delete;
    request_task& operator=(const request_task&) = delete;

    /// Must be called from the task's event loop; other threads use a mailbox.
    void handle(request_message message);

    /// Handles a caller's request as if the HTTP server had received it.
    void serve(http_request request, const http_exchange_ptr& exchange);

    std::uint16_t port() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace request

} // namespace dragonflygap
