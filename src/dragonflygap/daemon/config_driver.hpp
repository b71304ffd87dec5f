#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "dragonflygap/config/change.hpp"
#include "dragonflygap/config/follower.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::daemon
{

struct config_driver_options
{
    std::string m_change_prefix; ///< Makes the ids of this entry VM's changes unique.
    std::function<void(const config::versioned_document&)> m_on_changed;
    std::function<void(const vm_id& peer)> m_ask_peer; ///< Asks a peer for its document.
    /// Sends a document that was just accepted here to every peer.
    std::function<void(const config::versioned_document&)> m_publish;
};

/// Keeps the configuration in force: polls the table, listens to peers, applies operators' changes.
class config_driver
{
public:
    using applied_hook = std::function<void(outcome<std::uint64_t>)>;
    using history_hook = std::function<void(outcome<std::vector<config::revision>>)>;

    config_driver(event_loop& loop, platform::table_port table, config_driver_options options);

    /// Puts a checked document in force over the version that the operator saw; done is given the
    /// new version.
    void apply(std::uint64_t expected_version, std::string text, applied_hook done);

    /// Reads the latest revisions from the table, newest first.
    void history(history_hook done);

    /// A peer has a document of this version; it is asked for if it is newer.
    void on_peer_version(const vm_id& peer, std::uint64_t version);

    /// A peer sent a document.
    void offer(std::uint64_t version, const std::string& text);

    const config::versioned_document& in_force() const { return m_follower.in_force(); }

    /// False until the table or a peer has told which document is in force.
    bool known() const { return m_known; }

private:
    void poll();
    void on_head(std::uint64_t version);
    void read_revision(std::uint64_t version);
    void start_changes();
    void run_change(const config::change_event& event);
    void act(const config::read_change_rows& action);
    void act(const config::commit_change& action);
    void act(const config::change_settled& action);

    struct waiting_change
    {
        config::change m_change;
        applied_hook m_done;
    };

    event_loop& m_loop;
    platform::table_port m_table;
    config_driver_options m_options;
    config::follower m_follower;
    std::deque<waiting_change> m_changes; ///< The first one is under way.
    std::uint64_t m_last_change = 0;
    std::uint64_t m_asked_version = 0;
    bool m_known = false;
    bool m_polling = false;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::daemon
