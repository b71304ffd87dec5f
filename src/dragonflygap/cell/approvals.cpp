#include "dragonflygap/cell/approvals.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

const std::string* step_approval::find_valid_ticket(const worker_id& worker, instant now) const
{
    const auto found = m_tickets.find(worker);
    return found != m_tickets.end() && now < found->second.m_expires_at ? &found->second.m_text
                                                                        : nullptr;
}

bool step_approval::mark_used(const worker_id& worker)
{
    const auto found = m_tickets.find(worker);
    return found != m_tickets.end() && !std::exchange(found->second.m_used, true);
}

std::size_t step_approval::collect_unused(instant by)
{
    std::size_t unused = 0;
    for (auto& [worker, ticket] : m_tickets)
        if (ticket.m_expires_at <= by && !ticket.m_used && !std::exchange(ticket.m_counted, true))
            ++unused;
    return unused;
}

void approval_balancer::set_members(std::vector<vm_id> members)
{
    m_members = std::move(members);
    std::sort(m_members.begin(), m_members.end());
    std::erase_if(m_busy_until, [this](const auto& entry)
                  { return !std::binary_search(m_members.begin(), m_members.end(), entry.first); });
}

duration approval_balancer::queue_delay(const vm_id& via, instant now) const
{
    const auto found = m_busy_until.find(via);
    return found == m_busy_until.end() ? duration{} : std::max(duration{}, found->second - now);
}

std::optional<vm_id> approval_balancer::choose(duration cost, duration max_wait, instant now)
{
    const std::size_t all = m_members.size();
    std::size_t allowed = all;
    if (cost > m_options.m_long_call_limit)
        allowed = (all + 1) / 2;
    else if (cost > m_options.m_short_call_limit)
        allowed = (3 * all + 3) / 4;
    const vm_id* best = nullptr;
    duration best_delay{};
    for (std::size_t i = 0; i < allowed; ++i)
    {
        const auto delay = queue_delay(m_members[i], now);
        // Among equals the last one, as longer calls don't use it.
        if (best == nullptr || delay <= best_delay)
        {
            best = &m_members[i];
            best_delay = delay;
        }
    }
    if (best == nullptr || best_delay > max_wait)
        return std::nullopt;
    return *best;
}

void approval_balancer::set_backlog_time(const vm_id& via, duration backlog_time, instant now)
{
    m_busy_until[via] = now + backlog_time;
}

void approval_balancer::set_unresponsive(const vm_id& via, instant now)
{
    auto& busy = m_busy_until[via];
    busy = std::max(busy, now + m_options.m_unresponsive_delay);
}

void approval_balancer::record_call(const vm_id& via, duration cost, instant now)
{
    auto& busy = m_busy_until[via];
    busy = std::max(busy, now) + cost;
}

} // namespace dragonflygap::cell
