#include "dragonflygap/cell/customer_usage.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

namespace dragonflygap::cell
{

namespace
{

using dimension = std::int64_t resources::*;
constexpr std::array<dimension, 3> dimensions{
    &resources::m_millicores, &resources::m_memory_mb, &resources::m_accelerators};

constexpr std::int64_t unlimited = std::numeric_limits<int>::max();

// Starts one after another in one dimension. One start may take the use above the limit if no more
// than half of the limit is in use before it: a task larger than the limit could never run
// otherwise, and one larger than half of it would wait for the customer's last run to end.
std::int64_t starts_in(std::int64_t used, std::int64_t size, std::int64_t limit, bool may_exceed)
{
    if (size <= 0)
        return used <= limit ? unlimited : 0;
    const std::int64_t within = used <= limit ? (limit - used) / size : 0;
    const bool below_half = may_exceed && 2 * used <= limit;
    const std::int64_t from_half = below_half ? (limit - 2 * used) / (2 * size) + 1 : 0;
    return std::max(within, from_half);
}

// A gang starts as a whole, so only its last task may be above the limit.
bool gang_fits_in(std::int64_t used, std::int64_t size, std::int64_t limit, int count,
                  bool may_exceed)
{
    const auto all = used + size * count;
    return all <= limit || (may_exceed && 2 * used <= limit && all - size <= limit);
}

resources strictest(const resources& left, const resources& right)
{
    resources result;
    for (const auto d : dimensions)
        result.*d = left.*d > 0 && right.*d > 0 ? std::min(left.*d, right.*d)
                                                : std::max(left.*d, right.*d);
    return result;
}

resources smallest(const resources& left, const resources& right)
{
    resources result;
    for (const auto d : dimensions)
        result.*d = std::min(left.*d, right.*d);
    return result;
}

} // namespace

customer_index customer_usage::index_of(const customer_id& customer)
{
    if (customer.empty())
        return no_customer;
    const auto [found, added] = m_indices.try_emplace(customer, end());
    if (added)
        m_entries.push_back({.m_name = customer});
    return found->second;
}

void customer_usage::set_limits(std::span<const customer_rules> customers)
{
    m_limits_known = true;
    for (auto& one : m_entries)
        one.m_listed = false;
    for (const auto& rules : customers)
    {
        auto& one = m_entries[index_of(rules.m_name)];
        one.m_listed = one.m_was_listed = true;
        one.m_limit = rules.m_limit;
    }
    ++m_changes;
}

bool customer_usage::is_listed(const customer_id& customer) const
{
    return m_entries[find(customer)].m_listed;
}

customer_index customer_usage::find(const customer_id& customer) const
{
    const auto found = m_indices.find(customer);
    return found == m_indices.end() ? no_customer : found->second;
}

void customer_usage::add(customer_index customer, const resources& size, bool size_known)
{
    m_unknown_size_count += size_known ? 0 : 1;
    if (customer != no_customer)
        m_entries[customer].m_used += size;
}

void customer_usage::remove(customer_index customer, const resources& size, bool size_known)
{
    m_unknown_size_count -= size_known ? 0 : 1;
    if (customer == no_customer)
        return;
    m_entries[customer].m_used -= size;
    ++m_entries[customer].m_changes;
}

void customer_usage::order_sent(customer_index customer)
{
    ++m_entries[customer].m_open_orders;
}

void customer_usage::order_settled(customer_index customer)
{
    auto& one = m_entries[customer];
    if (--one.m_open_orders == 0)
        ++one.m_changes;
}

void customer_usage::order_unclear(customer_index customer, instant sent)
{
    m_entries[customer].m_unclear = std::max(m_entries[customer].m_unclear, sent);
}

void customer_usage::add_claim(customer_index customer, int priority, const resources& size)
{
    if (customer == no_customer)
        return;
    auto& claims = m_entries[customer].m_claims;
    auto found = std::find_if(claims.begin(), claims.end(),
                              [priority](const claim& one) { return one.m_priority == priority; });
    if (found == claims.end())
        found = claims.insert(claims.end(), {.m_priority = priority});
    found->m_size += size;
}

void customer_usage::remove_claim(customer_index customer, int priority, const resources& size)
{
    if (customer == no_customer)
        return;
    auto& claims = m_entries[customer].m_claims;
    const auto found = std::find_if(claims.begin(), claims.end(), [priority](const claim& one)
                                    { return one.m_priority == priority; });
    if (found == claims.end())
        return;
    found->m_size -= size;
    if (found->m_size == resources{})
        claims.erase(found);
    ++m_entries[customer].m_changes;
}

void customer_usage::set_unknown(const resources& by_any, const resources& by_restored)
{
    if (by_any == m_unknown_by_any && by_restored == m_unknown_by_restored)
        return;
    m_unknown_by_any = by_any;
    m_unknown_by_restored = by_restored;
    ++m_changes;
}

void customer_usage::set_restored(std::vector<resources> restored)
{
    if (restored == m_restored)
        return;
    m_restored = std::move(restored);
    ++m_changes;
}

// Versions may have lowered the limit after a job was stored, so the last one known counts too.
resources customer_usage::limit_of(const customer_start& start) const
{
    const auto& one = m_entries[start.m_customer];
    if (one.m_listed)
        return one.m_limit;
    return one.m_was_listed ? strictest(one.m_limit, start.m_stored_limit) : start.m_stored_limit;
}

resources customer_usage::counted(customer_index customer) const
{
    auto result = m_entries[customer].m_used + m_unknown_by_any;
    if (customer < m_restored.size())
        result += smallest(m_unknown_by_restored, m_restored[customer]);
    return result;
}

// Steps of higher priority don't wait for the claims of others.
resources customer_usage::claimed(const customer_start& start) const
{
    resources result;
    if (!start.m_ignores_claims)
        for (const auto& one : m_entries[start.m_customer].m_claims)
            if (one.m_priority <= start.m_priority)
                result += one.m_size;
    return result;
}

int customer_usage::max_starts(const customer_start& start, int wanted) const
{
    if (start.m_customer == no_customer)
        return wanted;
    if (!m_limits_known)
        return 0;
    const auto limit = limit_of(start);
    const auto used = counted(start.m_customer) + claimed(start);
    std::int64_t result = wanted;
    for (const auto d : dimensions)
        if (limit.*d > 0)
            result = std::min(
                result, starts_in(used.*d, start.m_size.*d, limit.*d, start.m_may_exceed));
    return static_cast<int>(result);
}

bool customer_usage::fits_gang(const customer_start& gang, int count) const
{
    if (gang.m_customer == no_customer)
        return true;
    if (!m_limits_known)
        return false;
    const auto limit = limit_of(gang);
    const auto used = counted(gang.m_customer) + claimed(gang);
    return std::all_of(dimensions.begin(), dimensions.end(),
                       [&](dimension d) {
                           return limit.*d <= 0 ||
                                  gang_fits_in(used.*d, gang.m_size.*d, limit.*d, count,
                                               gang.m_may_exceed);
                       });
}

bool customer_usage::ever_fits_gang(const customer_start& gang, int count) const
{
    if (gang.m_customer == no_customer)
        return true;
    const auto limit = limit_of(gang);
    return std::all_of(dimensions.begin(), dimensions.end(),
                       [&](dimension d) {
                           return limit.*d <= 0 ||
                                  gang_fits_in(0, gang.m_size.*d, limit.*d, count, true);
                       });
}

bool customer_usage::under_half(const customer_start& start) const
{
    if (!m_limits_known)
        return false;
    const auto limit = limit_of(start);
    const auto used = counted(start.m_customer);
    return std::all_of(dimensions.begin(), dimensions.end(), [&](dimension d)
                       { return limit.*d <= 0 || 2 * (used.*d) <= limit.*d; });
}

std::vector<customer_figures> customer_usage::figures() const
{
    std::vector<customer_figures> result;
    result.reserve(m_indices.size());
    for (const auto& [name, index] : m_indices)
    {
        const auto& one = m_entries[index];
        result.push_back({.m_name = name,
                          .m_used = one.m_used,
                          .m_limit = one.m_limit,
                          .m_listed = one.m_listed});
    }
    return result;
}

} // namespace dragonflygap::cell
