#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

/// Policy for choosing among peers whose load digest is fresh and shows free slots.
enum class peer_selection
{
    random,
    least_loaded,
    two_choices, ///< The less loaded of two random peers.
};

struct peer_choice_options
{
    data_centre_id m_data_centre;       ///< Peers in the same data centre are preferred.
    duration m_max_digest_age = 1500ms; ///< Older load digests are ignored.
    peer_selection m_selection = peer_selection::two_choices;
    std::uint64_t m_seed = 0;
};

/// Chooses the peer to forward a request to when no slot is free on this entry VM.
class peer_choice
{
public:
    explicit peer_choice(peer_choice_options options);

    /// Updates the load of all peers. Reserved slots stay reserved until a newer digest arrives.
    void assign(std::span<const peer_load> peers);

    /// Chooses a peer and reserves one of its slots. Null if no peer has a free slot.
    const peer_load* reserve_slot(instant now);

    /// True if any peer has a fresh digest, even one without free slots.
    bool has_fresh_peer(instant now) const;

    /// Total number of unreserved free slots in fresh digests.
    std::uint32_t free_slots(instant now) const;

    /// Call when a peer has answered a forwarded request, which frees its slot.
    void release_slot(const vm_id& peer);

    /// Call when a peer has refused a request: assumes no free slots until its next digest.
    void mark_full(const vm_id& peer);

private:
    bool has_free_slots(const peer_load& peer, instant now) const;
    peer_load* select(std::span<peer_load*> candidates);

    peer_choice_options m_options;
    std::vector<peer_load> m_peers;
    std::uint64_t m_random_state;
};

} // namespace dragonflygap::request
