#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflygap/cell/change_watch.hpp"
#include "dragonflygap/cell/config_adoption.hpp"
#include "dragonflygap/cell/config_inquiries.hpp"
#include "dragonflygap/cell/customer_keys.hpp"
#include "dragonflygap/cell/peer_messages.hpp"
#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/records.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

struct config_task_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    std::string m_address; ///< Where this VM receives peer messages.
    cell::directory_port m_directory;
    cell::change_watch_options m_watch;
    cell::config_adoption_options m_adoption;
    cell::config_inquiry_options m_inquiries;
    duration m_resend_interval = 1s; ///< To one peer, which may receive it slowly.
    std::function<void(const vm_id& to, const cell::peer_message&)> m_send;
    std::function<void(const vm_id& peer, const std::string& address)> m_add_peer;
    std::function<void()> m_on_changed; ///< Another version is in force.
};

/// Keeps the configuration in force on this VM up to date from the store and from peers, passes it
/// on, and checks the keys of calls by it.
class config_task
{
public:
    config_task(metrics& registry, config_task_options options);

    /// nullptr before the first one.
    const cell::cell_config* config() const { return m_adoption.in_force(); }
    /// The newest version known, which may not be in force yet; 0: none.
    std::uint64_t newest_version() const { return m_adoption.newest_version(); }
    /// When the store last answered a read; zero: never.
    instant store_answered_at() const { return m_store_answered_at; }

    /// To be called several times a second.
    void tick();
    /// The members of the cell, as last read from the store.
    void set_members(const std::map<vm_id, cell::member_record>& members);
    /// Another VM leads, and sends heartbeats to this one.
    void leader_changed(const vm_id& leader) { m_inquiries.add_peer(leader); }
    /// Sends the configuration to a peer that has an older one.
    void send_to(const vm_id& peer, std::uint64_t known_version);

    void handle(const vm_id& from, const cell::config_update& message);
    void handle(const vm_id& from, const cell::config_inquiry& message);
    void handle(const vm_id& from, const cell::config_status& message);

    /// Checks the key of a call to a queue of the configuration, and counts refusals.
    cell::key_check check_key(const cell::queue_rules& queue,
                              std::optional<std::string_view> key) const;

private:
    struct sent_config
    {
        std::uint64_t m_version = 0;
        instant m_at{};
    };

    void read_store();
    void inquire();
    void adopted(std::string_view source);

    metrics& m_metrics;
    config_task_options m_options;
    instant m_started_at;
    cell::change_watch m_watch;
    cell::config_adoption m_adoption;
    cell::config_inquiries m_inquiries;
    cell::customer_keys m_keys; ///< Of the configuration in force.
    instant m_store_answered_at{};
    std::map<vm_id, std::string> m_addresses;    ///< Of the other members.
    std::map<vm_id, sent_config> m_configs_sent; ///< The last one to each peer.
};

} // namespace node

} // namespace dragonflygap
