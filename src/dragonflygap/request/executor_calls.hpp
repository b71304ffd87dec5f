#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/transport.hpp"

namespace dragonflygap::request
{

/// How one attempt at a target ended.
struct attempt_end
{
    outcome<void> m_outcome;
    std::optional<http_response> m_response; ///< What the target answered, an error included.
    bool m_slot_free = true;                 ///< False: on_slot_freed follows.
};

struct executor_calls_options
{
    http_transport m_calls;
    http_transport m_probes; ///< Opens a new connection for every call.
    duration m_probe_after = 2s;
    duration m_probe_every = 2s;
    duration m_probe_again = 500ms; ///< When the target's word has to be confirmed.
    duration m_probe_timeout = 1s;
    /// How long the end of a call that may have run waits for the target's word.
    duration m_settle = 3s;
    /// A slot whose target can't be asked is taken for free after this time.
    duration m_lapse = 60s;
    std::function<void(const request_id& id, attempt_end end)> m_on_end;
    std::function<void(const request_id& id)> m_on_slot_freed;
};

/// Calls to executors, and what becomes of them when their connection tells nothing.
///
/// While a call lasts, the target is asked on a new connection whether it still runs the request,
/// which tells slow work from a dead path. After a call that may have run, or was aborted, the slot
/// stays taken until the target says that it no longer runs the request, or cannot be asked for
/// the lapse time. The end of a call that may have run is reported once the target has said so,
/// that it may be tried again, or after the settle time.
class executor_calls
{
public:
    executor_calls(event_loop& loop, executor_calls_options options);

    /// Starts an attempt; m_on_end is called once, later, unless it is aborted.
    void start(const request_id& id, const endpoint& to, http_request request, instant deadline);

    /// Drops the attempt; true if the slot is free at once, else m_on_slot_freed follows.
    bool abort(const request_id& id);

    /// Slots that are held although no call is under way.
    std::size_t unsettled() const;

private:
    struct execution
    {
        endpoint m_address;
        std::optional<http_transport::call_id> m_call; ///< Nothing: only the slot is held.
        std::optional<http_transport::call_id> m_probe;
        std::optional<attempt_end> m_end; ///< To be reported when the target's word is known.
        instant m_deadline{};
        duration m_pace{}; ///< Shorter times between questions, for a near deadline.
        instant m_settle_until{};
        instant m_next_probe{};
        instant m_last_word{}; ///< When the target was last heard about this request.
        std::string m_said;    ///< What the target said last.
    };

    void on_answer(const request_id& id, outcome<http_response> answer);
    void tick();
    void probe(const request_id& id, execution& asked);
    void on_probe(const request_id& id, const outcome<http_response>& answer);
    void hold_slot(execution& held);
    void settle(const request_id& id, execution& ended, attempt_end end);
    void stop_waiting(const request_id& id, execution& ended);
    void free_slot(const request_id& id);
    void give_up(const request_id& id, execution& silent, const std::string& state);

    event_loop& m_loop;
    executor_calls_options m_options;
    std::unordered_map<request_id, execution> m_executions;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::request
