#include "dragonflygap/cell/customer_admission.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "dragonflygap/cell/objective.hpp"

namespace dragonflygap::cell
{

namespace
{

// Of longer times only that they are long is of interest, and they have to fit into a duration.
constexpr double max_seconds = 1e9;

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::clamp(value, 0.0, max_seconds)));
}

} // namespace

// A task that is larger than the limit runs alone, so it occupies the limit once.
customer_backlogs::limit_seconds customer_backlogs::seconds_of(std::span<const step_load> load,
                                                               const resources& limit)
{
    constexpr double ms_per_s = 1000;
    const auto share = [](std::int64_t part, std::int64_t whole)
    { return whole <= 0 ? 0 : std::min(1.0, static_cast<double>(part) / static_cast<double>(whole)); };
    limit_seconds result{};
    for (const auto& step : load)
    {
        const double seconds =
            static_cast<double>(step.m_tasks) * static_cast<double>(step.m_task_ms) / ms_per_s;
        result[0] += seconds * share(step.m_size.m_millicores, limit.m_millicores);
        result[1] += seconds * share(step.m_size.m_memory_mb, limit.m_memory_mb);
        result[2] += seconds * share(step.m_size.m_accelerators, limit.m_accelerators);
    }
    return result;
}

// A level without jobs is dropped, and with it the rounding errors of its sums.
void customer_backlogs::count(account& of, const job_entry& entry, int sign)
{
    auto& counted = of.m_levels[entry.m_rank];
    counted.m_jobs += sign;
    for (std::size_t r = 0; r < entry.m_seconds.size(); ++r)
    {
        counted.m_sum[r] += sign * entry.m_seconds[r];
        counted.m_squares[r] += sign * entry.m_seconds[r] * entry.m_seconds[r];
    }
    if (counted.m_jobs == 0)
        of.m_levels.erase(entry.m_rank);
}

void customer_backlogs::set_limits(const std::map<customer_id, customer_rules>& customers)
{
    m_accounts.clear();
    for (const auto& [name, rules] : customers)
        m_accounts[name].m_limit = rules.m_limit;
    for (auto& [id, entry] : m_jobs)
    {
        auto& owner = m_accounts[entry.m_customer];
        entry.m_seconds = seconds_of(entry.m_load, owner.m_limit);
        count(owner, entry, 1);
    }
}

void customer_backlogs::add(const job_id& job, const customer_id& customer,
                            const backlog_rank& rank, std::vector<step_load> load)
{
    const auto [entry, inserted] = m_jobs.try_emplace(job);
    if (!inserted)
        return;
    auto& owner = m_accounts[customer];
    const auto seconds = seconds_of(load, owner.m_limit);
    entry->second = {customer, rank, std::move(load), seconds};
    count(owner, entry->second, 1);
}

void customer_backlogs::set_remaining(const job_id& job, std::size_t step, std::int64_t tasks)
{
    const auto found = m_jobs.find(job);
    if (found == m_jobs.end())
        return;
    auto& entry = found->second;
    if (step >= entry.m_load.size() || entry.m_load[step].m_tasks == tasks)
        return;
    auto& owner = m_accounts[entry.m_customer];
    count(owner, entry, -1);
    entry.m_load[step].m_tasks = tasks;
    entry.m_seconds = seconds_of(entry.m_load, owner.m_limit);
    count(owner, entry, 1);
}

void customer_backlogs::remove(const job_id& job)
{
    const auto entry = m_jobs.extract(job);
    if (entry)
        count(m_accounts[entry.mapped().m_customer], entry.mapped(), -1);
}

customer_backlogs::level customer_backlogs::preceding(const account& of, const backlog_rank& rank)
{
    level result;
    const auto end = of.m_levels.upper_bound(rank);
    for (auto one = of.m_levels.begin(); one != end; ++one)
    {
        result.m_jobs += one->second.m_jobs;
        for (std::size_t r = 0; r < result.m_sum.size(); ++r)
        {
            result.m_sum[r] += one->second.m_sum[r];
            result.m_squares[r] += one->second.m_squares[r];
        }
    }
    return result;
}

duration customer_backlogs::backlog(const customer_id& customer, const backlog_rank& rank) const
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end())
        return {};
    const auto before = preceding(found->second, rank);
    return from_seconds(*std::max_element(before.m_sum.begin(), before.m_sum.end()));
}

// The job's turn comes when the backlog before it is done. The least time until then allows for
// estimates that are off independently of each other, so that a backlog of few jobs rejects
// nothing, and for runs above the limit. A job that is too large to meet its objective under the
// limit counts as if it met it, since a later retry wouldn't help it.
std::optional<duration> customer_backlogs::retry_after(const customer_id& customer,
                                                       const backlog_rank& rank,
                                                       std::span<const step_load> load,
                                                       const job_times& times) const
{
    const auto found = m_accounts.find(customer);
    if (found == m_accounts.end() || found->second.m_limit == resources{})
        return std::nullopt;
    const auto own = seconds_of(load, found->second.m_limit);
    const auto before = preceding(found->second, rank);
    const double objective = to_seconds(times.m_objective);
    bool too_late = false;
    double excess = 0;
    for (std::size_t r = 0; r < own.size(); ++r)
    {
        const double error =
            m_options.m_estimate_error * std::sqrt(std::max(0.0, before.m_squares[r]));
        const double least_wait = (before.m_sum[r] - error) / (1 + m_options.m_overage);
        const double needed = std::min(objective, std::max(own[r], to_seconds(times.m_chain)));
        too_late = too_late || least_wait + needed > late_limit * objective;
        excess = std::max(excess, before.m_sum[r] + needed - objective);
    }
    if (!too_late)
        return std::nullopt;
    return std::min(from_seconds(excess), m_options.m_max_retry_after);
}

} // namespace dragonflygap::cell
