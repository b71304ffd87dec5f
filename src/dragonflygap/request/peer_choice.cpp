#include "dragonflygap/request/peer_choice.hpp"

#include <algorithm>

#include "dragonflygap/request/random_sequence.hpp"

namespace dragonflygap::request
{

peer_choice::peer_choice(peer_choice_options options)
    : m_options(std::move(options)), m_random_state(m_options.m_seed)
{
}

void peer_choice::assign(std::span<const peer_load> peers)
{
    std::vector<peer_load> next(peers.begin(), peers.end());
    for (auto& peer : next)
        for (const auto& known : m_peers)
            if (known.m_vm == peer.m_vm && known.m_updated_at == peer.m_updated_at)
                peer.m_free_slots = std::min(peer.m_free_slots, known.m_free_slots);
    m_peers = std::move(next);
}

bool peer_choice::has_free_slots(const peer_load& peer, instant now) const
{
    return peer.m_free_slots != 0 && now - peer.m_updated_at <= m_options.m_max_digest_age;
}

bool peer_choice::has_fresh_peer(instant now) const
{
    return std::ranges::any_of(m_peers, [&](const peer_load& peer)
                               { return now - peer.m_updated_at <= m_options.m_max_digest_age; });
}

std::uint32_t peer_choice::free_slots(instant now) const
{
    std::uint32_t sum = 0;
    for (const auto& peer : m_peers)
        sum += has_free_slots(peer, now) ? peer.m_free_slots : 0;
    return sum;
}

const peer_load* peer_choice::reserve_slot(instant now)
{
    std::vector<peer_load*> local_peers;
    std::vector<peer_load*> remote_peers;
    for (auto& peer : m_peers)
    {
        if (!has_free_slots(peer, now))
            continue;
        (peer.m_data_centre == m_options.m_data_centre ? local_peers : remote_peers)
            .push_back(&peer);
    }
    auto* chosen = select(local_peers.empty() ? remote_peers : local_peers);
    if (chosen != nullptr)
        --chosen->m_free_slots;
    return chosen;
}

peer_load* peer_choice::select(std::span<peer_load*> candidates)
{
    if (candidates.empty())
        return nullptr;
    const auto has_fewer_slots = [](const peer_load* left, const peer_load* right)
    { return left->m_free_slots < right->m_free_slots; };
    if (m_options.m_selection == peer_selection::least_loaded)
        return *std::ranges::max_element(candidates, has_fewer_slots);
    auto* first = candidates[next_random(m_random_state) % candidates.size()];
    if (m_options.m_selection == peer_selection::random || candidates.size() == 1)
        return first;
    auto* second = candidates[next_random(m_random_state) % candidates.size()];
    return std::max(first, second, has_fewer_slots);
}

void peer_choice::release_slot(const vm_id& peer)
{
    for (auto& known : m_peers)
        if (known.m_vm == peer)
            ++known.m_free_slots;
}

void peer_choice::mark_full(const vm_id& peer)
{
    for (auto& known : m_peers)
        if (known.m_vm == peer)
            known.m_free_slots = 0;
}

} // namespace dragonflygap::request
