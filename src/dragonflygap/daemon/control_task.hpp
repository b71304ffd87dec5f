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

/// Current load of the request task, for heartbeats.
struct load_changed
{
    cluster::load_digest m_load;
};
/// Send a message of the request task to a peer.
struct to_peer
{
    vm_id m_peer;
    cluster::body m_body;
};
/// The request task has no requests left.
struct requests_drained
{
};
/// The process received a signal to stop.
struct stop_requested
{
};
/// A message from a peer that arrived outside the peer link.
struct peer_bytes
{
    std::string m_bytes;
};
/// Messages to the control task.
using control_message = std::variant<load_changed, to_peer, requests_drained, stop_requested,
                                     peer_bytes, request::claim_message>;

struct control_task_options
{
    config::settings m_settings;
    std::uint64_t m_incarnation = 0;
    endpoint m_platform;
    std::function<void(request::request_message)> m_to_requests;
    std::function<void()> m_on_stopped; ///< Called after the handover; ends the process.
    /// Replaces the peer link for sending; see member_driver_options.
    std::function<bool(const vm_id& peer, std::string_view bytes)> m_send_override;
};

/// Control plane of an entry VM: membership, ownership, configuration, jobs and operator API.
class control_task
{
public:
    control_task(event_loop& loop, const http_transport& to_platform, metrics& registry,
                 control_task_options options);
    ~control_task();
    control_task(const control_task&) = delete;
    control_task& operator=(const control_task&) = delete;

    /// Must be called from the loop of this task; other tasks use a mailbox.
    void handle(control_message message);

    /// Handles a request to the operator API.
    void serve(const http_request& request, const http_exchange_ptr& exchange);

    std::uint16_t operator_port() const;

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace daemon

} // namespace dragonflygap
