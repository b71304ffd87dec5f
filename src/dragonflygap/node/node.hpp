#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "dragonflygap/cell/approval_backlog.hpp"
#include "dragonflygap/cell/election.hpp"
#include "dragonflygap/cell/peer_messages.hpp"
#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/cell/records.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/node/caller_task.hpp"
#include "dragonflygap/node/config_task.hpp"
#include "dragonflygap/node/leader_task.hpp"

namespace dragonflygap::node
{

/// Sends messages to other entry VMs.
struct peer_port
{
    std::function<void(const vm_id& peer, const endpoint& address)> m_add;
    std::function<void(const vm_id& peer)> m_remove;
    std::function<bool(const vm_id& peer, std::string_view bytes)> m_send;
    std::function<void(const vm_id& peer)> m_redial;
};

struct node_options
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    std::uint64_t m_incarnation = 0;
    double m_processor_share = 1; ///< Of a core.
    endpoint m_peer_address;
    cell::store_port m_store;
    cell::directory_port m_directory;
    cell::worker_port m_workers;
    cell::approval_port m_approvals;
    peer_port m_peers;
    cell::coordinator_options m_coordinator;
    cell::election_options m_election;
    caller_task_options m_callers;      ///< The node sets the store and the callbacks.
    std::function<void()> m_on_closing; ///< All calls are answered; new ones are rejected.
    std::function<void()> m_on_stopped;
    duration m_tick_interval = 50ms;
    cell::change_watch_options m_config_watch;
    /// Keys of a configuration that wasn't confirmed for longer aren't accepted; zero: they are.
    duration m_keys_expire{};
    duration m_member_read_interval = 10s; ///< Peers that the configuration can be asked of.
    duration m_leader_timeout = 600ms;     ///< No calls are sent to a leader silent for longer.
    duration m_redial_interval = 1500ms; ///< Between redials of a leader that doesn't hear this VM.
    duration m_ready_timeout = 1s;       ///< Without a leader for longer, the VM isn't ready.
    duration m_takeover_timeout = 1500ms; ///< After it no successor is expected.
    duration m_min_stop_time = 2500ms;    ///< The balancer notices after two health checks.
    duration m_max_stop_time = 5200ms;    ///< The platform kills a process that takes 6 s to stop.
    duration m_flush_time = 200ms;        ///< Between the last answers and the exit, to write them.
};

/// One entry VM: serves callers, and either follows the leader of the cell or leads it.
class node
{
public:
    node(event_loop& loop, metrics& registry, node_options options);
    ~node();
    node(const node&) = delete;
    node& operator=(const node&) = delete;

    /// The configuration that this VM applies; nullptr before the first one.
    const cell::cell_config* config() const { return m_config.config(); }
    /// Checks the key of a call to a queue of that configuration; nothing: it has none.
    cell::key_check check_key(const cell::queue_rules& queue,
                              std::optional<std::string_view> key) const
    {
        return m_config.check_key(queue, key);
    }
    const vm_id& vm() const { return m_options.m_vm; }
    bool ready() const;
    bool stopping() const { return m_stopping; }
    caller_task& callers() { return m_callers; }
    const leader_task* leading() const { return m_leader.get(); }
    std::optional<vm_id> leader() const;

    void on_peer_message(std::string_view bytes);
    void stop();

private:
    bool takeover_expected() const;
    void register_member();
    void update_members(const std::vector<cell::stored_row>& rows);
    config_task_options make_config_options();
    void add_peer(const vm_id& peer, const std::string& address);
    void tick();
    void tick_stopping();
    void read_members();
    void read_row();
    void campaign();
    int rank() const;
    void lead(cell::recovered_state state);
    /// Ends the leadership and takes part in elections again.
    void stop_leading(std::string_view cause);
    bool send_to_leader(const cell::caller_call& call);
    void send(const vm_id& to, const cell::peer_message& message);
    void request_approvals();
    void answer_approval(const cell::approval_backlog::entry& entry,
                         const outcome<cell::approval>& result, std::optional<duration> waited);
    void dispatch(const vm_id& from, const cell::peer_message& message);

    void on(const vm_id& from, const cell::leader_heartbeat& message);
    void on(const vm_id& from, const cell::member_heartbeat& message);
    void on(const vm_id& from, const cell::config_update& message);
    void on(const vm_id& from, const cell::config_inquiry& message);
    void on(const vm_id& from, const cell::config_status& message);
    void on(const vm_id& from, const cell::caller_call& message);
    void on(const vm_id& from, const cell::caller_answer& message);
    void on(const vm_id& from, const cell::approval_call& message);
    void on(const vm_id& from, const cell::approval_answer& message);

    event_loop& m_loop;
    metrics& m_metrics;
    node_options m_options;
    cell::election m_election;
    cell::approval_backlog m_approvals{{}};
    caller_task m_callers;
    std::unique_ptr<leader_task> m_leader;
    config_task m_config;
    vm_id m_known_leader;
    std::string m_leader_address;
    std::uint64_t m_leader_epoch = 0;
    instant m_leader_heard_at{};
    instant m_leader_redialled_at{};
    instant m_last_leader_at{};    ///< When a leader was last known, this VM included.
    bool m_leader_cut_off = false; ///< As in the leader's last heartbeat.
    std::map<vm_id, cell::member_record> m_members; ///< As last read from the store.
    instant m_members_read_at{};                    ///< When the last read was sent.
    bool m_registering = false;
    bool m_stopping = false;
    instant m_stop_started_at{};
    std::optional<instant> m_closed_at;
    std::vector<event_loop::timer_ptr> m_timers;
};

} // namespace dragonflygap::node
