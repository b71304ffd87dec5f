#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/config/settings.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/net/transport.hpp"
#include "dragonflygap/request/request_task.hpp"

namespace dragonflygap
{

class event_loop;
class metrics;

namespace daemon
{

/// The request task's newest load, for the heartbeats.
struct load_changed
{
    cluster::load_digest m_load;
};
/// A message of the request task for a peer.
struct to_peer
{
    vm_id m_peer;
    cluster::body m_body;
};
/// No request is left in the request task.
struct requests_drained
{
};
/// The process was told to end.
struct stop_requested
{
};
/// A message came in that the peer link didn't carry.
struct peer_bytes
{
    std::string m_bytes;
};
/// What other tasks tell the control task.
using control_message = std::variant<load_changed, to_peer, requests_drained, stop_requested,
                                     peer_bytes, request::claim_message>;

struct control_task_options
{
    config::settings m_settings;
    std::uint64_t m_incarnation = 0;
    endpoint m_platform;
    std::function<void(request::request_message)> m_to_requests;
    std::function<void()> m_on_stopped; ///< Everything was handed over; end the process.
    /// Carries messages to peers in place of the peer link; see member_driver_options.
    std::function<bool(const vm_id& peer, std::string_view bytes)> m_send_override;
};

/// The task that acts with the other nodes: members, ownership, configuration, jobs, operators.
class control_task
{
public:
    control_task(event_loop& loop, const http_transport& to_platform, metrics& counted,
                 control_task_options options);
    ~control_task();
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;

    /// Only from the task's own loop; others use a mailbox.
    void handle(control_message message);

    /// Answers one call of an operator, as its server does.
    void serve(const http_request& request, const http_exchange_ptr& exchange);

    std::uint16_t operator_port() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace daemon

} // namespace dragonflygap
