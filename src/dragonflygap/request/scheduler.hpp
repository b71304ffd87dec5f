#pragma once

#include <queue>
#include <unordered_map>
#include <vector>

#include "dragonflygap/cluster/message.hpp"
#include "dragonflygap/request/admission.hpp"
#include "dragonflygap/request/class_table.hpp"
#include "dragonflygap/request/deadline_index.hpp"
#include "dragonflygap/request/peer_choice.hpp"
#include "dragonflygap/request/request.hpp"
#include "dragonflygap/request/retry_policy.hpp"
#include "dragonflygap/request/target_set.hpp"

namespace dragonflygap::request
{

struct scheduler_options
{
    std::uint32_t m_max_hops = 1;
    duration m_forward_wait = 5ms; ///< A shorter wait here is better than a way to a peer.
    duration m_longest_without_target = 500ms; ///< Wait for a peer's room where nothing is owned.
    duration m_refresh_every = 50ms; ///< How often run times and reserves are worked out anew.
    slot_reserve_options m_reserve = {};
    target_health_options m_health = {};
    retry_options m_retries = {};
    peer_choice_options m_peers = {};
};

/// Decides what is admitted, which request takes which slot, what is tried again, and what goes to
/// a peer. Pure. Every submitted request gets exactly one of refuse_request, fail_request and
/// abort_request, or its task reports that it was answered.
class scheduler
{
public:
    explicit scheduler(scheduler_options options);

    std::vector<scheduler_action> handle(const scheduler_event& event, instant now);

    /// What peers are told of this entry VM's room.
    cluster::load_digest load(instant now);

    /// Requests that were submitted and not yet ended.
    std::size_t open_requests() const { return m_requests.size(); }
    int ejected_targets() const { return m_targets.ejected(); }

private:
    using actions = std::vector<scheduler_action>;

    struct delayed_retry
    {
        instant m_due{};
        tracked_request_ptr m_request;

        bool operator>(const delayed_retry& other) const { return m_due > other.m_due; }
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

    tracked_request_ptr find(const request_id& id) const;
    int weight_of(const caller_id& caller) const;
    admission_view view_of(const class_state& which, const caller_id& caller) const;

    void conclude(const tracked_request_ptr& request, failure what, actions& out);
    void erase(const tracked_request_ptr& request);
    void leave_queue(const tracked_request_ptr& request, stage next);
    void wait_again(const tracked_request_ptr& request, instant now, actions& out);

    void end_attempt(tracked_request& request, const request_ended& event, instant now);
    void learn(tracked_request& request, const outcome<void>& result, instant now);
    void after_failure(const tracked_request_ptr& request, const request_ended& event, instant now,
                       actions& out);

    bool forward(const tracked_request_ptr& request, instant now, actions& out);
    void forward_waiting(instant now, actions& out);
    bool may_wait_for_peer(const pending_request& request, instant now) const;
    void refuse_without_target(instant now, actions& out);

    void dispatch_waiting(instant now, actions& out);
    bool start_next(class_state& which, instant now, actions& out);
    void dispatch(const tracked_request_ptr& request, class_state& which, instant now,
                  actions& out);

    void pass_deadlines(instant now, actions& out);
    void start_retries(instant now, actions& out);

    scheduler_options m_options;
    class_table m_classes;
    target_set m_targets;
    retry_policy m_retries;
    peer_choice m_peers;
    class_queue::weights m_weights;
    std::unordered_map<request_id, tracked_request_ptr> m_requests;
    std::unordered_map<request_id, target_id> m_occupied; ///< Slots of requests that ended.
    deadline_index m_deadlines;
    std::priority_queue<delayed_retry, std::vector<delayed_retry>, std::greater<>> m_delayed;
    instant m_refreshed{};
    bool m_draining = false;
};

} // namespace dragonflygap::request
