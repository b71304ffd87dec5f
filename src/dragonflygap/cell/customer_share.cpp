#include "dragonflygap/cell/customer_share.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>

namespace dragonflygap::cell
{

namespace
{

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

// A customer without a proper weight gets what the others leave.
double weight_of(const customer_rules& customer)
{
    return std::isfinite(customer.m_weight) ? std::max(0.0, customer.m_weight) : 0;
}

double dominant_share(const resources& size, const resources& capacity)
{
    const auto share = [](std::int64_t part, std::int64_t whole)
    { return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole); };
    return std::max({share(size.m_millicores, capacity.m_millicores),
                     share(size.m_memory_mb, capacity.m_memory_mb),
                     share(size.m_accelerators, capacity.m_accelerators)});
}

} // namespace

void customer_shares::set_customers(const std::map<customer_id, customer_rules>& customers,
                                    instant now)
{
    double sum = 0;
    for (const auto& [name, rules] : customers)
        sum += weight_of(rules);
    std::map<customer_id, account> accounts;
    for (const auto& [name, rules] : customers)
    {
        account next{.m_share = sum > 0 ? weight_of(rules) / sum : 0};
        if (const auto known = m_accounts.find(name); known != m_accounts.end())
            for (const auto& [priority, state] : known->second.m_balances)
            {
                auto& kept = next.m_balances[priority];
                kept = current(known->second, priority, now);
                kept.m_seconds = std::min(kept.m_seconds, full_balance(next));
            }
        accounts.emplace(name, std::move(next));
    }
    m_accounts = std::move(accounts);
}

double customer_shares::cell_seconds(std::span<const step_load> load) const
{
    constexpr double ms_per_s = 1000;
    double result = 0;
    for (const auto& step : load)
        result += dominant_share(step.m_size, m_capacity) * static_cast<double>(step.m_tasks) *
                  static_cast<double>(step.m_task_ms) / ms_per_s;
    return std::max(0.0, result);
}

double customer_shares::full_balance(const account& of) const
{
    return std::max(of.m_share * to_seconds(m_options.m_full_after), m_options.m_min_full_s);
}

double customer_shares::rate(const load_average& load, instant now) const
{
    return load.m_rate *
           std::exp(-to_seconds(std::max(duration{}, now - load.m_at)) /
                    to_seconds(m_options.m_load_time));
}

// What the other customers send, as a multiple of their shares.
double customer_shares::others_load(const account& of, int priority, double own, instant now) const
{
    const auto after = m_loads.upper_bound(priority);
    const double others = 1 - of.m_share;
    if (after == m_loads.begin() || others <= 0)
        return 0;
    return std::max(0.0, rate(std::prev(after)->second, now) - own) / others;
}

// A priority that no job of the customer had yet is charged what the next more urgent one was.
customer_shares::balance_state customer_shares::current(const account& of, int priority,
                                                        instant now) const
{
    const auto after = of.m_balances.upper_bound(priority);
    if (after == of.m_balances.begin())
        return {full_balance(of), {0, now}};
    const auto& state = std::prev(after)->second;
    const double own = rate(state.m_load, now);
    const double excess = std::max(0.0, others_load(of, priority, own, now) - 1);
    const double growth = 1 + m_options.m_burst_factor * excess;
    const double elapsed = to_seconds(std::max(duration{}, now - state.m_load.m_at));
    return {std::min(full_balance(of), state.m_seconds + of.m_share * growth * elapsed),
            {own, now}};
}

double customer_shares::balance(const customer_id& customer, int priority, instant now) const
{
    const auto found = m_accounts.find(customer);
    return found == m_accounts.end() ? 0 : current(found->second, priority, now).m_seconds;
}

bool customer_shares::is_beyond(const customer_id& customer, int priority, instant now) const
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return false;
    const auto& of = found->second;
    return of.m_share <= 0 || current(of, priority, now).m_seconds < 0;
}

// The lower bound forgives what a single job of many minutes would take for as long. Jobs beyond
// the share aren't charged to their own priority: otherwise a customer that goes on sending too
// much would stay at the lower bound, and have no job at all within its share.
void customer_shares::charge(const customer_id& customer, int priority, bool beyond, double seconds,
                             instant now)
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end() || seconds <= 0)
        return;
    auto& of = found->second;
    const double added_rate = seconds / to_seconds(m_options.m_load_time);
    const double lowest = -of.m_share * to_seconds(m_options.m_max_debt);
    const auto own = current(of, priority, now);
    of.m_balances[priority] = own;
    for (auto level = of.m_balances.lower_bound(priority); level != of.m_balances.end(); ++level)
    {
        auto state = current(of, level->first, now);
        if (!beyond || level->first > priority)
            state.m_seconds = std::max(state.m_seconds - seconds, lowest);
        state.m_load.m_rate += added_rate;
        level->second = state;
    }
    if (m_loads.count(priority) == 0)
    {
        const auto after = m_loads.upper_bound(priority);
        m_loads[priority] = after == m_loads.begin() ? load_average{} : std::prev(after)->second;
    }
    for (auto level = m_loads.lower_bound(priority); level != m_loads.end(); ++level)
        level->second = {rate(level->second, now) + added_rate, now};
}

} // namespace dragonflygap::cell
