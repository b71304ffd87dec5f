#include "dragonflygap/request/request_task.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>
#include <utility>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/observe/history.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/request/caller_api.hpp"
#include "dragonflygap/request/scheduler.hpp"

namespace dragonflygap::request
{

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration load_interval = 100ms;
// An answer needs some time to get back to the caller by its deadline.
constexpr duration peer_answer_margin = 200ms;

scheduler_options scheduler_options_of(const request_task_options& options)
{
    // Entry VMs that choose alike would all send their work to the same peer at once.
    const std::uint64_t seed = std::hash<vm_id>()(options.m_vm) + options.m_incarnation;
    return {.m_retries = {.m_seed = seed},
            .m_peers = {.m_data_centre = options.m_data_centre, .m_seed = seed}};
}

} // namespace

class request_task::state
{
public:
    state(event_loop& loop, http_transport to_executors, metrics& counted,
          request_task_options options)
        : m_loop(loop),
          m_executors(std::move(to_executors)),
          m_metrics(counted),
          m_options(std::move(options)),
          m_scheduler(scheduler_options_of(m_options)),
          m_server(loop,
                   {.m_listen = m_options.m_listen,
                    .m_max_body_bytes = m_options.m_max_body_bytes,
                    .m_handler = [this](http_request request, const http_exchange_ptr& exchange)
                    { on_caller(std::move(request), exchange); }})
    {
        m_tick = m_loop.every(tick_interval, [this] { run({scheduler_tick{}}); });
        m_load_timer = m_loop.every(load_interval, [this] { report_load(); });
    }

    std::uint16_t port() const { return m_server.port(); }

    void serve(http_request request, const http_exchange_ptr& exchange)
    {
        on_caller(std::move(request), exchange);
    }

    void handle(request_message message)
    {
        std::visit([this](auto& what) { on(std::move(what)); }, message);
    }

private:
    using answer_hook = std::function<void(outcome<http_response>)>;

    struct in_flight
    {
        pending_request m_request;
        std::string m_body;
        answer_hook m_answer;
        instant m_dispatched{};
        http_transport::call_id m_call = 0;
    };

    struct forwarded
    {
        request_id m_id;
        vm_id m_peer;
        event_loop::timer_ptr m_timer;
    };

    void on_caller(http_request request, const http_exchange_ptr& exchange)
    {
        auto read = read_caller_request(request);
        if (!read)
            return refuse_caller(read.error(), exchange);
        if (m_draining)
            return refuse_caller({verdict::not_run, reason::draining, "this entry VM is leaving"},
                                 exchange);
        const auto known = m_classes.find(read->m_class);
        if (known == m_classes.end())
            return refuse_caller({verdict::not_run, reason::unknown_class,
                                  "no class '" + read->m_class.m_value + "' is configured"},
                                 exchange);
        const auto now = monotonic_clock::now();
        pending_request pending{
            .m_id = next_id(),
            .m_caller = read->m_caller,
            .m_class = read->m_class,
            .m_key = read->m_key,
            .m_idempotent = read->m_idempotent.value_or(known->second.m_idempotent),
            .m_arrived = now,
            .m_deadline = now + read->m_deadline.value_or(known->second.m_deadline)};
        exchange->on_hangup([this, id = pending.m_id] { run({request_cancelled{id}}); });
        accept(std::move(pending), std::move(request.m_body),
               [exchange](outcome<http_response> answer)
               { exchange->reply(answer ? *answer : failure_response(answer.error())); });
    }

    void refuse_caller(const failure& why, const http_exchange_ptr& exchange)
    {
        m_metrics.count("dragonflygap_refused_total", {"reason", to_string(why.m_reason)});
        exchange->reply(failure_response(why));
    }

    request_id next_id()
    {
        return request_id(m_options.m_vm.m_value + "." + std::to_string(m_options.m_incarnation) +
                          "." + std::to_string(++m_last_request));
    }

    void accept(pending_request pending, std::string body, answer_hook answer)
    {
        record(history::request_accepted{.m_request = pending.m_id,
                                         .m_class = pending.m_class,
                                         .m_caller = pending.m_caller,
                                         .m_key = pending.m_key,
                                         .m_idempotent = pending.m_idempotent,
                                         .m_hops = pending.m_hops});
        const auto id = pending.m_id;
        m_in_flight[id] = {
            .m_request = pending, .m_body = std::move(body), .m_answer = std::move(answer)};
        run({request_submitted{std::move(pending)}});
    }

    void run(const scheduler_event& event)
    {
        for (auto& action : m_scheduler.handle(event, monotonic_clock::now()))
            std::visit([this](auto& what) { act(what); }, action);
    }

    void act(const dispatch_request& action)
    {
        const auto found = m_in_flight.find(action.m_id);
        if (found == m_in_flight.end())
            return;
        auto& flight = found->second;
        flight.m_dispatched = monotonic_clock::now();
        record(history::request_dispatched{action.m_id, action.m_target});
        m_metrics.observe("dragonflygap_wait_seconds", {"class", flight.m_request.m_class.m_value},
                          flight.m_dispatched - flight.m_request.m_arrived);
        http_request call{
            .m_method = "POST",
            .m_path = "/execute",
            .m_headers = {{std::string(request_header), action.m_id.m_value},
                          {std::string(class_header), flight.m_request.m_class.m_value}},
            .m_body = flight.m_body};
        flight.m_call = m_executors.m_send(action.m_address, std::move(call),
                                           action.m_deadline - flight.m_dispatched,
                                           [this, id = action.m_id](outcome<http_response> answer)
                                           { on_executor_answer(id, std::move(answer)); });
    }

    void on_executor_answer(const request_id& id, outcome<http_response> answer)
    {
        if (answer && answer->m_status >= 400)
            answer = tl::make_unexpected(failure_of_response(*answer));
        outcome<void> ended;
        if (!answer)
            ended = tl::make_unexpected(answer.error());
        else
            finish(id, std::move(answer));
        run({request_ended{id, ended}});
    }

    void finish(const request_id& id, outcome<http_response> answer)
    {
        auto node = m_in_flight.extract(id);
        if (node.empty())
            return;
        auto& flight = node.mapped();
        const auto& class_name = flight.m_request.m_class.m_value;
        m_metrics.observe("dragonflygap_total_seconds", {"class", class_name},
                          monotonic_clock::now() - flight.m_request.m_arrived);
        if (answer)
        {
            record(history::request_answered{id});
            answer->m_headers.push_back({std::string(verdict_header), "ran"});
            answer->m_headers.push_back({std::string(request_header), id.m_value});
        }
        else
        {
            record(history::request_refused{id, answer.error().m_verdict, answer.error().m_reason});
            m_metrics.count("dragonflygap_refused_total",
                            {"reason", to_string(answer.error().m_reason)});
        }
        flight.m_answer(std::move(answer));
        if (m_draining && m_in_flight.empty() && m_options.m_on_drained)
            m_options.m_on_drained();
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
        const auto found = m_in_flight.find(action.m_id);
        if (found == m_in_flight.end())
            return;
        m_executors.m_cancel(found->second.m_call);
        finish(action.m_id, fail(verdict::may_have_run, reason::cancelled, "the caller left"));
        run({request_ended{action.m_id, {}}});
    }

    void act(const forward_request& action)
    {
        const auto found = m_in_flight.find(action.m_id);
        if (found == m_in_flight.end())
            return;
        const auto& flight = found->second;
        const auto call = ++m_last_forward;
        const auto left = flight.m_request.m_deadline - monotonic_clock::now();
        cluster::forwarded_request body{.m_call = call,
                                        .m_request = action.m_id,
                                        .m_caller = flight.m_request.m_caller,
                                        .m_class = flight.m_request.m_class,
                                        .m_key = flight.m_request.m_key,
                                        .m_idempotent = flight.m_request.m_idempotent,
                                        .m_hops = flight.m_request.m_hops + 1,
                                        .m_deadline_ms = to_ms(left),
                                        .m_body = flight.m_body};
        record(history::request_forwarded{action.m_id, action.m_peer});
        m_forwards[call] = {action.m_id, action.m_peer,
                            m_loop.after(left + peer_answer_margin,
                                         [this, call] { fail_forward(call, reason::timeout); })};
        m_options.m_to_peer(action.m_peer, std::move(body));
    }

    void fail_forward(std::uint64_t call, reason why)
    {
        const auto node = m_forwards.extract(call);
        if (!node.empty())
            run({forward_failed{node.mapped().m_id,
                                {verdict::may_have_run, why, "the peer gave no answer"}}});
    }

    void on(const targets_changed& event) { run(event); }

    void on(const classes_changed& event)
    {
        m_classes.clear();
        for (const auto& item : event.m_classes)
            m_classes[item.m_name] = item;
        run(event);
    }

    void on(const peers_changed& event) { run(event); }

    void on(from_peer message)
    {
        if (auto* request = std::get_if<cluster::forwarded_request>(&message.m_body))
            return on_forwarded(message.m_from, std::move(*request));
        if (auto* answer = std::get_if<cluster::forwarded_answer>(&message.m_body))
            return on_forwarded_answer(std::move(*answer));
    }

    void on_forwarded(const vm_id& from, cluster::forwarded_request request)
    {
        const auto now = monotonic_clock::now();
        pending_request pending{.m_id = request.m_request,
                                .m_caller = request.m_caller,
                                .m_class = request.m_class,
                                .m_key = request.m_key,
                                .m_idempotent = request.m_idempotent,
                                .m_hops = request.m_hops,
                                .m_arrived = now,
                                .m_deadline =
                                    now + std::chrono::milliseconds(request.m_deadline_ms)};
        accept(std::move(pending), std::move(request.m_body),
               [this, from, call = request.m_call](const outcome<http_response>& answer)
               { m_options.m_to_peer(from, make_answer(call, answer)); });
    }

    static cluster::forwarded_answer make_answer(std::uint64_t call,
                                                 const outcome<http_response>& answer)
    {
        if (!answer)
            return {.m_call = call,
                    .m_failed = true,
                    .m_verdict = answer.error().m_verdict,
                    .m_reason = answer.error().m_reason,
                    .m_detail = answer.error().m_detail};
        return {.m_call = call,
                .m_status = answer->m_status,
                .m_content_type = std::string(answer->header("Content-Type")),
                .m_body = answer->m_body};
    }

    void on_forwarded_answer(cluster::forwarded_answer answer)
    {
        const auto node = m_forwards.extract(answer.m_call);
        if (node.empty())
            return;
        const auto& id = node.mapped().m_id;
        if (answer.m_failed)
            return run({forward_failed{
                id, {answer.m_verdict, answer.m_reason, std::move(answer.m_detail)}}});
        finish(id, http_response{.m_status = answer.m_status,
                                 .m_headers = {{"Content-Type", answer.m_content_type}},
                                 .m_body = std::move(answer.m_body)});
        run({request_ended{id, {}}});
    }

    void on(const start_draining& /*event*/)
    {
        m_draining = true;
        run({drain_started{}});
        if (m_in_flight.empty() && m_options.m_on_drained)
            m_options.m_on_drained();
    }

    void report_load()
    {
        const auto load = m_scheduler.load(monotonic_clock::now());
        for (const auto& item : load.m_classes)
        {
            m_metrics.set("dragonflygap_queued", {"class", item.m_class.m_value}, item.m_queued);
            m_metrics.set("dragonflygap_running", {"class", item.m_class.m_value}, item.m_running);
        }
        if (m_options.m_on_load)
            m_options.m_on_load(load);
    }

    void record(const history::event& what) const
    {
        if (m_options.m_history)
            history::record(what);
    }

    event_loop& m_loop;
    http_transport m_executors;
    metrics& m_metrics;
    request_task_options m_options;
    scheduler m_scheduler;
    std::unordered_map<class_id, config::request_class> m_classes;
    std::unordered_map<request_id, in_flight> m_in_flight;
    std::unordered_map<std::uint64_t, forwarded> m_forwards;
    std::uint64_t m_last_request = 0;
    std::uint64_t m_last_forward = 0;
    bool m_draining = false;
    event_loop::timer_ptr m_tick;
    event_loop::timer_ptr m_load_timer;
    http_server m_server;
};

request_task::request_task(event_loop& loop, http_transport to_executors, metrics& counted,
                           request_task_options options)
    : m_state(std::make_unique<state>(loop, std::move(to_executors), counted, std::move(options)))
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
