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
    /// Passes a call to the leader; false if there is none that could be reached.
    std::function<bool(const cell::caller_call&)> m_to_leader;
    /// True while the leader has been silent for so short a time that a successor is likely.
    std::function<bool()> m_takeover_expected;
    duration m_submit_limit = 2200ms;  ///< Below the 3 s for which callers of the sites wait.
    duration m_state_limit = 600ms;    ///< After it the store is read instead.
    duration m_store_limit = 1s;       ///< For one reading of the store.
    duration m_takeover_check = 100ms; ///< How often a call that waits for a leader looks again.
    std::int64_t m_no_leader_retry_ms = 1000; ///< A take-over lasts about one second.
};

/// Takes the calls of callers, has the leader answer them, and reads the store where it can't.
class caller_task
{
public:
    using done = std::function<void(const cell::caller_answer&)>;

    caller_task(event_loop& loop, metrics& counted, caller_task_options options);

    /// Starts a call; done is called once. The call's number is set here.
    void call(cell::caller_call what, done on_done);

    void answered(const cell::caller_answer& answer);

    /// The process ends after so long: what can't be answered by then is rejected instead of being
    /// passed on.
    void end_after(duration left);

    /// Answers all that is open, and from now on every call at once.
    void end();

    /// Another VM leads now: what waits for an answer is sent again. All calls are idempotent.
    void leader_changed();

    std::size_t open() const { return m_open.size(); }

private:
    struct open_call
    {
        cell::caller_call m_call;
        done m_done;
        event_loop::timer_ptr m_timer;
        instant m_since{};
        int m_sent = 0;       ///< To how many leaders, one after another.
        int m_rejections = 0; ///< How many of them have rejected it.
    };

    void finish(std::uint64_t call, const cell::caller_answer& answer);
    void await_answer(open_call& open);
    void await_leader(std::uint64_t call);
    void expire(std::uint64_t call);
    void read_store(std::uint64_t call);
    void read_end(std::uint64_t call);
    bool may_pass_on(const open_call& open) const;
    void finish_unanswered(std::uint64_t call);
    const open_call* find(std::uint64_t call) const;

    event_loop& m_loop;
    metrics& m_counted;
    caller_task_options m_options;
    std::uint64_t m_last_call = 0;
    std::map<std::uint64_t, open_call> m_open;
    std::optional<instant> m_end; ///< After it nothing is answered; set if that is near.
    bool m_ended = false;
};

} // namespace node

} // namespace dragonflygap
