#pragma once

#include <functional>
#include <memory>
#include <string_view>

#include "dragonflygap/cluster/membership.hpp"
#include "dragonflygap/config/settings.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/peer_link.hpp"

namespace dragonflygap::daemon
{

struct member_driver_options
{
    const config::settings* m_settings = nullptr;
    std::uint64_t m_incarnation = 0;
    /// Fills in the load, config version, group count and leaving flag of a heartbeat.
    std::function<void(cluster::heartbeat&)> m_fill_heartbeat;
    /// Called after every heartbeat and every change of a member's status.
    std::function<void()> m_on_members_changed;
    /// Replaces the peer link for sending, in tests; returns false if definitely not sent.
    std::function<bool(const vm_id& peer, std::string_view bytes)> m_send_override;
    /// Called for every message other than a heartbeat.
    std::function<void(cluster::message)> m_on_message;
};

/// Runs membership on the peer link: sends heartbeats, receives messages, redials silent peers.
class member_driver
{
public:
    member_driver(event_loop& loop, member_driver_options options);

    /// Returns false if the message was definitely not sent.
    bool send(const vm_id& peer, cluster::body body);
    void send_to_all(const cluster::body& body);

    /// Sends a heartbeat to every peer immediately, for urgent changes.
    void announce() { run(cluster::announce_now{}); }

    /// Handles a received message.
    void receive(std::string_view bytes);

    const cluster::membership& members() const { return m_membership; }
    const peer_link& link() const { return m_link; }

private:
    bool transmit(const vm_id& peer, std::string_view bytes);
    /// Handles an event and executes the resulting actions.
    void run(const cluster::membership_event& event);
    void act(const cluster::member_changed& action);
    void act(const cluster::dial_peer& action);
    void act(const cluster::redial_peer& action);
    void act(const cluster::forget_peer& action);
    void act(const cluster::send_heartbeat& action);

    event_loop& m_loop;
    member_driver_options m_options;
    cluster::membership m_membership;
    std::uint64_t m_sequence = 0;
    peer_link m_link;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::daemon
