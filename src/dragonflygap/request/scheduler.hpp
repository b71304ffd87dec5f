#pragma once

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

struct scheduler_options
{
    duration m_peer_fresh = 1500ms; ///< Older load digests are not trusted.
    std::uint32_t m_max_hops = 1;
};

/// Decides what is admitted, which request takes which slot, and what goes to a peer. Pure.
class scheduler
{
public:
    explicit scheduler(scheduler_options options);

    std::vector<scheduler_action> handle(const scheduler_event& event, instant now);

    /// What peers are told of this entry VM's room.
    cluster::load_digest load(instant now) const;

private:
    using actions = std::vector<scheduler_action>;

    struct class_queue
    {
        config::request_class m_class;
        std::deque<request_id> m_waiting;
        int m_running = 0;
    };

    struct target_state
    {
        target m_target;
        int m_running = 0;
    };

    struct request_state
    {
        pending_request m_request;
        target_id m_target; ///< Empty while it waits.
        vm_id m_peer;       ///< Empty unless it was forwarded.
        bool m_aborted = false;
        bool m_forwarded = false; ///< It was forwarded once; never again from here.
        int m_attempts = 0;
    };

    void on(const request_submitted& event, instant now, actions& out);
    void on(const request_ended& event, instant now, actions& out);
    void on(const slot_freed& event, instant now, actions& out);
    void on(const forward_failed& event, instant now, actions& out);
    void on(const drain_started& event, instant now, actions& out);
    void on(const request_cancelled& event, instant now, actions& out);
    void on(const targets_changed& event, instant now, actions& out);
    void on(const classes_changed& event, instant now, actions& out);
    void on(const peers_changed& event, instant now, actions& out);
    void on(const scheduler_tick& event, instant now, actions& out);

    void refuse(const request_id& id, reason why, const char* detail, actions& out);
    void free_slot(const target_id& target);
    bool forward(request_state& request, instant now, actions& out);
    void dispatch_waiting(instant now, actions& out);
    bool dispatch_one(class_queue& queue, instant now, actions& out);
    target_state* freest_target();
    peer_room* peer_with_room(const pending_request& request, instant now);
    int slots() const;
    int free_slots() const;

    scheduler_options m_options;
    std::map<int, std::vector<class_id>> m_by_urgency;
    std::unordered_map<class_id, class_queue> m_queues;
    std::map<target_id, target_state> m_targets;
    std::unordered_map<request_id, request_state> m_requests;
    std::unordered_map<request_id, target_id> m_occupied; ///< Slots of requests that ended.
    std::vector<peer_room> m_peers;
    bool m_draining = false;
};

} // namespace dragonflygap::request
