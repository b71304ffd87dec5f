#include "dragonflygap/request/executor_calls.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::request
{

namespace
{

constexpr duration tick_interval = 100ms;
// Probes must be frequent enough that a retry still fits before the deadline.
constexpr int probes_before_deadline = 8;
constexpr duration min_probe_delay = 250ms;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

failure make_failure(const http_response& response)
{
    if (!response.header(verdict_header).empty())
        return failure_of_response(response);
    return {verdict::ran, reason::target_failed,
            "the target answered with HTTP status " + std::to_string(response.m_status)};
}

// A client error without a verdict header is an answer to the caller, not a failed attempt.
attempt_result make_result(http_response response)
{
    const bool has_verdict = !response.header(verdict_header).empty();
    const bool answered = response.m_status < first_client_error ||
                          (response.m_status < first_server_error && !has_verdict);
    attempt_result result;
    if (!answered)
        result.m_outcome = tl::make_unexpected(make_failure(response));
    result.m_response = std::move(response);
    return result;
}

std::string parse_state(const http_response& response)
{
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    constexpr int ok = 200;
    const bool is_valid = response.m_status == ok && body.is_object() && body.contains("state") &&
                          body["state"].is_string();
    return is_valid ? body["state"].get<std::string>() : std::string();
}

} // namespace

executor_calls::executor_calls(event_loop& loop, executor_calls_options options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_timer(m_loop.every(std::min(tick_interval, m_options.m_confirm_delay), [this] { tick(); }))
{
}

void executor_calls::start(const request_id& id, const endpoint& to, http_request request,
                           instant deadline)
{
    const auto now = monotonic_clock::now();
    auto& started = m_executions[id];
    const auto max_probe_delay =
        std::max(min_probe_delay, (deadline - now) / probes_before_deadline);
    started = {.m_address = to,
               .m_deadline = deadline,
               .m_max_probe_delay = max_probe_delay,
               .m_next_probe_at = now + std::min(max_probe_delay, m_options.m_first_probe_delay),
               .m_last_report_at = now};
    started.m_call = m_options.m_calls.m_send(to, std::move(request), deadline - now,
                                              [this, id](outcome<http_response> answer)
                                              { on_answer(id, std::move(answer)); });
}

bool executor_calls::abort(const request_id& id)
{
    const auto found = m_executions.find(id);
    if (found == m_executions.end())
        return true;
    if (found->second.m_call)
        m_options.m_calls.m_cancel(*found->second.m_call);
    found->second.m_deferred_result.reset();
    hold_slot(found->second);
    return false;
}

std::size_t executor_calls::held_slots() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_executions, [](const auto& item) { return !item.second.m_call; }));
}

void executor_calls::on_answer(const request_id& id, outcome<http_response> answer)
{
    const auto found = m_executions.find(id);
    if (found == m_executions.end() || !found->second.m_call)
        return;
    attempt_result result;
    if (answer)
        result = make_result(std::move(*answer));
    else
    {
        result.m_outcome = tl::make_unexpected(answer.error());
        result.m_slot_free = answer.error().m_verdict != verdict::may_have_run;
    }
    if (!result.m_slot_free)
        return defer_result(id, found->second, std::move(result));
    if (found->second.m_probe)
        m_options.m_probes.m_cancel(*found->second.m_probe);
    m_executions.erase(found);
    m_options.m_on_attempt_end(id, std::move(result));
}

void executor_calls::hold_slot(execution& held)
{
    const auto now = monotonic_clock::now();
    held.m_call.reset();
    // A probe sent earlier may have been answered before the target received the request.
    if (held.m_probe)
        m_options.m_probes.m_cancel(*std::exchange(held.m_probe, std::nullopt));
    held.m_last_report_at = now;
    held.m_last_state.clear();
    // Delays the probe, so that a request still in transit reaches the target first.
    held.m_next_probe_at = now + std::min(held.m_max_probe_delay, m_options.m_confirm_delay);
}

void executor_calls::defer_result(const request_id& id, execution& ended, attempt_result result)
{
    hold_slot(ended);
    const auto now = monotonic_clock::now();
    ended.m_deferred_until = std::min(ended.m_deadline, now + m_options.m_max_deferral);
    ended.m_deferred_result = std::move(result);
    if (now >= ended.m_deferred_until)
        report_deferred_result(id, ended);
}

void executor_calls::report_deferred_result(const request_id& id, execution& ended)
{
    auto result = std::move(*ended.m_deferred_result);
    ended.m_deferred_result.reset();
    m_options.m_on_attempt_end(id, std::move(result));
}

void executor_calls::free_slot(const request_id& id)
{
    auto freed = m_executions.extract(id);
    auto& result = freed.mapped().m_deferred_result;
    if (!result)
        return m_options.m_on_slot_freed(id);
    result->m_slot_free = true;
    m_options.m_on_attempt_end(id, std::move(*result));
}

void executor_calls::tick()
{
    const auto now = monotonic_clock::now();
    std::vector<request_id> timed_out;
    std::vector<request_id> expired_deferrals;
    for (auto& [id, item] : m_executions)
    {
        if (item.m_deferred_result && now >= item.m_deferred_until)
            expired_deferrals.push_back(id);
        if (!item.m_call && now - item.m_last_report_at >= m_options.m_silent_slot_timeout)
            timed_out.push_back(id);
        else if (!item.m_probe && now >= item.m_next_probe_at)
            probe(id, item);
    }
    for (const auto& id : expired_deferrals)
        if (const auto found = m_executions.find(id); found != m_executions.end())
            report_deferred_result(id, found->second);
    for (const auto& id : timed_out)
    {
        log_event(log_level::warning, "slot_lapsed", {{"request", id.m_value}});
        if (const auto& probed = m_executions.at(id).m_probe)
            m_options.m_probes.m_cancel(*probed);
        free_slot(id);
    }
}

void executor_calls::probe(const request_id& id, execution& probed)
{
    probed.m_next_probe_at = monotonic_clock::now() + m_options.m_probe_interval;
    probed.m_probe = m_options.m_probes.m_send(
        probed.m_address, {.m_path = "/executions/" + id.m_value}, m_options.m_probe_timeout,
        [this, id](const outcome<http_response>& answer) { on_probe(id, answer); });
}

void executor_calls::on_probe(const request_id& id, const outcome<http_response>& answer)
{
    const auto found = m_executions.find(id);
    if (found == m_executions.end())
        return;
    auto& probed = found->second;
    probed.m_probe.reset();
    const auto state = answer ? parse_state(*answer) : std::string();
    if (state.empty())
        return;
    probed.m_last_report_at = monotonic_clock::now();
    const bool running = state == "running";
    const bool confirmed = state == std::exchange(probed.m_last_state, state);
    if (running)
        return;
    if (!probed.m_call)
        return free_slot(id);
    // The answer or the request may still be in transit, so a second probe must confirm the state.
    if (!confirmed)
    {
        probed.m_next_probe_at =
            probed.m_last_report_at + std::min(probed.m_max_probe_delay, m_options.m_confirm_delay);
        return;
    }
    abandon_call(id, probed, state);
}

void executor_calls::abandon_call(const request_id& id, execution& silent, const std::string& state)
{
    log_event(
        log_level::warning, "connection_silent",
        {{"request", id.m_value}, {"target", to_string(silent.m_address)}, {"target_says", state}});
    m_options.m_calls.m_cancel(*silent.m_call);
    m_options.m_calls.m_close_idle(silent.m_address);
    attempt_result result;
    if (state != "done")
    {
        result.m_outcome =
            fail(verdict::may_have_run, reason::target_silent,
                 "the target doesn't know the request, and its connection is silent");
        result.m_slot_free = false;
        return defer_result(id, silent, std::move(result));
    }
    result.m_outcome = fail(verdict::ran, reason::target_silent,
                            "the target finished the request, but its answer was lost");
    m_executions.erase(id);
    m_options.m_on_attempt_end(id, std::move(result));
}

} // namespace dragonflygap::request
