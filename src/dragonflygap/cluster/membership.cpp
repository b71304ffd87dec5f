#include "dragonflygap/cluster/membership.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cluster
{

membership::membership(membership_options options, std::span<const member> peers)
    : m_options(std::move(options))
{
    for (const auto& peer : peers)
        if (peer.m_vm != m_options.m_self)
            m_members[peer.m_vm] = peer;
}

std::vector<membership_action> membership::handle(const membership_event& event, instant now)
{
    return std::visit([&](const auto& what) { return on(what, now); }, event);
}

std::vector<membership_action> membership::on(const heartbeat_received& event, instant now)
{
    if (event.m_from == m_options.m_self)
        return {};
    auto& peer = m_members[event.m_from];
    peer.m_vm = event.m_from;
    const bool older = event.m_incarnation < peer.m_incarnation ||
                       (event.m_incarnation == peer.m_incarnation &&
                        event.m_heartbeat.m_sequence <= peer.m_sequence);
    if (older)
        return {};
    peer.m_incarnation = event.m_incarnation;
    peer.m_sequence = event.m_heartbeat.m_sequence;
    peer.m_data_centre = event.m_heartbeat.m_data_centre;
    peer.m_config_version = event.m_heartbeat.m_config_version;
    peer.m_load = event.m_heartbeat.m_load;
    peer.m_last_heard = now;
    peer.m_hears_us = std::ranges::find(event.m_heartbeat.m_heard, m_options.m_self) !=
                      event.m_heartbeat.m_heard.end();
    const auto status = event.m_heartbeat.m_leaving ? member_status::leaving : member_status::alive;
    if (std::exchange(peer.m_status, status) == status)
        return {};
    return {member_changed{peer.m_vm, status}};
}

std::vector<membership_action> membership::on(const membership_tick& /*event*/, instant now)
{
    std::vector<membership_action> actions;
    for (auto& [vm, peer] : m_members)
    {
        const auto silence = now - peer.m_last_heard;
        auto status = peer.m_status;
        if (silence >= m_options.m_dead_after)
            status = member_status::dead;
        else if (silence >= m_options.m_suspect_after && status == member_status::alive)
            status = member_status::suspect;
        if (std::exchange(peer.m_status, status) != status)
            actions.emplace_back(member_changed{vm, status});
        // Silence one way or the other may come from our own pipe, which nng believes alive.
        const bool doubtful = silence >= m_options.m_suspect_after || !peer.m_hears_us;
        if (doubtful && now - peer.m_last_redial >= m_options.m_redial_every)
        {
            peer.m_last_redial = now;
            actions.emplace_back(redial_peer{vm});
        }
    }
    return actions;
}

std::vector<vm_id> membership::heard(instant now) const
{
    std::vector<vm_id> result;
    for (const auto& [vm, peer] : m_members)
        if (peer.m_incarnation != 0 && now - peer.m_last_heard < m_options.m_suspect_after)
            result.push_back(vm);
    return result;
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
