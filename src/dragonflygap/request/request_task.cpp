#include "dragonflygap/request/request_task.hpp"

#include <set>
#include <utility>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/observe/history.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/request/caller_api.hpp"
#include "dragonflygap/request/caller_server.hpp"
#include "dragonflygap/request/executor_calls.hpp"
#include "dragonflygap/request/in_flight.hpp"
#include "dragonflygap/request/load_metrics.hpp"
#include "dragonflygap/request/peer_forwards.hpp"
#include "dragonflygap/request/scheduler.hpp"

namespace dragonflygap::request
{

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration load_interval = 100ms;

// The other headers concern the connection to the target and aren't forwarded between entry VMs.
void filter_headers(http_response& answer)
{
    http_response filtered;
    for (const auto name : {std::string_view("Content-Type"), replay_header})
        if (const auto value = answer.header(name); !value.empty())
            filtered.m_headers.push_back({std::string(name), std::string(value)});
    answer.m_headers = std::move(filtered.m_headers);
}

scheduler_options scheduler_options_of(const request_task_options& options)
{
    // With equal seeds, all entry VMs would choose the same peer at the same time.
    const std::uint64_t seed = std::hash<vm_id>()(options.m_vm) + options.m_incarnation;
    return {.m_retries = {.m_seed = seed},
            .m_peers = {.m_data_centre = options.m_data_centre, .m_seed = seed}};
}

} // namespace

class request_task::state
{
public:
    state(event_loop& loop, metrics& registry, request_task_options options)
        : m_loop(loop),
          m_metrics(registry),
          m_options(std::move(options)),
          m_scheduler(scheduler_options_of(m_options)),
          m_calls(loop, call_options()),
          m_forwards(loop, forward_options()),
          m_callers(loop, registry, m_in_flight, caller_options())
    {
        m_tick = m_loop.every(tick_interval, [this] { run({scheduler_tick{}}); });
        m_load_timer = m_loop.every(load_interval, [this] { report_load(); });
    }

    std::uint16_t port() const { return m_callers.port(); }

    void serve(http_request request, const http_exchange_ptr& exchange)
    {
        m_callers.serve(std::move(request), exchange);
    }

    void handle(request_message message)
    {
        std::visit([this](auto& alternative) { on(std::move(alternative)); }, message);
    }

private:
    executor_calls_options call_options()
    {
        return {.m_calls = m_options.m_to_executors,
                .m_probes = m_options.m_probes,
                .m_on_attempt_end = [this](const request_id& id, attempt_result result)
                { on_attempt_end(id, std::move(result)); },
                .m_on_slot_freed = [this](const request_id& id) { run({slot_freed{id}}); }};
    }

    caller_server_options caller_options()
    {
        return {.m_vm = m_options.m_vm,
                .m_incarnation = m_options.m_incarnation,
                .m_listen = m_options.m_listen,
                .m_max_body_bytes = m_options.m_max_body_bytes,
                .m_limits = m_options.m_limits,
                .m_on_request = [this](const request_id& id) { begin(id); },
                .m_on_cancel = [this](const request_id& id) { cancel(id); }};
    }

    peer_forwards_options forward_options()
    {
        return {.m_to_peer = m_options.m_to_peer,
                .m_on_answered =
                    [this](const request_id& id, http_response answer)
                {
                    finish(id, std::move(answer));
                    run({request_ended{id, {}}});
                },
                .m_on_failed =
                    [this](const request_id& id, failure error) {
                        run({forward_failed{id, std::move(error)}});
                    }};
    }

    void cancel(const request_id& id)
    {
        const auto* entry = m_in_flight.find(id);
        if (entry == nullptr)
            return;
        if (entry->m_claim == claim_progress::requested)
            return finish(id, fail(verdict::not_run, reason::cancelled,
                                   "the caller cancelled or disconnected"));
        run({request_cancelled{id}});
    }

    void begin(const request_id& id)
    {
        auto& entry = *m_in_flight.find(id);
        record(history::request_accepted{.m_request = id,
                                         .m_class = entry.m_request.m_class,
                                         .m_caller = entry.m_request.m_caller,
                                         .m_key = entry.m_request.m_key,
                                         .m_idempotent = entry.m_request.m_idempotent,
                                         .m_hops = entry.m_request.m_hops});
        // A forwarded request was already claimed by the entry VM that received it.
        const bool needs_claim = !entry.m_row_key.empty() && !entry.m_request.m_idempotent;
        if (!needs_claim)
            return run({request_submitted{entry.m_request}});
        entry.m_claim = claim_progress::requested;
        m_options.m_to_claims(claim_requested{id, entry.m_row_key, entry.m_fingerprint});
    }

    void on(const claim_granted& event)
    {
        auto* entry = m_in_flight.find(event.m_request);
        if (entry == nullptr)
            return m_options.m_to_claims(claim_ended{event.m_request, verdict::not_run, {}});
        entry->m_claim = claim_progress::granted;
        run({request_submitted{entry->m_request}});
    }

    void on(const claim_answered& event) { finish(event.m_request, to_response(event.m_answer)); }

    void on(claim_refused event)
    {
        finish(event.m_request, tl::make_unexpected(std::move(event.m_failure)));
    }

    /// Passes an event to the scheduler and executes the resulting actions.
    void run(const scheduler_event& event)
    {
        for (auto& action : m_scheduler.handle(event, monotonic_clock::now()))
            std::visit([this](auto& alternative) { act(alternative); }, action);
    }

    void act(const dispatch_request& action)
    {
        auto* entry = m_in_flight.find(action.m_id);
        if (entry == nullptr)
            return;
        const auto now = monotonic_clock::now();
        entry->m_target_error.reset();
        record(history::request_dispatched{action.m_id, action.m_target});
        const auto& class_name = entry->m_request.m_class.m_value;
        if (action.m_attempt > 1)
            m_metrics.count("dragonflygap_retries_total", {"class", class_name});
        m_metrics.observe("dragonflygap_wait_seconds", {"class", class_name},
                          now - entry->m_request.m_arrived_at);
        http_request call{.m_method = "POST",
                          .m_path = "/execute",
                          .m_headers = {{std::string(request_header), action.m_id.m_value},
                                        {std::string(class_header), class_name}},
                          .m_body = entry->m_body};
        m_calls.start(action.m_id, action.m_address, std::move(call), action.m_deadline);
    }

    void on_attempt_end(const request_id& id, attempt_result result)
    {
        auto* entry = m_in_flight.find(id);
        if (result.m_outcome)
            finish(id, std::move(*result.m_response));
        else if (entry != nullptr && result.m_outcome.error().m_verdict == verdict::ran)
        {
            entry->m_target_error = std::move(result.m_response);
            // An idempotent request whose answer was lost may be retried.
            if (!entry->m_target_error && entry->m_request.m_idempotent)
                result.m_outcome.error().m_verdict = verdict::may_have_run;
        }
        run({request_ended{id, result.m_outcome, result.m_slot_free}});
    }

    void finish(const request_id& id, outcome<http_response> answer)
    {
        auto ended = m_in_flight.remove(id);
        if (!ended)
            return;
        // Prefer the target's own error response: it is more specific.
        if (!answer && answer.error().m_verdict == verdict::ran && ended->m_target_error)
            answer = std::move(*ended->m_target_error);
        const auto& class_name = ended->m_request.m_class.m_value;
        m_metrics.observe("dragonflygap_total_seconds", {"class", class_name},
                          monotonic_clock::now() - ended->m_request.m_arrived_at);
        if (answer)
        {
            record(history::request_answered{id});
            filter_headers(*answer);
            answer->m_headers.push_back({std::string(verdict_header), "ran"});
            answer->m_headers.push_back({std::string(request_header), id.m_value});
        }
        else
        {
            record(history::request_refused{id, answer.error().m_verdict, answer.error().m_reason});
            m_metrics.count("dragonflygap_refused_total",
                            {"reason", to_string(answer.error().m_reason)});
        }
        if (ended->m_claim == claim_progress::granted)
            m_options.m_to_claims(make_claim_ended(id, answer));
        m_in_flight.cache_answer(*ended, answer);
        for (const auto& waiter : ended->m_waiters)
            waiter.m_answer(answer);
        check_drained();
    }

    void act(const refuse_request& action)
    {
        finish(action.m_id, tl::make_unexpected(action.m_failure));
    }

    void act(const fail_request& action)
    {
        finish(action.m_id, tl::make_unexpected(action.m_failure));
    }

    void act(const abort_request& action)
    {
        const bool slot_free = m_forwards.cancel(action.m_id) || m_calls.abort(action.m_id);
        const auto cancelled =
            fail(verdict::may_have_run, reason::cancelled, "the caller cancelled or disconnected");
        finish(action.m_id, cancelled);
        run({request_ended{action.m_id, cancelled, slot_free}});
    }

    void act(const forward_request& action)
    {
        const auto* entry = m_in_flight.find(action.m_id);
        if (entry == nullptr)
            return;
        record(history::request_forwarded{action.m_id, action.m_peer});
        m_forwards.send(entry->m_request, entry->m_body, action.m_peer);
    }

    void on(const targets_changed& event)
    {
        std::set<endpoint> addresses;
        for (const auto& item : event.m_targets)
            addresses.insert(item.m_address);
        // Executors limit their connections, and the next owner needs them.
        for (const auto& old : m_addresses)
            if (!addresses.contains(old))
                m_options.m_to_executors.m_close_idle(old);
        m_addresses = std::move(addresses);
        run(event);
    }

    void on(const classes_changed& event)
    {
        m_callers.set_classes(event.m_classes);
        run(event);
    }

    void on(const peers_changed& event) { run(event); }

    void on(const forward_not_sent& event) { m_forwards.on_not_sent(event.m_call); }

    void on(const peer_process_changed& event)
    {
        m_forwards.on_peer_incarnation(event.m_vm, event.m_incarnation);
        if (event.m_dead)
            m_forwards.on_peer_lost(event.m_vm);
    }

    void on(from_peer message)
    {
        if (auto* request = std::get_if<cluster::forwarded_request>(&message.m_body))
            return on_forwarded(message.m_from, message.m_incarnation, std::move(*request));
        if (auto* answer = std::get_if<cluster::forwarded_answer>(&message.m_body))
            return m_forwards.on_answer(message.m_from, std::move(*answer));
        if (const auto* dropped = std::get_if<cluster::forwarded_cancel>(&message.m_body))
            if (const auto id = m_received.request_of(message.m_from, dropped->m_call))
                cancel(*id);
    }

    void on_forwarded(const vm_id& from, std::uint64_t incarnation,
                      cluster::forwarded_request request)
    {
        const auto call = request.m_call;
        const auto id = request.m_request;
        if (!m_received.admit(from, incarnation, call, id))
            return;
        answer_hook answer = [this, from, call](const outcome<http_response>& result)
        {
            m_received.mark_answered(from, call);
            m_options.m_to_peer(from, make_forwarded_answer(call, result));
        };
        // The request was forwarded back to an entry VM where it is in flight.
        if (m_in_flight.find(id) != nullptr)
            return answer(
                fail(verdict::not_run, reason::conflict, "the request was forwarded in a loop"));
        const auto now = monotonic_clock::now();
        const auto time_left = std::chrono::milliseconds(request.m_deadline_ms);
        m_in_flight.add({.m_request = {.m_id = id,
                                       .m_caller = request.m_caller,
                                       .m_class = request.m_class,
                                       .m_key = request.m_key,
                                       .m_idempotent = request.m_idempotent,
                                       .m_hops = request.m_hops,
                                       .m_arrived_at = now,
                                       .m_deadline = now + time_left},
                         .m_body = std::move(request.m_body)},
                        std::move(answer));
        begin(id);
    }

    void on(const start_draining& /*event*/)
    {
        // Callers are still served until the load balancer has noticed.
        m_drain_timer = m_loop.after(m_options.m_drain_delay, [this] { drain(); });
    }

    void drain()
    {
        m_draining = true;
        m_callers.drain();
        run({drain_started{}});
        check_drained();
    }

    void check_drained()
    {
        if (m_draining && m_in_flight.empty() && m_options.m_on_drained)
            m_options.m_on_drained();
    }

    void report_load()
    {
        const auto load = m_scheduler.load(monotonic_clock::now());
        publish_load(m_metrics, load);
        m_metrics.set("dragonflygap_slots_unsettled", {"vm", m_options.m_vm.m_value},
                      static_cast<double>(m_calls.held_slots()));
        m_metrics.set("dragonflygap_targets_ejected", {"vm", m_options.m_vm.m_value},
                      m_scheduler.ejected_targets());
        if (m_options.m_on_load)
            m_options.m_on_load(load);
    }

    void record(const history::event& event) const
    {
        if (m_options.m_history)
            history::record(event);
    }

    event_loop& m_loop;
    metrics& m_metrics;
    request_task_options m_options;
    scheduler m_scheduler;
    std::set<endpoint> m_addresses;
    in_flight_requests m_in_flight;
    executor_calls m_calls;
    forwarded_requests m_forwards;
    received_calls m_received;
    bool m_draining = false;
    event_loop::timer_ptr m_tick;
    event_loop::timer_ptr m_load_timer;
    event_loop::timer_ptr m_drain_timer;
    caller_server m_callers;
};

request_task::request_task(event_loop& loop, metrics& registry, request_task_options options)
    : m_state(std::make_unique<state>(loop, registry, std::move(options)))
{
}

request_task::~request_task() = default;

void request_task::handle(request_message message)
{
    m_state->handle(std::move(message));
}

void request_task::serve(http_request request, const http_exchange_ptr& exchange)
{
    m_state->serve(std::move(request), exchange);
}

std::uint16_t request_task::port() const
{
    return m_state->port();
}

} // namespace dragonflygap::request
