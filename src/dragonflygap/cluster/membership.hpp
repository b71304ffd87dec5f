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
    unknown, ///< Known by name and address, not heard yet.
    alive,
    suspect, ///< Silent for longer than a few heartbeats.
    dead,
    leaving,
};

/// What this entry VM knows of a peer.
struct member
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    endpoint m_address;
    member_status m_status = member_status::unknown;
    bool m_from_settings = false; ///< Never forgotten.
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    instant m_last_heard{};
    instant m_last_sent{};
    instant m_last_redial{};
    bool m_hears_us = false;
    std::uint64_t m_config_version = 0;
    load_digest m_load;
};

/// Times for peers of the same data centre (near) and of others (far).
struct membership_options
{
    vm_id m_self;
    data_centre_id m_data_centre;
    duration m_near_every = 500ms;
    duration m_far_every = 1250ms;
    duration m_near_suspect = 2s;
    duration m_far_suspect = 4s;
    duration m_near_dead = 5s;
    duration m_far_dead = 10s;
    duration m_redial_every = 2s;
    duration m_forget_after =
        600s; ///< Silence after which a peer not in the settings is forgotten.
};

struct heartbeat_received
{
    vm_id m_from;
    std::uint64_t m_incarnation = 0;
    heartbeat m_heartbeat;
};
/// Comes several times within the shortest heartbeat interval.
struct membership_tick
{
};
/// Send a heartbeat to every peer at the next tick.
struct announce_now
{
};
using membership_event = std::variant<heartbeat_received, membership_tick, announce_now>;

/// A peer's status changed; tell whoever depends on it.
struct member_changed
{
    vm_id m_vm;
    member_status m_status = member_status::unknown;
};
/// Open a pipe to a peer, in place of one to another address.
struct dial_peer
{
    vm_id m_vm;
    endpoint m_address;
};
/// The pipe to a peer seems dead; open a new one.
struct redial_peer
{
    vm_id m_vm;
};
struct forget_peer
{
    vm_id m_vm;
};
/// Send a heartbeat with these fields; the rest is filled in by who knows it.
struct send_heartbeat
{
    vm_id m_vm;
    bool m_hears_you = false;
    bool m_with_address = false; ///< The peer may not know where to dial.
    std::optional<introduction> m_introduced;
};
using membership_action =
    std::variant<member_changed, dial_peer, redial_peer, forget_peer, send_heartbeat>;

/// Which entry VMs there are and which are alive, from their heartbeats. Pure.
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

    bool outdated(const member& peer, const heartbeat_received& event, instant now) const;
    void learn_address(member& peer, const endpoint& address, actions& out) const;
    void learn(const introduction& introduced, actions& out);
    void check_silence(member& peer, instant now, actions& out) const;
    void check_pipe(member& peer, instant now, actions& out) const;
    void greet(member& peer, instant now, actions& out);
    std::optional<introduction> next_introduction(const vm_id& to);
    bool near(const member& peer) const { return peer.m_data_centre == m_options.m_data_centre; }
    duration dead_after(const member& peer) const;
    duration suspect_after(const member& peer) const;

    membership_options m_options;
    std::map<vm_id, member> m_members;
    vm_id m_last_introduced;
};

/// Name in logs and in the operators' API.
std::string_view to_string(member_status status);

} // namespace dragonflygap::cluster
