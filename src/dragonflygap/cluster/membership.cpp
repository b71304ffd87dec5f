#include "dragonflygap/cluster/membership.hpp"

#include <iterator>
#include <utility>

namespace dragonflygap::cluster
{

membership::membership(membership_options options, std::span<const member> peers)
    : m_options(std::move(options))
{
    for (const auto& peer : peers)
    {
        if (peer.m_vm == m_options.m_self)
            continue;
        auto& added = m_members[peer.m_vm] = peer;
        added.m_from_settings = true;
    }
}

std::vector<membership_action> membership::handle(const membership_event& event, instant now)
{
    actions out;
    std::visit([&](const auto& alternative) { on(alternative, now, out); }, event);
    return out;
}

duration membership::dead_timeout(const member& peer) const
{
    return near(peer) ? m_options.m_near_dead_timeout : m_options.m_far_dead_timeout;
}

duration membership::suspect_timeout(const member& peer) const
{
    return near(peer) ? m_options.m_near_suspect_timeout : m_options.m_far_suspect_timeout;
}

bool membership::is_stale(const member& peer, const heartbeat_received& event, instant now) const
{
    if (event.m_incarnation > peer.m_incarnation)
        return false;
    if (event.m_incarnation == peer.m_incarnation)
        return event.m_heartbeat.m_sequence <= peer.m_sequence;
    // A replaced VM whose clock was set back has a lower incarnation. It is accepted once the
    // higher one has been silent for the dead timeout.
    return now - peer.m_last_heard < dead_timeout(peer);
}

void membership::on(const heartbeat_received& event, instant now, actions& out)
{
    if (event.m_from == m_options.m_self || event.m_from.empty())
        return;
    const auto& beat = event.m_heartbeat;
    auto& peer = m_members[event.m_from];
    if (is_stale(peer, event, now))
        return;
    peer.m_vm = event.m_from;
    peer.m_incarnation = event.m_incarnation;
    peer.m_sequence = beat.m_sequence;
    peer.m_data_centre = beat.m_data_centre;
    peer.m_config_version = beat.m_config_version;
    peer.m_load = beat.m_load;
    peer.m_last_heard = now;
    peer.m_hears_us = beat.m_hears_receiver;
    if (const auto address = parse_endpoint(beat.m_address))
        update_address(peer, *address, out);
    const auto status = beat.m_leaving ? member_status::leaving : member_status::alive;
    if (std::exchange(peer.m_status, status) != status)
        out.emplace_back(member_changed{peer.m_vm, status});
    if (beat.m_introduced)
        add_introduced(*beat.m_introduced, out);
}

void membership::update_address(member& peer, const endpoint& address, actions& out) const
{
    if (peer.m_address == address)
        return;
    peer.m_address = address;
    out.emplace_back(dial_peer{peer.m_vm, address});
}

void membership::add_introduced(const introduction& introduced, actions& out)
{
    if (introduced.m_vm == m_options.m_self || m_members.contains(introduced.m_vm))
        return;
    const auto address = parse_endpoint(introduced.m_address);
    if (!address)
        return;
    auto& peer = m_members[introduced.m_vm];
    peer.m_vm = introduced.m_vm;
    peer.m_data_centre = introduced.m_data_centre;
    update_address(peer, *address, out);
}

void membership::on(const membership_tick& /*event*/, instant now, actions& out)
{
    for (auto it = m_members.begin(); it != m_members.end();)
    {
        auto& peer = it->second;
        update_liveness(peer, now, out);
        const bool expired = !peer.m_from_settings && peer.m_last_heard != instant{} &&
                             now - peer.m_last_heard >= m_options.m_forget_timeout;
        if (expired)
        {
            out.emplace_back(forget_peer{peer.m_vm});
            it = m_members.erase(it);
            continue;
        }
        check_pipe(peer, now, out);
        const auto interval =
            near(peer) ? m_options.m_near_heartbeat_interval : m_options.m_far_heartbeat_interval;
        if (now - peer.m_last_sent >= interval)
            emit_heartbeat(peer, now, out);
        ++it;
    }
}

void membership::on(const announce_now& /*event*/, instant now, actions& out)
{
    for (auto& [vm, peer] : m_members)
        emit_heartbeat(peer, now, out);
}

void membership::update_liveness(member& peer, instant now, actions& out) const
{
    if (peer.m_status == member_status::unknown)
        return;
    const auto silence = now - peer.m_last_heard;
    auto status = peer.m_status;
    if (silence >= dead_timeout(peer))
        status = member_status::dead;
    else if (silence >= suspect_timeout(peer) && status == member_status::alive)
        status = member_status::suspect;
    if (std::exchange(peer.m_status, status) != status)
        out.emplace_back(member_changed{peer.m_vm, status});
}

void membership::check_pipe(member& peer, instant now, actions& out) const
{
    // Silence in either direction may be due to our own pipe, which nng believes to be alive.
    const bool suspicious = now - peer.m_last_heard >= suspect_timeout(peer) || !peer.m_hears_us;
    if (!suspicious || now - peer.m_last_redial < m_options.m_redial_interval)
        return;
    peer.m_last_redial = now;
    out.emplace_back(redial_peer{peer.m_vm});
}

void membership::emit_heartbeat(member& peer, instant now, actions& out)
{
    peer.m_last_sent = now;
    const bool hears_peer =
        peer.m_incarnation != 0 && now - peer.m_last_heard < suspect_timeout(peer);
    out.emplace_back(send_heartbeat{.m_vm = peer.m_vm,
                                    .m_hears_receiver = hears_peer,
                                    .m_with_address = !peer.m_hears_us,
                                    .m_introduced = next_introduction(peer.m_vm)});
}

std::optional<introduction> membership::next_introduction(const vm_id& to)
{
    // Two VMs that replaced others at the same time are missing in each other's settings, so peers
    // introduce them to each other. A heartbeat carries at most one member, in round-robin order,
    // to stay short.
    auto next = m_members.upper_bound(m_last_introduced);
    if (next == m_members.end())
        next = m_members.begin();
    m_last_introduced = next->first;
    const auto& candidate = next->second;
    if (candidate.m_vm == to || candidate.m_status != member_status::alive ||
        candidate.m_from_settings)
        return std::nullopt;
    return introduction{candidate.m_vm, candidate.m_data_centre, to_string(candidate.m_address)};
}

std::string_view to_string(member_status status)
{
    switch (status)
    {
    case member_status::unknown:
        return "unknown";
    case member_status::alive:
        return "alive";
    case member_status::suspect:
        return "suspect";
    case member_status::dead:
        return "dead";
    case member_status::leaving:
        break;
    }
    return "leaving";
}

} // namespace dragonflygap::cluster
