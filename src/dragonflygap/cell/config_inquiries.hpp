#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct config_inquiry_options
{
    std::size_t m_peers_per_round = 4;
    duration m_interval = 250ms;     ///< Between the first rounds.
    std::size_t m_quick_rounds = 10; ///< Then the interval doubles with each round.
    duration m_max_interval = 2s;
    /// Between inquiries to a peer that confirms the configuration.
    duration m_confirmed_interval = 500ms;
    duration m_answer_timeout = 3s;
    /// A peer that asked within this time is told a new version at once.
    duration m_inquirer_retention = 30s;
};

/// Decides which peers a VM asks for their configuration while the store doesn't answer it. The
/// leader's heartbeats spread versions too, but not to a VM that doesn't hear the leader. Answers
/// the load of a VM, or all VMs, being cut off from the store: a VM asks few peers at a time, and
/// only one of them once its answers suffice. Does no I/O.
class config_inquiries
{
public:
    struct inquiry
    {
        std::uint64_t m_number = 0; ///< Returned in the answer.
        vm_id m_peer;
    };

    /// first_number: higher than those of earlier processes of this VM.
    config_inquiries(config_inquiry_options options, std::uint64_t first_number);

    /// Peers in the VM's own data centre and others, without the VM itself.
    void set_peers(std::vector<vm_id> near, std::vector<vm_id> far);
    /// A peer that was heard from, which is asked next.
    void add_peer(const vm_id& peer);

    /// Inquiries to send now. To be called several times a second.
    std::vector<inquiry> next(bool needed, instant now);

    /// When the inquiry was sent; nothing if it is unknown or too old.
    std::optional<instant> sent_at(std::uint64_t number, instant now) const;

    /// The peer's answer confirmed the configuration.
    void confirmed(const vm_id& peer, instant now);

    /// A peer asked, having a version.
    void asked_by(const vm_id& peer, std::uint64_t version, instant now);
    /// Peers that asked recently, having an older version.
    std::vector<vm_id> peers_behind(std::uint64_t version, instant now) const;

private:
    struct inquirer
    {
        std::uint64_t m_version = 0;
        instant m_at{};
    };

    inquiry ask(const vm_id& peer, instant now);
    void forget(instant now);

    config_inquiry_options m_options;
    std::vector<vm_id> m_peers; ///< In the order in which they are asked.
    std::size_t m_next_peer = 0;
    std::size_t m_rounds = 0; ///< Since inquiries are needed.
    instant m_next_at{};
    std::optional<vm_id> m_confirming_peer;
    instant m_last_confirmed_at{};
    std::uint64_t m_seed;
    std::uint64_t m_last_number;
    std::map<std::uint64_t, instant> m_sent;
    std::map<vm_id, inquirer> m_inquirers;
};

} // namespace dragonflygap::cell
