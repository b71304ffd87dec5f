#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cluster
{

enum class member_status
{
    unknown, ///< Known by name and address, no heartbeat received yet.
    alive,
    suspect, ///< Several heartbeats were missed.
    dead,
    leaving,
};

/// State of a peer as seen by this entry VM.
struct member
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    endpoint m_address;
    member_status m_status = member_status::unknown;
    bool m_from_settings = false; ///< Listed in the settings: never removed.
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    instant m_last_heard{};
    instant m_last_sent{};
    instant m_last_redial{};
    bool m_hears_us = false;
    std::uint64_t m_config_version = 0;
    load_digest m_load;
};

/// Timeouts for peers in the same data centre (near) and in other ones (far).
struct membership_options
{
    vm_id m_self;
    data_centre_id m_data_centre;
    duration m_near_heartbeat_interval = 500ms;
    duration m_far_heartbeat_interval = 1250ms;
    duration m_near_suspect_timeout = 2s;
    duration m_far_suspect_timeout = 4s;
    duration m_near_dead_timeout = 5s;
    duration m_far_dead_timeout = 10s;
    duration m_redial_interval = 2s;
    duration m_forget_timeout = 600s; ///< For silent peers that aren't in the settings.
};

struct heartbeat_received
{
    vm_id m_from;
    std::uint64_t m_incarnation = 0;
    heartbeat m_heartbeat;
};
/// Expected several times per near heartbeat interval.
struct membership_tick
{
};
/// Send a heartbeat to every peer immediately.
struct announce_now
{
};
using membership_event = std::variant<heartbeat_received, membership_tick, announce_now>;

/// The status of a peer changed.
struct member_changed
{
    vm_id m_vm;
    member_status m_status = member_status::unknown;
};
/// Open a pipe to a peer; replaces one to another address.
struct dial_peer
{
    vm_id m_vm;
    endpoint m_address;
};
/// Replace the pipe to a peer, which seems to be dead.
struct redial_peer
{
    vm_id m_vm;
};
/// Remove a peer and close its pipe.
struct forget_peer
{
    vm_id m_vm;
};
/// Send a heartbeat with these fields; the driver fills in the others.
struct send_heartbeat
{
    vm_id m_vm;
    bool m_hears_receiver = false;
    bool m_with_address = false; ///< Set while the peer may not know our address.
    std::optional<introduction> m_introduced;
};
using membership_action =
    std::variant<member_changed, dial_peer, redial_peer, forget_peer, send_heartbeat>;

/// Tracks the entry VMs of the cluster and their liveness from heartbeats. Pure.
class membership
{
public:
    membership(membership_options options, std::span<const member> peers);

    std::vector<membership_action> handle(const membership_event& event, instant now);

    const std::map<vm_id, member>& members() const { return m_members; }

private:
    using actions = std::vector<membership_action>;

    void on(const heartbeat_received& event, instant now, actions& out);
    void on(const membership_tick& event, instant now, actions& out);
    void on(const announce_now& event, instant now, actions& out);

    bool is_stale(const member& peer, const heartbeat_received& event, instant now) const;
    void update_address(member& peer, const endpoint& address, actions& out) const;
    void add_introduced(const introduction& introduced, actions& out);
    void update_liveness(member& peer, instant now, actions& out) const;
    void check_pipe(member& peer, instant now, actions& out) const;
    void emit_heartbeat(member& peer, instant now, actions& out);
    std::optional<introduction> next_introduction(const vm_id& to);
    bool near(const member& peer) const { return peer.m_data_centre == m_options.m_data_centre; }
    duration dead_timeout(const member& peer) const;
    duration suspect_timeout(const member& peer) const;

    membership_options m_options;
    std::map<vm_id, member> m_members;
    vm_id m_last_introduced; ///< Round-robin position of next_introduction().
};

/// Name of a status in logs and in the operator API.
std::string_view to_string(member_status status);

} // namespace dragonflygap::cluster
