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

void approval_balancer::set_members(std::vector<vm_id> members)
{
    std::sort(members.begin(), members.end());
    std::vector<member> changed;
    changed.reserve(members.size());
    for (auto& vm : members)
    {
        const member* known = find(vm);
        changed.push_back({std::move(vm), known == nullptr ? instant{} : known->m_busy_until});
    }
    m_members = std::move(changed);
}

const approval_balancer::member* approval_balancer::find(const vm_id& vm) const
{
    const auto found =
        std::lower_bound(m_members.begin(), m_members.end(), vm,
                         [](const member& one, const vm_id& wanted) { return one.m_vm < wanted; });
    return found != m_members.end() && found->m_vm == vm ? &*found : nullptr;
}

duration approval_balancer::queue_delay(const vm_id& via, instant now) const
{
    const member* found = find(via);
    return found == nullptr ? duration{} : std::max(duration{}, found->m_busy_until - now);
}

std::size_t approval_balancer::vm_count(duration cost) const
{
    const std::size_t all = m_members.size();
    if (cost > m_options.m_long_call_limit)
        return (all + 1) / 2;
    return cost > m_options.m_short_call_limit ? (3 * all + 3) / 4 : all;
}

std::optional<vm_id> approval_balancer::choose(duration cost, duration max_wait, instant now) const
{
    const std::size_t allowed = vm_count(cost);
    const member* best = nullptr;
    duration best_delay{};
    for (std::size_t i = 0; i < allowed; ++i)
    {
        const auto delay = std::max(duration{}, m_members[i].m_busy_until - now);
        // Among equals the last one, as longer calls don't use it.
        if (best == nullptr || delay <= best_delay)
        {
            best = &m_members[i];
            best_delay = delay;
        }
    }
    if (best == nullptr || best_delay > max_wait)
        return std::nullopt;
    return best->m_vm;
}

approval_balancer::member* approval_balancer::find(const vm_id& vm)
{
    return const_cast<member*>(std::as_const(*this).find(vm));
}

void approval_balancer::set_backlog_time(const vm_id& via, duration backlog_time, instant now)
{
    if (member* found = find(via); found != nullptr)
        found->m_busy_until = now + backlog_time;
}

void approval_balancer::set_unresponsive(const vm_id& via, instant now)
{
    if (member* found = find(via); found != nullptr)
        found->m_busy_until = std::max(found->m_busy_until, now + m_options.m_unresponsive_delay);
}

void approval_balancer::record_call(const vm_id& via, duration cost, instant now)
{
    if (member* found = find(via); found != nullptr)
        found->m_busy_until = std::max(found->m_busy_until, now) + cost;
}

} // namespace dragonflygap::cell
