#include <algorithm>

#include "dragonflygap/ownership/lease_manager.hpp"

namespace dragonflygap::ownership
{

bool lease_manager::may_fence(const lease_row& lease, instant now) const
{
    // The holder doesn't ask this VM for promises, so wait for the longest possible extension.
    constexpr int clock_rate_divisor = 8; // adds an eighth, as clocks differ in rate
    const auto limit = m_options.m_extension_limit;
    if (!lease.m_electors.contains(m_options.m_vm))
        return expired(lease, now, limit + limit / clock_rate_divisor - m_options.m_lease_duration);
    const auto promised = m_promises_given.find(lease.m_holder);
    return expired(lease, now) && (promised == m_promises_given.end() || promised->second <= now);
}

bool lease_manager::promised_by_all(instant now) const
{
    if (now >= m_renewed_at + m_options.m_extension_limit)
        return false;
    return std::ranges::all_of(m_electors,
                               [&](const vm_id& vm)
                               {
                                   const auto promise = m_promises.find(vm);
                                   return promise != m_promises.end() && now < promise->second;
                               });
}

void lease_manager::request_promises(instant now, actions& out)
{
    if (!m_holds_lease || now - m_renewed_at < m_options.m_promise_request_delay ||
        now - m_last_promise_request_at < m_options.m_promise_request_interval)
        return;
    m_last_promise_request_at = now;
    std::erase_if(m_promise_requests, [&](const auto& request)
                  { return now - request.second >= m_options.m_promise_duration; });
    m_promise_requests[++m_last_promise_sequence] = now;
    for (const auto& vm : m_electors)
        out.emplace_back(request_promise{vm, own_session(), m_last_promise_sequence});
}

void lease_manager::on(const promise_request& event, instant now, actions& out)
{
    if (m_left || m_fencing.contains(event.m_holder) ||
        now - *m_started_at < m_options.m_promise_start_delay)
        return;
    std::erase_if(m_promises_given, [now](const auto& entry) { return entry.second <= now; });
    m_promises_given[event.m_holder] =
        now + m_options.m_promise_duration + m_options.m_clock_margin;
    out.emplace_back(give_promise{event.m_holder, event.m_sequence});
}

void lease_manager::on(const promise_grant& event, instant /*now*/, actions& /*out*/)
{
    const auto request = m_promise_requests.find(event.m_sequence);
    if (request == m_promise_requests.end() || event.m_holder != own_session())
        return;
    auto& until = m_promises[event.m_from];
    until = std::max(until, request->second + m_options.m_promise_duration);
}

} // namespace dragonflygap::ownership
