#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

/// How a peer is chosen among those whose digest is fresh and shows room.
enum class peer_selection
{
    random,
    least_loaded,
    two_choices, ///< The better of two random ones.
};

struct peer_choice_options
{
    data_centre_id m_data_centre; ///< Peers of the same one go first.
    duration m_fresh = 1500ms;    ///< Older digests are not trusted.
    peer_selection m_selection = peer_selection::two_choices;
    std::uint64_t m_seed = 0;
};

/// Chooses the peer that a request without room here is forwarded to.
class peer_choice
{
public:
    explicit peer_choice(peer_choice_options options);

    /// Room that was given away stays so until the peer has sent a newer digest.
    void assign(std::span<const peer_load> peers);

    /// The peer for one request, whose room is then one less. Null if none has room.
    const peer_load* take(instant now);

    /// True if a peer was heard lately, whether or not it has room now.
    bool any_fresh(instant now) const;

    /// Room that the fresh digests show and that was not given away.
    std::uint32_t room(instant now) const;

    /// A peer answered a forwarded request, so the slot is free again.
    void returned(const vm_id& peer);

    /// A peer refused; it gets nothing more until its next digest.
    void refused(const vm_id& peer);

private:
    bool has_room(const peer_load& peer, instant now) const;
    peer_load* select(std::span<peer_load*> candidates);

    peer_choice_options m_options;
    std::vector<peer_load> m_peers;
    std::uint64_t m_random;
};

} // namespace dragonflygap::request
