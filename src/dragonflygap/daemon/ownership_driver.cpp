#include "dragonflygap/daemon/ownership_driver.hpp"

#include <utility>

#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr duration tick_interval = 100ms;

} // namespace

ownership_driver::ownership_driver(event_loop& loop, platform::table_port table,
                                   const ownership::lease_manager_options& options,
                                   groups_hook on_groups_changed, send_hook to_peer)
    : m_table(std::move(table)),
      m_lease_manager(options),
      m_on_groups_changed(std::move(on_groups_changed)),
      m_to_peer(std::move(to_peer)),
      m_vm(options.m_vm),
      m_timer(loop.every(tick_interval, [this] { run(ownership::lease_manager_tick{}); }))
{
}

void ownership_driver::run(const ownership::lease_manager_event& event)
{
    for (const auto& action : m_lease_manager.handle(event, monotonic_clock::now()))
        std::visit([this](const auto& alternative) { act(alternative); }, action);
}

void ownership_driver::act(const ownership::scan_rows& action)
{
    // Leases change every second or two, groups rarely. They are scanned separately, so that
    // unchanged groups needn't be sent again. The second scan sees a group that moves between the
    // two, and every commit checks its version.
    m_table.m_scan(action.m_prefix + "lease/",
                   [this, action](outcome<std::vector<platform::row>> leases)
                   { scan_groups(action, std::move(leases)); });
}

void ownership_driver::scan_groups(const ownership::scan_rows& action,
                                   outcome<std::vector<platform::row>> leases)
{
    if (!leases)
        return run(ownership::rows_scanned{action.m_call, std::move(leases)});
    m_table.m_scan(action.m_prefix + "group/",
                   [this, call = action.m_call,
                    leases = std::move(*leases)](outcome<std::vector<platform::row>> rows)
                   {
                       if (rows)
                           rows->insert(rows->end(), leases.begin(), leases.end());
                       run(ownership::rows_scanned{call, std::move(rows)});
                   });
}

void ownership_driver::act(const ownership::commit_rows& action)
{
    m_table.m_commit(action.m_writes,
                     [this, call = action.m_call](outcome<platform::commit_result> result) {
                         run(ownership::commit_finished{call, std::move(result)});
                     });
}

void ownership_driver::act(const ownership::groups_changed& action)
{
    log_event(log_level::info, "groups_changed", {{"owned", action.m_epochs.size()}});
    m_on_groups_changed(action.m_epochs);
}

void ownership_driver::act(const ownership::request_promise& action)
{
    m_to_peer(action.m_to, cluster::promise_request{action.m_holder.m_incarnation,
                                                    action.m_holder.m_count, action.m_sequence});
}

void ownership_driver::act(const ownership::give_promise& action)
{
    m_to_peer(action.m_holder.m_vm,
              cluster::promise_grant{action.m_holder.m_incarnation, action.m_holder.m_count,
                                     action.m_sequence});
}

void ownership_driver::on_message(const vm_id& from, const cluster::promise_request& message)
{
    run(ownership::promise_request{{from, message.m_incarnation, message.m_count},
                                   message.m_sequence});
}

void ownership_driver::on_message(const vm_id& from, const cluster::promise_grant& message)
{
    run(ownership::promise_grant{
        from, {m_vm, message.m_incarnation, message.m_count}, message.m_sequence});
}

void ownership_driver::act(const ownership::leave_completed& /*action*/)
{
    log_event(log_level::info, "ownership_left", {});
}

} // namespace dragonflygap::daemon
