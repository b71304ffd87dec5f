#pragma once

#include <cstdint>
#include <map>
#include <span>
#include <variant>
#include <vector>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cluster
{

enum class member_status
{
    unknown, ///< Named in the settings, not heard yet.
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
    member_status m_status = member_status::unknown;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_sequence = 0;
    instant m_last_heard{};
    instant m_last_redial{};
    bool m_hears_us = false;
    std::uint64_t m_config_version = 0;
    load_digest m_load;
};

struct membership_options
{
    vm_id m_self;
    duration m_suspect_after = 2s;
    duration m_dead_after = 5s;
    duration m_redial_every = 2s;
};

struct heartbeat_received
{
    vm_id m_from;
    std::uint64_t m_incarnation = 0;
    heartbeat m_heartbeat;
};
struct membership_tick
{
};
using membership_event = std::variant<heartbeat_received, membership_tick>;

/// A peer's status changed; tell whoever depends on it.
struct member_changed
{
    vm_id m_vm;
    member_status m_status = member_status::unknown;
};
/// The pipe to a peer seems dead; open a new one.
struct redial_peer
{
    vm_id m_vm;
};
using membership_action = std::variant<member_changed, redial_peer>;

/// Which entry VMs are alive, from their heartbeats. Pure: no sockets, no clock.
class membership
{
public:
    membership(membership_options options, std::span<const member> peers);

    std::vector<membership_action> handle(const membership_event& event, instant now);

    const std::map<vm_id, member>& members() const { return m_members; }

    /// Peers heard within the suspicion time.
    std::vector<vm_id> heard(instant now) const;

private:
    std::vector<membership_action> on(const heartbeat_received& event, instant now);
    std::vector<membership_action> on(const membership_tick& event, instant now);

    membership_options m_options;
    std::map<vm_id, member> m_members;
};

/// Name in logs and in the operators' API.
std::string_view to_string(member_status status);

} // namespace dragonflygap::cluster
