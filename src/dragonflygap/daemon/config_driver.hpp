#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "dragonflygap/config/change.hpp"
#include "dragonflygap/config/config_tracker.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::daemon
{

struct config_driver_options
{
    std::string m_change_prefix; ///< Prefix that makes the ids of changes unique.
    std::function<void(const config::versioned_document&)> m_on_changed;
    std::function<void(const vm_id& peer)> m_request_document; ///< Requests a peer's document.
    /// Sends a document to every peer after it was committed here.
    std::function<void(const config::versioned_document&)> m_publish;
};

/// Tracks the active configuration: polls the table, handles documents of peers, and applies
/// changes of operators.
class config_driver
{
public:
    using applied_hook = std::function<void(outcome<std::uint64_t>)>;
    using history_hook = std::function<void(outcome<std::vector<config::revision>>)>;

    config_driver(event_loop& loop, platform::table_port table, config_driver_options options);

    /// Commits a validated document if the expected version is still the latest; done receives the
    /// new version.
    void apply(std::uint64_t expected_version, std::string text, applied_hook done);

    /// Loads the latest revisions from the table, newest first.
    void history(history_hook done);

    /// Requests the document of a peer if its version is newer.
    void on_peer_version(const vm_id& peer, std::uint64_t version);

    /// Activates a document, for example from a peer, if its version is newer.
    void update_if_newer(std::uint64_t version, const std::string& text);

    const config::versioned_document& active_document() const
    {
        return m_tracker.active_document();
    }

    /// False until the table or a peer has shown which document is active.
    bool has_active_document() const { return m_has_active_document; }

private:
    void poll();
    void on_head(std::uint64_t version);
    void load_revision(std::uint64_t version);
    void start_changes();
    /// Passes an event to the first change and executes the resulting actions.
    void run_change(const config::change_event& event);
    void act(const config::read_change_rows& action);
    void act(const config::commit_change& action);
    void act(const config::change_settled& action);

    struct pending_change
    {
        config::change m_change;
        applied_hook m_done;
    };

    event_loop& m_loop;
    platform::table_port m_table;
    config_driver_options m_options;
    config::config_tracker m_tracker;
    std::deque<pending_change> m_changes; ///< The first one is in progress.
    std::uint64_t m_last_change = 0;
    std::uint64_t m_requested_version = 0;
    bool m_has_active_document = false;
    bool m_polling = false;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::daemon
