#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/peer_messages.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/node/leader_report.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

struct leader_task_options
{
    vm_id m_vm;
    std::string m_address; ///< For peer messages.
    cell::coordinator_options m_coordinator;
    cell::store_port m_store;
    cell::directory_port m_directory;
    cell::worker_port m_workers;
    std::function<void(const vm_id& to, const cell::peer_message&)> m_send;
    std::function<void(const vm_id& peer, const std::string& address)> m_introduce;
    std::function<void(const vm_id& peer)> m_redial;
    std::function<std::uint64_t()> m_config_version;
    std::function<void(std::string cause)> m_on_deposed;
    duration m_tick = 10ms;
    duration m_heartbeat_every = 150ms;
    duration m_list_every = 700ms; ///< A third of the shortest notice of a leaving worker.
    duration m_members_every = 1s;
    duration m_member_limit = 1200ms; ///< A member that is silent for longer isn't asked.
    duration m_redial_after = 1500ms;
    duration m_commit_timeout = 1500ms;
    duration m_cut_off_after = 700ms; ///< Without the store, as for rejecting submissions.
};

/// Acts for the coordinator of the cell, as long as this VM leads it.
class leader_task
{
public:
    leader_task(event_loop& loop, metrics& counted, leader_task_options options,
                const cell::recovered_state& found);
    ~leader_task();
    leader_task(const leader_task&) = delete;
    leader_task& operator=(const leader_task&) = delete;

    void handle(const vm_id& from, const cell::caller_call& call);
    void handle(const vm_id& from, const cell::member_heartbeat& heartbeat);
    void handle(const vm_id& from, const cell::approval_answer& answer);

    /// Asks the strongest member that answers to take over, or else the one that was heard last;
    /// nothing is done here any more.
    void resign();

    const cell::coordinator& state() const { return m_coordinator; }

    /// True while neither the store nor half of the members answer: callers are served better
    /// elsewhere. A store that is away for everybody doesn't count.
    bool cut_off() const;

private:
    struct member
    {
        std::string m_address;
        double m_processor_share = 0; ///< Of a core; 0: not read yet.
        instant m_heard{};
        instant m_redialled{};
        bool m_stopping = false;
    };
    struct origin
    {
        vm_id m_vm;
        std::uint64_t m_call = 0;
    };

    void feed(const cell::event& event);
    void tick();
    void act(const cell::answer_call& action);
    void act(const cell::send_commit& action);
    void act(const cell::read_leader_row& action);
    void act(const cell::send_renewal& action);
    void act(const cell::send_start& action);
    void act(const cell::send_stop& action);
    void act(const cell::request_approval& action);
    void act(const cell::step_down& action);
    void send_heartbeats();
    void list_workers();
    void read_members();
    void check_members();
    bool answers(const member& other) const;
    cell::leader_heartbeat heartbeat() const;

    event_loop& m_loop;
    metrics& m_counted;
    leader_task_options m_options;
    cell::coordinator m_coordinator;
    leader_report m_report;
    std::uint64_t m_epoch;
    std::map<vm_id, member> m_members;
    std::vector<vm_id> m_helpers;
    std::map<std::uint64_t, origin> m_origins;
    std::set<std::uint64_t> m_asks; ///< Approval calls that weren't answered.
    std::uint64_t m_last_call = 0;
    bool m_listing = false;
    bool m_ended = false;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    std::vector<event_loop::timer_ptr> m_timers;
};

} // namespace node

} // namespace dragonflygap
