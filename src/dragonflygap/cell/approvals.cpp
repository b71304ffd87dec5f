#include "dragonflygap/cell/approvals.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

const std::string* step_approval::usable(const worker_id& worker, instant now) const
{
    const auto found = m_tickets.find(worker);
    return found != m_tickets.end() && now < found->second.m_until ? &found->second.m_text
                                                                   : nullptr;
}

bool step_approval::mark_used(const worker_id& worker)
{
    const auto found = m_tickets.find(worker);
    return found != m_tickets.end() && !std::exchange(found->second.m_used, true);
}

std::size_t step_approval::take_unused(instant by)
{
    std::size_t unused = 0;
    for (auto& [worker, ticket] : m_tickets)
        if (ticket.m_until <= by && !ticket.m_used && !std::exchange(ticket.m_told, true))
            ++unused;
    return unused;
}

void approval_desk::set_members(std::vector<vm_id> members)
{
    m_members = std::move(members);
    std::sort(m_members.begin(), m_members.end());
    std::erase_if(m_busy_until, [this](const auto& entry)
                  { return !std::binary_search(m_members.begin(), m_members.end(), entry.first); });
}

duration approval_desk::wait(const vm_id& through, instant now) const
{
    const auto found = m_busy_until.find(through);
    return found == m_busy_until.end() ? duration{} : std::max(duration{}, found->second - now);
}

std::optional<vm_id> approval_desk::choose(duration cost, duration longest_wait, instant now)
{
    const std::size_t all = m_members.size();
    std::size_t allowed = all;
    if (cost > m_options.m_long_call)
        allowed = (all + 1) / 2;
    else if (cost > m_options.m_short_call)
        allowed = (3 * all + 3) / 4;
    const vm_id* best = nullptr;
    duration best_wait{};
    for (std::size_t i = 0; i < allowed; ++i)
    {
        const auto queued = wait(m_members[i], now);
        // Among equals the last one: those are left free by longer calls.
        if (best == nullptr || queued <= best_wait)
        {
            best = &m_members[i];
            best_wait = queued;
        }
    }
    if (best == nullptr || best_wait > longest_wait)
        return std::nullopt;
    return *best;
}

void approval_desk::set_queued(const vm_id& through, duration queued, instant now)
{
    m_busy_until[through] = now + queued;
}

void approval_desk::set_silent(const vm_id& through, instant now)
{
    auto& busy = m_busy_until[through];
    busy = std::max(busy, now + m_options.m_silence_rest);
}

void approval_desk::asked(const vm_id& through, duration cost, instant now)
{
    auto& busy = m_busy_until[through];
    busy = std::max(busy, now) + cost;
}

} // namespace dragonflygap::cell
