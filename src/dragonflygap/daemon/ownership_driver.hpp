#pragma once

#include <cstdint>
#include <functional>
#include <map>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/ownership/lease_manager.hpp"
#include "dragonflygap/platform/table.hpp"

namespace dragonflygap::daemon
{

/// Executes the actions of the lease manager on the platform's table.
class ownership_driver
{
public:
    using groups_hook = std::function<void(const std::map<ownership::group_index, std::uint64_t>&)>;
    using send_hook = std::function<void(const vm_id& peer, cluster::body)>;

    ownership_driver(event_loop& loop, platform::table_port table,
                     const ownership::lease_manager_options& options, groups_hook on_groups_changed,
                     send_hook to_peer);

    void on_message(const vm_id& from, const cluster::promise_request& message);
    void on_message(const vm_id& from, const cluster::promise_grant& message);
    void leave() { run(ownership::leave_requested{}); }
    const ownership::lease_manager& lease_manager() const { return m_lease_manager; }

private:
    /// Handles an event and executes the resulting actions.
    void run(const ownership::lease_manager_event& event);
    void act(const ownership::scan_rows& action);
    void scan_groups(const ownership::scan_rows& action,
                     outcome<std::vector<platform::row>> leases);
    void act(const ownership::commit_rows& action);
    void act(const ownership::groups_changed& action);
    void act(const ownership::leave_completed& action);
    void act(const ownership::request_promise& action);
    void act(const ownership::give_promise& action);

    platform::table_port m_table;
    ownership::lease_manager m_lease_manager;
    groups_hook m_on_groups_changed;
    send_hook m_to_peer;
    vm_id m_vm;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::daemon
