#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "dragonflygap/cell/events.hpp"
#include "dragonflygap/cell/peer_messages.hpp"
#include "dragonflygap/cell/ports.hpp"
#include "dragonflygap/net/event_loop.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

struct caller_task_options
{
    cell::store_port m_store;
    /// Sends a call to the leader; false if no leader is reachable.
    std::function<bool(const cell::caller_call&)> m_send_to_leader;
    /// True while the leader has been silent so briefly that a successor is likely.
    std::function<bool()> m_takeover_expected;
    /// Distinguishes the calls of this process from those of earlier processes of the VM.
    std::uint64_t m_incarnation = 0;
    duration m_submit_timeout = 2200ms;         ///< Below the 3 s that callers of the sites wait.
    duration m_state_timeout = 600ms;           ///< After it the store is read instead.
    duration m_store_timeout = 1s;              ///< For one read.
    duration m_takeover_check_interval = 100ms; ///< For calls that wait for a leader.
    std::int64_t m_no_leader_retry_after_ms = 1000; ///< A take-over lasts about one second.
};

/// Forwards the calls of callers to the leader, and reads the store when the leader can't answer.
class caller_task
{
public:
    using done = std::function<void(const cell::caller_answer&)>;

    caller_task(event_loop& loop, metrics& registry, caller_task_options options);

    /// Starts a call and sets its number; on_done is called once.
    void call(cell::caller_call request, done on_done);

    void on_answer(const cell::caller_answer& answer);

    /// Sets the time until the process exits: calls that can't be answered by then are rejected
    /// instead of forwarded.
    void set_deadline(duration time_left);

    /// Answers all open calls, and from now on every new call at once.
    void close();

    /// Sends the open calls to the new leader. Calls are idempotent.
    void leader_changed();

    std::size_t open_count() const { return m_open_calls.size(); }

private:
    struct open_call
    {
        cell::caller_call m_call;
        done m_done;
        event_loop::timer_ptr m_timer;
        instant m_received_at{};
        int m_forward_count = 0;   ///< Leaders that it was sent to, one after another.
        int m_rejection_count = 0; ///< Leaders that rejected it.
    };

    void finish(std::uint64_t call, const cell::caller_answer& answer);
    void await_answer(open_call& open);
    void await_leader(std::uint64_t call);
    void expire(std::uint64_t call);
    void read_store(std::uint64_t call);
    void read_ended_job(std::uint64_t call);
    bool may_forward(const open_call& open) const;
    void finish_unanswered(std::uint64_t call);
    const open_call* find(std::uint64_t call) const;

    event_loop& m_loop;
    metrics& m_metrics;
    caller_task_options m_options;
    std::uint64_t m_last_call;
    std::map<std::uint64_t, open_call> m_open_calls;
    std::optional<instant> m_deadline; ///< Set while stopping: no answers are given after it.
    bool m_closed = false;
};

} // namespace node

} // namespace dragonflygap
