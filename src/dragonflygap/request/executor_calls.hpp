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

/// The result of one attempt at a target.
struct attempt_result
{
    outcome<void> m_outcome;
    std::optional<http_response> m_response; ///< The target's answer, also if it is an error.
    bool m_slot_free = true;                 ///< False: m_on_slot_freed follows.
};

struct executor_calls_options
{
    http_transport m_calls;
    http_transport m_probes; ///< Must open a new connection for every call.
    duration m_first_probe_delay = 2s;
    duration m_probe_interval = 2s;
    duration m_confirm_delay = 500ms; ///< Delay before a probe that confirms a state.
    duration m_probe_timeout = 1s;
    /// Limits how long the result of a call that may have run is deferred until the target reports
    /// its state.
    duration m_max_deferral = 3s;
    /// A held slot is considered free if no probe is answered for this long.
    duration m_silent_slot_timeout = 60s;
    std::function<void(const request_id& id, attempt_result result)> m_on_attempt_end;
    std::function<void(const request_id& id)> m_on_slot_freed;
};

/// Calls executors and probes them to detect dead connections.
///
/// During a call the target is probed on a new connection for the state of the request, which
/// distinguishes slow work from a dead connection. After a call that was aborted or may have run,
/// the slot is held until the target reports that it no longer runs the request, or hasn't answered
/// a probe for m_silent_slot_timeout. The result of a call that may have run is reported when the
/// slot becomes free, so that the request can be retried, or after m_max_deferral.
class executor_calls
{
public:
    executor_calls(event_loop& loop, executor_calls_options options);

    /// Starts an attempt. m_on_attempt_end is called once, asynchronously, unless it is aborted.
    void start(const request_id& id, const endpoint& to, http_request request, instant deadline);

    /// Cancels the attempt. Returns true if the slot is free; otherwise m_on_slot_freed follows.
    bool abort(const request_id& id);

    /// Number of slots that are held without a call in flight.
    std::size_t held_slots() const;

private:
    struct execution
    {
        endpoint m_address;
        std::optional<http_transport::call_id> m_call; ///< Empty: only the slot is held.
        std::optional<http_transport::call_id> m_probe;
        std::optional<attempt_result> m_deferred_result; ///< Reported once the state is known.
        instant m_deadline{};
        duration m_max_probe_delay{}; ///< Limits the probe delays before a near deadline.
        instant m_deferred_until{};
        instant m_next_probe_at{};
        instant m_last_report_at{}; ///< When the target last reported the request's state.
        std::string m_last_state;   ///< The state that the target last reported.
    };

    void on_answer(const request_id& id, outcome<http_response> answer);
    void tick();
    void probe(const request_id& id, execution& probed);
    void on_probe(const request_id& id, const outcome<http_response>& answer);
    void hold_slot(execution& held);
    void defer_result(const request_id& id, execution& ended, attempt_result result);
    void report_deferred_result(const request_id& id, execution& ended);
    void free_slot(const request_id& id);
    void abandon_call(const request_id& id, execution& silent, const std::string& state);

    event_loop& m_loop;
    executor_calls_options m_options;
    std::unordered_map<request_id, execution> m_executions;
    event_loop::timer_ptr m_timer;
};

} // namespace dragonflygap::request
