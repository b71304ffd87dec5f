#include "dragonflygap/daemon/member_driver.hpp"

#include <utility>
#include <vector>

#include "dragonflygap/cluster/codec.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr duration tick_interval = 100ms;

std::vector<cluster::member> peers_of(const config::settings& settings)
{
    std::vector<cluster::member> peers;
    for (const auto& peer : settings.m_peers)
        peers.push_back(
            {.m_vm = peer.m_vm, .m_data_centre = peer.m_data_centre, .m_address = peer.m_address});
    return peers;
}

} // namespace

member_driver::member_driver(event_loop& loop, member_driver_options options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_membership({.m_self = m_options.m_settings->m_vm,
                    .m_data_centre = m_options.m_settings->m_data_centre},
                   peers_of(*m_options.m_settings)),
      m_link(loop, {.m_listen = m_options.m_settings->m_peer_listen,
                    .m_on_message = [this](std::string_view bytes) { receive(bytes); }})
{
    if (!m_options.m_send_override)
        for (const auto& peer : m_options.m_settings->m_peers)
            m_link.add(peer.m_vm, peer.m_address);
    m_timer = m_loop.every(tick_interval, [this] { run(cluster::membership_tick{}); });
}

bool member_driver::send(const vm_id& peer, cluster::body body)
{
    return transmit(peer, cluster::encode({.m_from = m_options.m_settings->m_vm,
                                           .m_incarnation = m_options.m_incarnation,
                                           .m_body = std::move(body)}));
}

void member_driver::send_to_all(const cluster::body& body)
{
    const auto bytes = cluster::encode({.m_from = m_options.m_settings->m_vm,
                                        .m_incarnation = m_options.m_incarnation,
                                        .m_body = body});
    for (const auto& [vm, member] : m_membership.members())
        transmit(vm, bytes);
}

bool member_driver::transmit(const vm_id& peer, std::string_view bytes)
{
    return m_options.m_send_override ? m_options.m_send_override(peer, bytes)
                                     : m_link.send(peer, bytes);
}

void member_driver::receive(std::string_view bytes)
{
    auto message = cluster::decode(bytes);
    if (!message)
    {
        log_event(log_level::warning, "peer_message_unreadable", {{"bytes", bytes.size()}});
        return;
    }
    if (const auto* beat = std::get_if<cluster::heartbeat>(&message->m_body))
    {
        run(cluster::heartbeat_received{message->m_from, message->m_incarnation, *beat});
        m_options.m_on_members_changed();
        return;
    }
    m_options.m_on_message(std::move(*message));
}

void member_driver::run(const cluster::membership_event& event)
{
    for (const auto& action : m_membership.handle(event, monotonic_clock::now()))
        std::visit([this](const auto& alternative) { act(alternative); }, action);
}

void member_driver::act(const cluster::member_changed& action)
{
    log_event(log_level::info, "member_changed",
              {{"peer", action.m_vm.m_value}, {"status", to_string(action.m_status)}});
    m_options.m_on_members_changed();
}

void member_driver::act(const cluster::dial_peer& action)
{
    log_event(log_level::info, "peer_dialled",
              {{"peer", action.m_vm.m_value}, {"address", to_string(action.m_address)}});
    if (!m_options.m_send_override)
        m_link.add(action.m_vm, action.m_address);
}

void member_driver::act(const cluster::redial_peer& action)
{
    if (!m_options.m_send_override)
        m_link.redial(action.m_vm);
}

void member_driver::act(const cluster::forget_peer& action)
{
    log_event(log_level::info, "peer_forgotten", {{"peer", action.m_vm.m_value}});
    m_link.remove(action.m_vm);
}

void member_driver::act(const cluster::send_heartbeat& action)
{
    cluster::heartbeat beat{.m_sequence = ++m_sequence,
                            .m_data_centre = m_options.m_settings->m_data_centre,
                            .m_hears_receiver = action.m_hears_receiver,
                            .m_introduced = action.m_introduced};
    if (action.m_with_address)
        beat.m_address =
            to_string(endpoint{m_options.m_settings->m_peer_listen.m_ip, m_link.port()});
    m_options.m_fill_heartbeat(beat);
    send(action.m_vm, std::move(beat));
}

} // namespace dragonflygap::daemon
