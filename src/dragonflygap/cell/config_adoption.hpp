#pragma once

#include <cstdint>
#include <optional>

#include "dragonflygap/cell/queue_rules.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct config_adoption_options
{
    /// Keys of a configuration that wasn't confirmed for longer aren't accepted; zero: they always
    /// are.
    duration m_keys_expire{};
    duration m_max_pause = 1s; ///< A process that did nothing for longer was paused.
    /// A version is in force everywhere within this time of its acknowledgement.
    duration m_spread_time = 3s;
    duration m_max_recheck_time = 1s; ///< After a pause; without an answer the keys are used on.
};

/// Decides which of the configurations that a VM receives is in force, and whether its keys may be
/// accepted. A version is confirmed at an instant if no newer one was acknowledged by the store
/// before. Answers the load of versions that arrive from the store and from peers in any order,
/// some of them old. Does no I/O.
class config_adoption
{
public:
    config_adoption(config_adoption_options options, instant started_at);

    /// A configuration of the store, or of a peer; true if it is in force now and wasn't before.
    bool offer_from_store(cell_config config);
    bool offer_from_peer(cell_config config);

    /// A read that was sent at that time has been answered, and its configuration offered.
    void confirm_by_store(instant sent_at);
    /// The version of a peer was confirmed at that time; true if another one is in force now.
    bool confirm_by_peer(std::uint64_t version, instant at);

    /// To be called several times a second.
    void tick(instant now);

    /// nullptr if there is none yet.
    const cell_config* in_force() const { return m_in_force ? &*m_in_force : nullptr; }
    /// The newest version known, which may not be in force yet; 0: none.
    std::uint64_t newest_version() const;
    /// Zero: never.
    instant confirmed_at() const { return m_confirmed_at; }
    bool may_accept_keys(instant now) const;
    /// A confirmation would change what is in force or which keys may be accepted.
    bool awaits_confirmation(instant now) const;

private:
    bool rechecks(instant now) const;

    config_adoption_options m_options;
    instant m_started_at;
    instant m_ticked_at;
    instant m_resumed_at{}; ///< After the last pause; zero: never.
    std::optional<cell_config> m_in_force;
    std::optional<cell_config> m_unconfirmed; ///< Of a peer, before any was in force.
    instant m_confirmed_at{};
};

} // namespace dragonflygap::cell
