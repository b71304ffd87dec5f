#include "dragonflygap/node/caller_task.hpp"

#include <utility>
#include <vector>

#include "dragonflygap/cell/records.hpp"
#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::node
{

namespace
{

using cell::call_kind;
using cell::call_status;

cell::caller_answer answer_with(call_status status)
{
    return {.m_status = static_cast<int>(status)};
}

std::string_view name_of(call_status status)
{
    constexpr std::string_view names[] = {"accepted", "rejected", "unknown", "not_here",
                                          "over_limit"};
    return names[static_cast<int>(status)];
}

std::string_view name_of(cell::job_outcome outcome)
{
    constexpr std::string_view names[] = {"completed", "failed", "cancelled"};
    return names[static_cast<int>(outcome)];
}

constexpr int calls_per_incarnation_bits = 20; // incarnations are a millisecond apart at least

} // namespace

// A leader may still answer calls of an earlier process of this VM, and its answers name no
// process.
caller_task::caller_task(event_loop& loop, metrics& registry, caller_task_options options)
    : m_loop(loop),
      m_metrics(registry),
      m_options(std::move(options)),
      m_last_call(m_options.m_incarnation << calls_per_incarnation_bits)
{
}

void caller_task::call(cell::caller_call request, done on_done)
{
    const auto id = ++m_last_call;
    request.m_call = id;
    const auto kind = static_cast<call_kind>(request.m_kind);
    auto& open = m_open_calls[id];
    open.m_done = std::move(on_done);
    open.m_received_at = monotonic_clock::now();
    open.m_call = std::move(request);
    if (m_closed)
        return finish_unanswered(id);
    if (kind != call_kind::state)
        return await_leader(id);
    if (!m_options.m_send_to_leader(open.m_call))
        return read_store(id);
    open.m_forward_count = 1;
    await_answer(open);
}

void caller_task::await_answer(open_call& open)
{
    const bool state_query = static_cast<call_kind>(open.m_call.m_kind) == call_kind::state;
    open.m_timer =
        m_loop.after(state_query ? m_options.m_state_timeout : m_options.m_submit_timeout,
                     [this, id = open.m_call.m_call] { expire(id); });
}

// A take-over lasts less than a second, while a rejected caller retries later than that. So a call
// waits while a successor is likely, and is rejected at once otherwise.
void caller_task::await_leader(std::uint64_t call)
{
    const auto found = m_open_calls.find(call);
    if (found == m_open_calls.end() || found->second.m_forward_count > 0)
        return;
    if (!may_forward(found->second))
        return finish_unanswered(call);
    // The same leader may become reachable again, which doesn't call leader_changed().
    if (m_options.m_send_to_leader(found->second.m_call))
    {
        found->second.m_forward_count = 1;
        return await_answer(found->second);
    }
    const auto waited = monotonic_clock::now() - found->second.m_received_at;
    if (m_options.m_takeover_expected() && waited < m_options.m_submit_timeout)
    {
        found->second.m_timer =
            m_loop.after(m_options.m_takeover_check_interval, [this, call] { await_leader(call); });
        return;
    }
    finish_unanswered(call);
}

// If the process exits after a submission or cancellation was forwarded, the caller can't tell
// whether it took effect.
bool caller_task::may_forward(const open_call& open) const
{
    const auto kind = static_cast<call_kind>(open.m_call.m_kind);
    const bool read_only = kind == call_kind::state || kind == call_kind::waiting;
    return read_only || !m_deadline ||
           monotonic_clock::now() + m_options.m_submit_timeout <= *m_deadline;
}

// Only a call that was sent to no leader is certain to have no effect.
void caller_task::finish_unanswered(std::uint64_t call)
{
    const auto* open = find(call);
    const bool state_query = static_cast<call_kind>(open->m_call.m_kind) == call_kind::state;
    if (state_query || open->m_forward_count > 0)
        return finish(call, answer_with(call_status::unknown));
    auto answer = answer_with(call_status::rejected);
    answer.m_number = m_options.m_no_leader_retry_after_ms;
    finish(call, answer);
}

void caller_task::set_deadline(duration time_left)
{
    m_deadline = monotonic_clock::now() + time_left;
}

void caller_task::close()
{
    m_closed = true;
    std::vector<std::uint64_t> calls;
    for (const auto& [id, open] : m_open_calls)
        calls.push_back(id);
    for (const auto id : calls)
        finish_unanswered(id);
}

const caller_task::open_call* caller_task::find(std::uint64_t call) const
{
    const auto found = m_open_calls.find(call);
    return found == m_open_calls.end() ? nullptr : &found->second;
}

void caller_task::on_answer(const cell::caller_answer& answer)
{
    const auto found = m_open_calls.find(answer.m_call);
    if (found == m_open_calls.end())
        return;
    auto* open = &found->second;
    const auto kind = static_cast<call_kind>(open->m_call.m_kind);
    // Another leader may have stored the job: it is certain not to run only if all leaders that
    // received it reject it.
    if (cell::is_rejection(static_cast<call_status>(answer.m_status)) &&
        ++open->m_rejection_count < open->m_forward_count)
        return;
    const bool may_have_ended = static_cast<call_status>(answer.m_status) == call_status::not_here;
    if (may_have_ended && (kind == call_kind::state || kind == call_kind::cancel))
        return read_store(answer.m_call);
    finish(answer.m_call, answer);
}

void caller_task::leader_changed()
{
    for (auto& [id, open] : m_open_calls)
        if ((open.m_forward_count > 0 || may_forward(open)) &&
            m_options.m_send_to_leader(open.m_call) && ++open.m_forward_count == 1)
            await_answer(open);
}

void caller_task::expire(std::uint64_t call)
{
    const auto* open = find(call);
    if (open == nullptr)
        return;
    if (static_cast<call_kind>(open->m_call.m_kind) == call_kind::state)
        return read_store(call);
    finish(call, answer_with(call_status::unknown));
}

// Used when the leader doesn't know the job or doesn't answer: the store's rows show whether the
// job is active and how it ended. A job moves from job_table to ended_table, so they are read in
// this order.
void caller_task::read_store(std::uint64_t call)
{
    const auto* open = find(call);
    if (open == nullptr)
        return;
    const cell::row_name row{std::string(cell::job_table), open->m_call.m_job.m_value};
    m_options.m_store.m_read(
        row, m_options.m_store_timeout,
        [this, call](const outcome<cell::stored_row>& found)
        {
            const auto* open = find(call);
            if (open == nullptr)
                return;
            if (!found)
                return finish(call, answer_with(call_status::unknown));
            if (found->m_version == 0)
                return read_ended_job(call);
            // The job is active, so only the leader can cancel it.
            const bool state_query =
                static_cast<call_kind>(open->m_call.m_kind) == call_kind::state;
            auto answer = answer_with(state_query ? call_status::accepted : call_status::unknown);
            answer.m_state = "running";
            finish(call, answer);
        });
}

void caller_task::read_ended_job(std::uint64_t call)
{
    const auto* open = find(call);
    const cell::row_name row{std::string(cell::ended_table), open->m_call.m_job.m_value};
    m_options.m_store.m_read(row, m_options.m_store_timeout,
                             [this, call](const outcome<cell::stored_row>& found)
                             {
                                 if (find(call) == nullptr)
                                     return;
                                 if (!found)
                                     return finish(call, answer_with(call_status::unknown));
                                 if (found->m_version == 0)
                                     return finish(call, answer_with(call_status::not_here));
                                 const auto record =
                                     cell::unpack<cell::ended_record>(found->m_value);
                                 if (!record)
                                     return finish(call, answer_with(call_status::unknown));
                                 auto answer = answer_with(call_status::accepted);
                                 answer.m_state =
                                     name_of(static_cast<cell::job_outcome>(record->m_outcome));
                                 finish(call, answer);
                             });
}

void caller_task::finish(std::uint64_t call, const cell::caller_answer& answer)
{
    const auto found = m_open_calls.find(call);
    if (found == m_open_calls.end())
        return;
    const auto open = std::move(found->second);
    m_open_calls.erase(found);
    constexpr std::string_view kinds[] = {"submit", "cancel", "state", "waiting"};
    const auto kind = static_cast<call_kind>(open.m_call.m_kind);
    const auto status = static_cast<call_status>(answer.m_status);
    const auto waited = monotonic_clock::now() - open.m_received_at;
    m_metrics.count("dragonflygap_caller_answers_total", {"verdict", name_of(status)});
    m_metrics.observe("dragonflygap_caller_wait_seconds", {"kind", kinds[open.m_call.m_kind]},
                      waited);
    if (kind == call_kind::submit || kind == call_kind::cancel || status == call_status::unknown)
        log_event(log_level::info, "call_answered",
                  {{"kind", kinds[open.m_call.m_kind]},
                   {"job", open.m_call.m_job.m_value},
                   {"verdict", name_of(status)},
                   {"waited_ms", to_ms(waited)}});
    open.m_done(answer);
}

} // namespace dragonflygap::node
