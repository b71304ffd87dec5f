#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "dragonflygap/config/follower.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::daemon
{

/// What became of a document that an operator applied.
struct apply_result
{
    bool m_in_force = false;     ///< False: another version is in force.
    std::uint64_t m_version = 0; ///< The version in force.
};

/// Keeps the configuration in force: polls the table, listens to peers, applies operators' changes.
class config_driver
{
public:
    using changed_hook = std::function<void(const config::versioned_document&)>;
    using applied_hook = std::function<void(outcome<apply_result>)>;

    config_driver(event_loop& loop, platform::table_port table, changed_hook on_changed);

    /// Writes a checked document over the version that the operator saw.
    void apply(std::uint64_t expected_version, std::string text, applied_hook done);

    /// A peer has a document of this version.
    void on_peer_version(std::uint64_t version);

    /// A peer sent a document.
    void offer(std::uint64_t version, const std::string& text);

    const config::versioned_document& in_force() const { return m_follower.in_force(); }

private:
    void poll();

    platform::table_port m_table;
    config::follower m_follower;
    changed_hook m_on_changed;
    bool m_polling = false;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::daemon
