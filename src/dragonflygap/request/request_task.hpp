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

/// A message from a peer that concerns requests.
struct from_peer
{
    vm_id m_from;
    std::uint64_t m_incarnation = 0;
    cluster::body m_body;
};
/// Take no further requests; what is queued goes to peers, what runs is waited for.
struct start_draining
{
};
/// The link to a peer certainly did not send a forwarded request.
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
/// What other tasks tell the request task.
using request_message = std::variant<targets_changed, classes_changed, peers_changed, from_peer,
                                     start_draining, forward_not_sent, peer_process_changed,
                                     claim_granted, claim_answered, claim_refused>;
/// What the request task tells the keeper of the claims.
using claim_message = std::variant<claim_requested, claim_ended>;

struct request_task_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    endpoint m_listen;
    std::size_t m_max_body_bytes = 1 << 20;
    duration m_drain_notice = 2s; ///< For the balancer to notice that readyz fails.
    bool m_history = false;
    http_transport m_to_executors;
    http_transport m_probes; ///< To executors as well, a new connection for each call.
    /// Hands a message on to a peer; forward_not_sent reports a link that refuses it.
    std::function<void(vm_id peer, cluster::body body)> m_to_peer;
    /// Asks for a claim, and tells its end; the claim messages above are the answers.
    std::function<void(claim_message message)> m_to_claims;
    /// Tells the control task what peers should know of the load.
    std::function<void(cluster::load_digest load)> m_on_load;
    /// Called once after start_draining, when no request is left.
    std::function<void()> m_on_drained;
};

/// The task between callers and executors: owns their sockets and every request in flight.
class request_task
{
public:
    request_task(event_loop& loop, metrics& counted, request_task_options options);
    ~request_task();
    request_task(const request_task&) = delete;
    request_task& operator=(const request_task&) = delete;

    /// Only from the task's own loop; others use a mailbox.
    void handle(request_message message);

    /// Serves one caller's request, as its server does.
    void serve(http_request request, const http_exchange_ptr& exchange);

    std::uint16_t port() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace request

} // namespace dragonflygap
