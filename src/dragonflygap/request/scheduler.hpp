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
    duration m_min_wait_to_forward = 5ms; ///< Forwarding costs more than a shorter wait.
    duration m_no_target_timeout = 500ms; ///< Limits the wait for a peer if none is owned.
    duration m_refresh_interval = 50ms;   ///< Of run time estimates and reserves.
    slot_reserve_options m_reserve = {};
    target_health_options m_health = {};
    retry_options m_retries = {};
    peer_choice_options m_peers = {};
};

/// Schedules requests: decides on admission, dispatch, retries and forwarding to peers. Does no
/// I/O. Every submitted request ends in exactly one way: by one of refuse_request, fail_request and
/// abort_request, or when the task reports that it was answered.
class scheduler
{
public:
    explicit scheduler(scheduler_options options);

    std::vector<scheduler_action> handle(const scheduler_event& event, instant now);

    /// The load digest that is sent to peers.
    cluster::load_digest load(instant now);

    /// Number of submitted requests that have not yet ended.
    std::size_t open_requests() const { return m_requests.size(); }
    int ejected_targets() const { return m_targets.ejected(); }

private:
    using actions = std::vector<scheduler_action>;

    struct delayed_retry
    {
        instant m_due_at{};
        tracked_request_ptr m_request;

        bool operator>(const delayed_retry& other) const { return m_due_at > other.m_due_at; }
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
    admission_view make_admission_view(const class_state& state, const caller_id& caller) const;

    void finish(const tracked_request_ptr& request, failure error, actions& out);
    void erase(const tracked_request_ptr& request);
    void remove_from_queue(const tracked_request_ptr& request, stage next);
    void requeue(const tracked_request_ptr& request, instant now, actions& out);

    void end_attempt(tracked_request& request, const request_ended& event, instant now);
    void record_result(tracked_request& request, const outcome<void>& result, instant now);
    void retry_or_fail(const tracked_request_ptr& request, const request_ended& event, instant now,
                       actions& out);

    bool forward(const tracked_request_ptr& request, instant now, actions& out);
    void forward_waiting(instant now, actions& out);
    bool may_wait_for_peer(const pending_request& request, instant now) const;
    void refuse_without_target(instant now, actions& out);

    void dispatch_waiting(instant now, actions& out);
    bool dispatch_next(class_state& state, instant now, actions& out);
    void dispatch(const tracked_request_ptr& request, class_state& state, instant now,
                  actions& out);

    void expire_deadlines(instant now, actions& out);
    void requeue_due_retries(instant now, actions& out);

    scheduler_options m_options;
    class_table m_classes;
    target_set m_targets;
    retry_policy m_retries;
    peer_choice m_peers;
    class_queue::weights m_weights;
    std::unordered_map<request_id, tracked_request_ptr> m_requests;
    std::unordered_map<request_id, target_id> m_held_slots; ///< By ended request.
    deadline_index m_deadlines;
    std::priority_queue<delayed_retry, std::vector<delayed_retry>, std::greater<>>
        m_delayed_retries;
    instant m_refreshed_at{};
    bool m_draining = false;
};

} // namespace dragonflygap::request
