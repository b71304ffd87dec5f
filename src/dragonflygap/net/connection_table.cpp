#include "dragonflygap/net/connection_table.hpp"

#include <algorithm>

namespace dragonflygap
{

namespace
{

http_limit limit_of(connection_phase phase)
{
    switch (phase)
    {
    case connection_phase::head:
        return http_limit::head_timeout;
    case connection_phase::body:
        return http_limit::body_timeout;
    case connection_phase::response:
        return http_limit::response_timeout;
    default:
        return http_limit::idle_timeout;
    }
}

} // namespace

std::string_view to_string(http_limit value)
{
    constexpr std::string_view names[http_limit_count] = {
        "head_too_large",     "body_too_large",     "memory_refused", "memory_closed",
        "connection_evicted", "connection_refused", "head_timeout",   "body_timeout",
        "idle_timeout",       "response_timeout"};
    return names[static_cast<std::size_t>(value)];
}

connection_table::wait_order* connection_table::order_of(connection_phase phase)
{
    if (phase == connection_phase::idle)
        return &m_idle;
    return phase == connection_phase::handling ? nullptr : &m_delayed;
}

void connection_table::set_since(connection_id id, entry& changed, connection_phase phase,
                                 instant since)
{
    if (auto* order = order_of(changed.m_phase))
        order->erase({changed.m_since, id});
    changed.m_phase = phase;
    changed.m_since = since;
    changed.m_overdue = false;
    if (auto* order = order_of(phase))
        order->insert({since, id});
}

connection_table::connection_id connection_table::open(instant now)
{
    const auto id = ++m_last_id;
    set_since(id, m_entries[id], connection_phase::idle, now);
    return id;
}

void connection_table::close(connection_id id)
{
    const auto found = m_entries.find(id);
    if (found == m_entries.end())
        return;
    if (auto* order = order_of(found->second.m_phase))
        order->erase({found->second.m_since, id});
    m_held_bytes -= found->second.m_bytes;
    m_entries.erase(found);
}

void connection_table::enter(connection_id id, connection_phase phase, instant now)
{
    set_since(id, m_entries.at(id), phase, now);
}

void connection_table::progress(connection_id id, instant now)
{
    auto& found = m_entries.at(id);
    set_since(id, found, found.m_phase, now);
}

void connection_table::hold(connection_id id, std::size_t bytes)
{
    auto& found = m_entries.at(id);
    m_held_bytes += bytes - found.m_bytes;
    found.m_bytes = bytes;
}

std::vector<connection_table::connection_id>
connection_table::longest_idle(std::size_t max_count) const
{
    std::vector<connection_id> result;
    for (auto next = m_idle.begin(); next != m_idle.end() && result.size() < max_count; ++next)
        result.push_back(next->second);
    return result;
}

std::vector<connection_table::connection_id>
connection_table::longest_waiting(std::size_t max_count) const
{
    std::vector<connection_id> result;
    auto idle = m_idle.begin();
    auto delayed = m_delayed.begin();
    while (result.size() < max_count && (idle != m_idle.end() || delayed != m_delayed.end()))
    {
        const bool take_idle =
            delayed == m_delayed.end() || (idle != m_idle.end() && *idle < *delayed);
        result.push_back((take_idle ? idle++ : delayed++)->second);
    }
    return result;
}

std::size_t connection_table::excess_idle() const
{
    return m_idle.size() - std::min(m_idle.size(), m_max_idle);
}

std::optional<connection_table::connection_id>
connection_table::over_limit(connection_id requester) const
{
    const auto& own = m_entries.at(requester);
    if (m_held_bytes <= m_limits.m_max_buffered_bytes || m_held_bytes == own.m_bytes)
        return std::nullopt;
    auto largest = requester;
    auto largest_bytes = own.m_bytes;
    for (const auto& [since, id] : m_delayed)
        if (const auto bytes = m_entries.at(id).m_bytes; bytes > largest_bytes)
        {
            largest = id;
            largest_bytes = bytes;
        }
    return largest;
}

duration connection_table::timeout_of(connection_phase phase) const
{
    switch (phase)
    {
    case connection_phase::head:
        return m_limits.m_head_timeout;
    case connection_phase::body:
        return m_limits.m_body_timeout;
    case connection_phase::response:
        return m_limits.m_response_timeout;
    case connection_phase::closing:
        return m_limits.m_linger_time;
    default:
        return m_limits.m_idle_timeout;
    }
}

std::vector<connection_table::expiry> connection_table::expired(instant now)
{
    const auto shortest =
        std::min({m_limits.m_head_timeout, m_limits.m_body_timeout, m_limits.m_idle_timeout,
                  m_limits.m_response_timeout, m_limits.m_linger_time});
    std::vector<expiry> result;
    for (const auto* order : {&m_idle, &m_delayed})
        for (const auto& [since, id] : *order)
        {
            if (now - since < shortest)
                break;
            auto& found = m_entries.at(id);
            if (now - since < timeout_of(found.m_phase))
                continue;
            if (found.m_overdue)
                result.push_back({id, limit_of(found.m_phase)});
            found.m_overdue = true;
        }
    return result;
}

} // namespace dragonflygap
