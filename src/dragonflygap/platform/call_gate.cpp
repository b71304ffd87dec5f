#include "dragonflygap/platform/call_gate.hpp"

#include <algorithm>

namespace dragonflygap::platform
{

namespace
{

constexpr double burst_s = 1.0; // a burst may use the tokens of one second

} // namespace

call_gate::call_gate(call_gate_options options) : m_options(options), m_random(options.m_seed)
{
    m_reads = {options.m_reads_per_s * burst_s, options.m_reads_per_s};
    m_writes = {options.m_writes_per_s * burst_s, options.m_writes_per_s};
}

std::vector<gate_action> call_gate::handle(const gate_event& event, instant now)
{
    actions out;
    refill(now);
    std::visit([&](const auto& alternative) { on(alternative, now, out); }, event);
    reject_expired(m_lease_calls, now, out);
    reject_expired(m_normal_calls, now, out);
    if (open(now))
    {
        reject_all(m_lease_calls, out);
        reject_all(m_normal_calls, out);
        return out;
    }
    if (m_times_opened > 0)
    {
        start_probe(out);
        return out;
    }
    start_waiting(m_lease_calls, 0, out);
    start_waiting(m_normal_calls, m_options.m_lease_reserve, out);
    return out;
}

void call_gate::refill(instant now)
{
    const double elapsed_s = std::chrono::duration<double>(now - m_refilled_at).count();
    m_refilled_at = now;
    for (auto* limiter : {&m_reads, &m_writes})
        limiter->m_tokens =
            std::min(limiter->m_per_s * burst_s, limiter->m_tokens + limiter->m_per_s * elapsed_s);
}

void call_gate::on(const call_requested& event, instant now, actions& out)
{
    auto& calls = event.m_priority == call_priority::lease ? m_lease_calls : m_normal_calls;
    if (calls.size() >= m_options.m_max_waiting)
    {
        out.emplace_back(reject_call{event.m_id, "too many calls wait for the platform"});
        return;
    }
    calls.push_back({event.m_id, event.m_kind, now});
}

void call_gate::on(const call_finished& event, instant now, actions& /*out*/)
{
    --m_in_flight;
    if (event.m_healthy)
    {
        m_consecutive_failures = 0;
        m_times_opened = 0;
        return;
    }
    ++m_consecutive_failures;
    // Calls started before the breaker opened may still fail; they must not lengthen the pause.
    if (!open(now) &&
        (m_consecutive_failures >= m_options.m_failures_to_open || m_times_opened > 0))
        open_breaker(now);
}

void call_gate::on(const vm_count_changed& event, instant /*now*/, actions& /*out*/)
{
    const int vm_count = std::max(1, event.m_vm_count);
    m_reads.m_per_s = m_options.m_reads_per_s / vm_count;
    m_writes.m_per_s = m_options.m_writes_per_s / vm_count;
}

void call_gate::on(const gate_tick& /*event*/, instant /*now*/, actions& /*out*/) {}

void call_gate::open_breaker(instant now)
{
    const auto max_pause =
        std::min(m_options.m_max_open_time, m_options.m_min_open_time * (1L << m_times_opened));
    // Jitter between half and all of the pause, so that entry VMs don't retry at the same time.
    std::uniform_int_distribution<duration::rep> pause(max_pause.count() / 2, max_pause.count());
    m_open_until = now + duration(pause(m_random));
    constexpr int max_doublings = 10;
    m_times_opened = std::min(m_times_opened + 1, max_doublings);
    m_consecutive_failures = 0;
}

void call_gate::reject_expired(std::deque<waiting_call>& calls, instant now, actions& out) const
{
    while (!calls.empty() && now - calls.front().m_queued_at > m_options.m_max_wait)
    {
        out.emplace_back(reject_call{calls.front().m_id, "the platform's allowance is used up"});
        calls.pop_front();
    }
}

void call_gate::reject_all(std::deque<waiting_call>& calls, actions& out) const
{
    for (const auto& call : calls)
        out.emplace_back(reject_call{call.m_id, "the platform fails; calls pause"});
    calls.clear();
}

void call_gate::start_probe(actions& out)
{
    if (m_in_flight > 0)
        return;
    auto& calls = m_lease_calls.empty() ? m_normal_calls : m_lease_calls;
    if (!calls.empty())
        start(calls, out);
}

void call_gate::start_waiting(std::deque<waiting_call>& calls, double reserve, actions& out)
{
    while (!calls.empty() && m_in_flight < m_options.m_max_in_flight)
    {
        const auto& limiter = bucket_of(calls.front().m_kind);
        if (limiter.m_tokens < 1 + reserve * limiter.m_per_s * burst_s)
            return;
        start(calls, out);
    }
}

void call_gate::start(std::deque<waiting_call>& calls, actions& out)
{
    bucket_of(calls.front().m_kind).m_tokens -= 1;
    out.emplace_back(start_call{calls.front().m_id});
    calls.pop_front();
    ++m_in_flight;
}

} // namespace dragonflygap::platform
