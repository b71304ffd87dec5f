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

cell::caller_answer with(call_status status)
{
    return {.m_status = static_cast<int>(status)};
}

std::string_view name_of(call_status status)
{
    constexpr std::string_view names[] = {"accepted", "rejected", "unknown", "not_here"};
    return names[static_cast<int>(status)];
}

std::string_view name_of(cell::job_outcome outcome)
{
    constexpr std::string_view names[] = {"completed", "failed", "cancelled"};
    return names[static_cast<int>(outcome)];
}

} // namespace

caller_task::caller_task(event_loop& loop, metrics& counted, caller_task_options options)
    : m_loop(loop), m_counted(counted), m_options(std::move(options))
{
}

void caller_task::call(cell::caller_call what, done on_done)
{
    const auto id = ++m_last_call;
    what.m_call = id;
    const auto kind = static_cast<call_kind>(what.m_kind);
    auto& open = m_open[id];
    open.m_done = std::move(on_done);
    open.m_since = monotonic_clock::now();
    open.m_call = std::move(what);
    if (m_ended)
        return finish_unanswered(id);
    if (kind != call_kind::state)
        return await_leader(id);
    if (!m_options.m_to_leader(open.m_call))
        return read_store(id);
    open.m_sent = 1;
    await_answer(open);
}

void caller_task::await_answer(open_call& open)
{
    const bool looks = static_cast<call_kind>(open.m_call.m_kind) == call_kind::state;
    open.m_timer = m_loop.after(looks ? m_options.m_state_limit : m_options.m_submit_limit,
                                [this, id = open.m_call.m_call] { expire(id); });
}

// A take-over lasts less than a second, a caller that is told to come back is away for longer. So a
// call waits while a successor is likely; where none is, it is rejected at once.
void caller_task::await_leader(std::uint64_t call)
{
    const auto found = m_open.find(call);
    if (found == m_open.end() || found->second.m_sent > 0)
        return;
    if (!may_pass_on(found->second))
        return finish_unanswered(call);
    // The same leader may be heard again, which nobody announces.
    if (m_options.m_to_leader(found->second.m_call))
    {
        found->second.m_sent = 1;
        return await_answer(found->second);
    }
    if (m_options.m_takeover_expected())
    {
        found->second.m_timer =
            m_loop.after(m_options.m_takeover_check, [this, call] { await_leader(call); });
        return;
    }
    finish_unanswered(call);
}

// What asks for an effect and is cut off after that was passed on leaves its caller in doubt.
bool caller_task::may_pass_on(const open_call& open) const
{
    const auto kind = static_cast<call_kind>(open.m_call.m_kind);
    const bool looks = kind == call_kind::state || kind == call_kind::waiting;
    return looks || !m_end || monotonic_clock::now() + m_options.m_submit_limit <= *m_end;
}

// Only what no leader got has surely no effect.
void caller_task::finish_unanswered(std::uint64_t call)
{
    const auto* open = find(call);
    const bool looks = static_cast<call_kind>(open->m_call.m_kind) == call_kind::state;
    if (looks || open->m_sent > 0)
        return finish(call, with(call_status::unknown));
    auto answer = with(call_status::rejected);
    answer.m_number = m_options.m_no_leader_retry_ms;
    finish(call, answer);
}

void caller_task::end_after(duration left)
{
    m_end = monotonic_clock::now() + left;
}

void caller_task::end()
{
    m_ended = true;
    std::vector<std::uint64_t> calls;
    for (const auto& [id, open] : m_open)
        calls.push_back(id);
    for (const auto id : calls)
        finish_unanswered(id);
}

const caller_task::open_call* caller_task::find(std::uint64_t call) const
{
    const auto found = m_open.find(call);
    return found == m_open.end() ? nullptr : &found->second;
}

void caller_task::answered(const cell::caller_answer& answer)
{
    const auto found = m_open.find(answer.m_call);
    if (found == m_open.end())
        return;
    auto* open = &found->second;
    const auto kind = static_cast<call_kind>(open->m_call.m_kind);
    // Another leader that got it too may have stored it: only when all reject it, it never runs.
    if (static_cast<call_status>(answer.m_status) == call_status::rejected &&
        ++open->m_rejections < open->m_sent)
        return;
    const bool may_have_ended = static_cast<call_status>(answer.m_status) == call_status::not_here;
    if (may_have_ended && (kind == call_kind::state || kind == call_kind::cancel))
        return read_store(answer.m_call);
    finish(answer.m_call, answer);
}

void caller_task::leader_changed()
{
    for (auto& [id, open] : m_open)
        if ((open.m_sent > 0 || may_pass_on(open)) && m_options.m_to_leader(open.m_call) &&
            ++open.m_sent == 1)
            await_answer(open);
}

void caller_task::expire(std::uint64_t call)
{
    const auto* open = find(call);
    if (open == nullptr)
        return;
    if (static_cast<call_kind>(open->m_call.m_kind) == call_kind::state)
        return read_store(call);
    finish(call, with(call_status::unknown));
}

// The leader doesn't know the job, or doesn't answer: its rows tell whether it lives and how it
// ended. A job moves from the one table to the other, so they are read in this order.
void caller_task::read_store(std::uint64_t call)
{
    const auto* open = find(call);
    if (open == nullptr)
        return;
    const cell::row_name row{std::string(cell::job_table), open->m_call.m_job.m_value};
    m_options.m_store.m_read(
        row, m_options.m_store_limit,
        [this, call](const outcome<cell::stored_row>& found)
        {
            const auto* open = find(call);
            if (open == nullptr)
                return;
            if (!found)
                return finish(call, with(call_status::unknown));
            if (found->m_version == 0)
                return read_end(call);
            // It lives, so only the leader can cancel it.
            const bool looks = static_cast<call_kind>(open->m_call.m_kind) == call_kind::state;
            auto answer = with(looks ? call_status::accepted : call_status::unknown);
            answer.m_state = "running";
            finish(call, answer);
        });
}

void caller_task::read_end(std::uint64_t call)
{
    const auto* open = find(call);
    const cell::row_name row{std::string(cell::ended_table), open->m_call.m_job.m_value};
    m_options.m_store.m_read(row, m_options.m_store_limit,
                             [this, call](const outcome<cell::stored_row>& found)
                             {
                                 if (find(call) == nullptr)
                                     return;
                                 if (!found)
                                     return finish(call, with(call_status::unknown));
                                 if (found->m_version == 0)
                                     return finish(call, with(call_status::not_here));
                                 const auto record =
                                     cell::unpack<cell::ended_record>(found->m_value);
                                 if (!record)
                                     return finish(call, with(call_status::unknown));
                                 auto answer = with(call_status::accepted);
                                 answer.m_state =
                                     name_of(static_cast<cell::job_outcome>(record->m_outcome));
                                 finish(call, answer);
                             });
}

void caller_task::finish(std::uint64_t call, const cell::caller_answer& answer)
{
    const auto found = m_open.find(call);
    if (found == m_open.end())
        return;
    const auto open = std::move(found->second);
    m_open.erase(found);
    constexpr std::string_view kinds[] = {"submit", "cancel", "state", "waiting"};
    const auto kind = static_cast<call_kind>(open.m_call.m_kind);
    const auto status = static_cast<call_status>(answer.m_status);
    const auto waited = monotonic_clock::now() - open.m_since;
    m_counted.count("dragonflygap_caller_answers_total", {"verdict", name_of(status)});
    m_counted.observe("dragonflygap_caller_wait_seconds", {"kind", kinds[open.m_call.m_kind]},
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
