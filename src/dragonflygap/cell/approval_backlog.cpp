#include "dragonflygap/cell/approval_backlog.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonflygap::cell
{

namespace
{

duration cost_of(const approval_call& call)
{
    return std::chrono::milliseconds(call.m_cost_ms);
}

} // namespace

// When leaders change in quick succession, the calls of earlier leaders would otherwise delay the
// current ones until these time out and are repeated.
void approval_backlog::add(const vm_id& from, const approval_call& call, instant now)
{
    if (call.m_epoch < m_epoch)
        return;
    m_epoch = call.m_epoch;
    std::erase_if(
        m_waiting, [&call](const entry& waiting)
        { return waiting.m_call.m_epoch < call.m_epoch || waiting.m_call.m_step == call.m_step; });
    m_waiting.push_back({from, call, now + std::chrono::milliseconds(call.m_timeout_ms), now});
}

std::optional<approval_backlog::entry> approval_backlog::next()
{
    if (m_waiting.empty() || m_in_flight >= m_options.m_max_in_flight)
        return std::nullopt;
    auto result = std::move(m_waiting.front());
    m_waiting.pop_front();
    ++m_in_flight;
    m_in_flight_cost += cost_of(result.m_call);
    return result;
}

void approval_backlog::finished(const approval_call& call)
{
    --m_in_flight;
    m_in_flight_cost -= cost_of(call);
}

std::vector<approval_backlog::entry> approval_backlog::remove_expired(instant now)
{
    const auto expired =
        std::stable_partition(m_waiting.begin(), m_waiting.end(),
                              [now](const entry& waiting) { return now < waiting.m_expires_at; });
    std::vector<entry> result(std::make_move_iterator(expired),
                              std::make_move_iterator(m_waiting.end()));
    m_waiting.erase(expired, m_waiting.end());
    return result;
}

duration approval_backlog::backlog_time() const
{
    auto result = m_in_flight_cost;
    for (const auto& waiting : m_waiting)
        result += cost_of(waiting.m_call);
    return result;
}

} // namespace dragonflygap::cell
