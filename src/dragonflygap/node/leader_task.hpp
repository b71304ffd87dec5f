#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/cell/change_watch.hpp"
#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/peer_messages.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/node/customer_report.hpp"
#include "dragonflygap/node/leader_report.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

struct leader_task_options
{
    vm_id m_vm;
    std::string m_address; ///< Where this VM receives peer messages.
    cell::coordinator_options m_coordinator;
    cell::store_port m_store;
    cell::directory_port m_directory;
    cell::worker_port m_workers;
    std::function<void(const vm_id& to, const cell::peer_message&)> m_send;
    std::function<void(const vm_id& peer, const std::string& address)> m_add_peer;
    std::function<void(const vm_id& peer)> m_remove_peer;
    std::function<void(const vm_id& peer)> m_redial;
    std::function<const cell::cell_config*()> m_config; ///< nullptr: unknown yet.
    std::function<instant()> m_store_answered_at;       ///< To this VM's other reads; zero: never.
    std::function<void(std::string cause)> m_on_deposed;
    duration m_tick_interval = 10ms;
    duration m_heartbeat_interval = 150ms;
    duration m_worker_watch_interval = 50ms; ///< Between looks whether a read is due.
    duration m_member_read_interval = 1s;
    duration m_member_timeout = 1200ms; ///< A member silent for longer gets no approval calls.
    duration m_member_retention = 300s; ///< A member silent for longer is no longer a member.
    duration m_redial_delay = 1500ms;
    duration m_commit_timeout = 1500ms;
    duration m_cut_off_timeout = 700ms; ///< Since the last commit; submissions are rejected too.
};

/// Executes the actions of the cell's coordinator while this VM leads the cell.
class leader_task
{
public:
    leader_task(event_loop& loop, metrics& registry, leader_task_options options,
                cell::recovered_state state);
    ~leader_task();
    leader_task(const leader_task&) = delete;
    leader_task& operator=(const leader_task&) = delete;

    void handle(const vm_id& from, const cell::caller_call& call);
    void handle(const vm_id& from, const cell::member_heartbeat& heartbeat);
    void handle(const vm_id& from, const cell::approval_answer& answer);

    /// To be called with each new version of the configuration.
    void config_changed();

    /// Asks the responsive member with the largest processor share to take over, or else the one
    /// heard last. This task does nothing afterwards.
    void resign();

    const cell::coordinator& state() const { return m_coordinator; }

    /// True while the store doesn't answer and most members are silent: other VMs serve callers
    /// better. An outage of the store alone doesn't count, as it affects every VM.
    bool cut_off() const;

private:
    struct member
    {
        std::string m_address;
        double m_processor_share = 0; ///< Of a core; 0: unknown yet.
        std::int64_t m_memory_mb = 0; ///< 0: unknown.
        instant m_dialled_at{};       ///< First, at its current address.
        instant m_last_heard_at{};
        instant m_redialled_at{};
        int m_silent_reads = 0; ///< Reads of the members in a row for which it was silent.
        bool m_stopping = false;
    };
    struct origin
    {
        vm_id m_vm;
        std::uint64_t m_call = 0;
    };

    void process_event(const cell::event& event);
    void tick();
    void execute(const cell::answer_call& action);
    void execute(const cell::send_commit& action);
    void execute(const cell::read_leader_row& action);
    void execute(const cell::send_renewal& action);
    void execute(const cell::send_start& action);
    void execute(const cell::send_stop& action);
    void execute(const cell::request_approval& action);
    void execute(const cell::step_down& action);
    void send_heartbeats();
    void watch_workers();
    void read_members();
    void update_members(const std::vector<cell::stored_row>& rows);
    void retire_member(const vm_id& vm, const cell::stored_row& row);
    void check_members();
    void report_store();
    std::int64_t least_memory_mb() const;
    bool is_responsive(const member& candidate) const;
    bool hears(const member& sender) const;
    cell::leader_heartbeat heartbeat() const;

    event_loop& m_loop;
    metrics& m_metrics;
    leader_task_options m_options;
    cell::coordinator m_coordinator;
    leader_report m_report;
    customer_report m_customer_report;
    cell::change_watch m_worker_watch;
    std::uint64_t m_newest_version = 0; ///< Of the store, from this leader's transactions.
    std::uint64_t m_epoch;
    instant m_store_heard_at{}; ///< When the store last answered any VM.
    std::map<vm_id, member> m_members;
    std::vector<vm_id> m_responsive_members;
    std::int64_t m_least_memory_mb = 0; ///< Of all members that told theirs.
    std::map<std::uint64_t, origin> m_origins;
    std::set<std::uint64_t> m_pending_approvals; ///< Approval calls in flight.
    std::uint64_t m_last_call = 0;
    bool m_stopped = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<event_loop::timer_ptr> m_timers;
};

} // namespace node

} // namespace dragonflygap
