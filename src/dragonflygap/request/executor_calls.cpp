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
// A question comes early enough that another attempt still fits before the deadline.
constexpr int questions_before_deadline = 8;
constexpr duration shortest_pace = 250ms;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;

failure failure_of(const http_response& response)
{
    if (!response.header(verdict_header).empty())
        return failure_of_response(response);
    return {verdict::ran, reason::target_failed,
            "the target answered with status " + std::to_string(response.m_status)};
}

// A target that refuses a request's content has answered it; the caller gets that answer.
attempt_end end_of(http_response response)
{
    const bool says_verdict = !response.header(verdict_header).empty();
    const bool answered = response.m_status < first_client_error ||
                          (response.m_status < first_server_error && !says_verdict);
    attempt_end end;
    if (!answered)
        end.m_outcome = tl::make_unexpected(failure_of(response));
    end.m_response = std::move(response);
    return end;
}

std::string state_of(const http_response& response)
{
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    constexpr int ok = 200;
    const bool readable = response.m_status == ok && body.is_object() && body.contains("state") &&
                          body["state"].is_string();
    return readable ? body["state"].get<std::string>() : std::string();
}

} // namespace

executor_calls::executor_calls(event_loop& loop, executor_calls_options options)
    : m_loop(loop),
      m_options(std::move(options)),
      m_timer(m_loop.every(std::min(tick_interval, m_options.m_probe_again), [this] { tick(); }))
{
}

void executor_calls::start(const request_id& id, const endpoint& to, http_request request,
                           instant deadline)
{
    const auto now = monotonic_clock::now();
    auto& started = m_executions[id];
    const auto pace = std::max(shortest_pace, (deadline - now) / questions_before_deadline);
    started = {.m_address = to,
               .m_deadline = deadline,
               .m_pace = pace,
               .m_next_probe = now + std::min(pace, m_options.m_probe_after),
               .m_last_word = now};
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
    found->second.m_end.reset();
    hold_slot(found->second);
    return false;
}

std::size_t executor_calls::unsettled() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_executions, [](const auto& item) { return !item.second.m_call; }));
}

void executor_calls::on_answer(const request_id& id, outcome<http_response> answer)
{
    const auto found = m_executions.find(id);
    if (found == m_executions.end() || !found->second.m_call)
        return;
    attempt_end end;
    if (answer)
        end = end_of(std::move(*answer));
    else
    {
        end.m_outcome = tl::make_unexpected(answer.error());
        end.m_slot_free = answer.error().m_verdict != verdict::may_have_run;
    }
    if (!end.m_slot_free)
        return settle(id, found->second, std::move(end));
    if (found->second.m_probe)
        m_options.m_probes.m_cancel(*found->second.m_probe);
    m_executions.erase(found);
    m_options.m_on_end(id, std::move(end));
}

void executor_calls::hold_slot(execution& held)
{
    const auto now = monotonic_clock::now();
    held.m_call.reset();
    // A question that was asked before says nothing about what was still on its way then.
    if (held.m_probe)
        m_options.m_probes.m_cancel(*std::exchange(held.m_probe, std::nullopt));
    held.m_last_word = now;
    held.m_said.clear();
    // What was on its way when the call was dropped gets time to arrive before the question.
    held.m_next_probe = now + std::min(held.m_pace, m_options.m_probe_again);
}

void executor_calls::settle(const request_id& id, execution& ended, attempt_end end)
{
    hold_slot(ended);
    const auto now = monotonic_clock::now();
    ended.m_settle_until = std::min(ended.m_deadline, now + m_options.m_settle);
    ended.m_end = std::move(end);
    if (now >= ended.m_settle_until)
        stop_waiting(id, ended);
}

void executor_calls::stop_waiting(const request_id& id, execution& ended)
{
    auto end = std::move(*ended.m_end);
    ended.m_end.reset();
    m_options.m_on_end(id, std::move(end));
}

void executor_calls::free_slot(const request_id& id)
{
    auto freed = m_executions.extract(id);
    auto& end = freed.mapped().m_end;
    if (!end)
        return m_options.m_on_slot_freed(id);
    end->m_slot_free = true;
    m_options.m_on_end(id, std::move(*end));
}

void executor_calls::tick()
{
    const auto now = monotonic_clock::now();
    std::vector<request_id> lapsed;
    std::vector<request_id> unsettled;
    for (auto& [id, item] : m_executions)
    {
        if (item.m_end && now >= item.m_settle_until)
            unsettled.push_back(id);
        if (!item.m_call && now - item.m_last_word >= m_options.m_lapse)
            lapsed.push_back(id);
        else if (!item.m_probe && now >= item.m_next_probe)
            probe(id, item);
    }
    for (const auto& id : unsettled)
        if (const auto found = m_executions.find(id); found != m_executions.end())
            stop_waiting(id, found->second);
    for (const auto& id : lapsed)
    {
        log_event(log_level::warning, "slot_lapsed", {{"request", id.m_value}});
        if (const auto& asked = m_executions.at(id).m_probe)
            m_options.m_probes.m_cancel(*asked);
        free_slot(id);
    }
}

void executor_calls::probe(const request_id& id, execution& asked)
{
    asked.m_next_probe = monotonic_clock::now() + m_options.m_probe_every;
    asked.m_probe = m_options.m_probes.m_send(
        asked.m_address, {.m_path = "/executions/" + id.m_value}, m_options.m_probe_timeout,
        [this, id](const outcome<http_response>& answer) { on_probe(id, answer); });
}

void executor_calls::on_probe(const request_id& id, const outcome<http_response>& answer)
{
    const auto found = m_executions.find(id);
    if (found == m_executions.end())
        return;
    auto& asked = found->second;
    asked.m_probe.reset();
    const auto state = answer ? state_of(*answer) : std::string();
    if (state.empty())
        return;
    asked.m_last_word = monotonic_clock::now();
    const bool running = state == "running";
    const bool confirmed = state == std::exchange(asked.m_said, state);
    if (running)
        return;
    if (!asked.m_call)
        return free_slot(id);
    // The answer may be on its way, or the request, so the target is asked a second time.
    if (!confirmed)
    {
        asked.m_next_probe = asked.m_last_word + std::min(asked.m_pace, m_options.m_probe_again);
        return;
    }
    give_up(id, asked, state);
}

void executor_calls::give_up(const request_id& id, execution& silent, const std::string& state)
{
    log_event(
        log_level::warning, "connection_silent",
        {{"request", id.m_value}, {"target", to_string(silent.m_address)}, {"target_says", state}});
    m_options.m_calls.m_cancel(*silent.m_call);
    m_options.m_calls.m_close_idle(silent.m_address);
    attempt_end end;
    if (state != "done")
    {
        end.m_outcome = fail(verdict::may_have_run, reason::target_silent,
                             "the target doesn't know the request, and its connection is silent");
        end.m_slot_free = false;
        return settle(id, silent, std::move(end));
    }
    end.m_outcome = fail(verdict::ran, reason::target_silent,
                         "the target finished, but its answer was lost on the way");
    m_executions.erase(id);
    m_options.m_on_end(id, std::move(end));
}

} // namespace dragonflygap::request
