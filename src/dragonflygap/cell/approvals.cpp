#include "dragonflygap/cell/approvals.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

step_approval::decision& step_approval::decision_of(worker_number worker)
{
    if (worker >= m_decisions.size())
        m_decisions.resize(worker + 1, decision::unknown);
    return m_decisions[worker];
}

void step_approval::approve(worker_number worker)
{
    auto& known = decision_of(worker);
    if (known == decision::approved)
        return;
    m_denied_count -= known == decision::denied ? 1 : 0;
    known = decision::approved;
    m_approved.push_back(worker);
}

void step_approval::deny(worker_number worker)
{
    auto& known = decision_of(worker);
    if (known != decision::unknown)
        return;
    known = decision::denied;
    ++m_denied_count;
}

bool step_approval::forget(worker_number worker)
{
    const bool dropped = drop_ticket(worker);
    if (!is_known(worker))
        return dropped;
    auto& known = decision_of(worker);
    if (known == decision::approved)
        std::erase(m_approved, worker);
    else
        --m_denied_count;
    known = decision::unknown;
    return dropped;
}

bool step_approval::set_ticket(worker_number worker, valid_ticket ticket)
{
    const bool replaced = drop_ticket(worker);
    m_tickets[worker] = std::move(ticket);
    return replaced;
}

bool step_approval::drop_ticket(worker_number worker)
{
    const auto found = m_tickets.find(worker);
    if (found == m_tickets.end())
        return false;
    const bool unused = !found->second.m_used;
    m_tickets.erase(found);
    return unused;
}

std::size_t step_approval::held_count() const
{
    return std::count_if(m_tickets.begin(), m_tickets.end(),
                         [](const auto& entry) { return !entry.second.m_used; });
}

const std::string* step_approval::find_valid_ticket(worker_number worker, instant now) const
{
    const auto found = m_tickets.find(worker);
    return found != m_tickets.end() && now < found->second.m_expires_at ? &found->second.m_text
                                                                        : nullptr;
}

bool step_approval::mark_used(worker_number worker)
{
    const auto found = m_tickets.find(worker);
    return found != m_tickets.end() && !std::exchange(found->second.m_used, true);
}

std::size_t step_approval::drop_lapsed(instant by)
{
    std::size_t unused = 0;
    std::erase_if(m_tickets,
                  [&](const auto& entry)
                  {
                      const auto& ticket = entry.second;
                      const bool lapsed = ticket.m_expires_at <= by;
                      unused += lapsed && !ticket.m_used ? 1 : 0;
                      return lapsed;
                  });
    return unused;
}

} // namespace dragonflygap::cell
