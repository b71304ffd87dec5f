#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/task_size.hpp"
#include "dragonflygap/observe/log.hpp"

/// The limits of customers: what may run of a customer on all workers together.
namespace dragonflygap::cell
{

namespace
{

// More than the workers of any cell have.
constexpr std::int64_t whole_cell = 1'000'000'000'000'000;
constexpr resources everything{whole_cell, whole_cell, whole_cell};

resources rest_of(const worker_state& worker)
{
    const auto free = worker.free();
    return {.m_millicores = std::max<std::int64_t>(0, free.m_millicores),
            .m_memory_mb = std::max<std::int64_t>(0, free.m_memory_mb),
            .m_accelerators = std::max<std::int64_t>(0, free.m_accelerators)};
}

resources largest(const resources& left, const resources& right)
{
    return {.m_millicores = std::max(left.m_millicores, right.m_millicores),
            .m_memory_mb = std::max(left.m_memory_mb, right.m_memory_mb),
            .m_accelerators = std::max(left.m_accelerators, right.m_accelerators)};
}

// The tasks of a restored job that aren't done and that no worker has reported.
resources unreported_size(const job_state& job)
{
    // Occurrences that this leader hasn't opened may run too.
    if (job.record().m_request.m_occurrences > 0)
        return everything;
    resources result;
    for (const auto& [k, steps] : job.open_occurrences())
        for (int s = 0; s < job.steps(); ++s)
            result += times(size_of(job.spec(s)), steps[s].m_waiting);
    return result;
}

} // namespace

// When to submit again a job that can't be accepted for its customer; nothing if it can be.
std::optional<std::int64_t> coordinator::refused_for_customer(const job_submitted& event) const
{
    // The VM that took the call knows a newer configuration, or an older one. Each learns the
    // newest within two heartbeats.
    constexpr std::int64_t unlisted_retry_after_ms = 1000;
    // A limit changes when operators act, which takes them minutes; a caller retries a few times.
    constexpr std::int64_t gang_retry_after_ms = 10000;
    if (event.m_customer.empty())
        return std::nullopt;
    if (!m_usage.is_listed(event.m_customer))
    {
        // Without its limit nothing of the job could be started.
        log_event(log_level::info, "job_rejected",
                  {{"job", event.m_job.m_value},
                   {"cause", "customer_unlisted"},
                   {"customer", event.m_customer.m_value}});
        return unlisted_retry_after_ms;
    }
    for (const auto& spec : event.m_request.m_steps)
    {
        const customer_start gang{.m_customer = m_usage.find(event.m_customer),
                                  .m_size = size_of(spec)};
        if (!spec.m_gang || m_usage.ever_fits_gang(gang, spec.m_count))
            continue;
        log_event(log_level::info, "job_rejected",
                  {{"job", event.m_job.m_value},
                   {"cause", "gang_over_limit"},
                   {"customer", event.m_customer.m_value},
                   {"count", spec.m_count},
                   {"millicores", spec.m_size.m_millicores},
                   {"memory_mb", spec.m_size.m_memory_mb}});
        return gang_retry_after_ms;
    }
    return std::nullopt;
}

customer_start coordinator::start_of(const job_state& job, const step_key& key) const
{
    return {.m_customer = job.m_customer,
            .m_size = size_of(job.spec(key.m_step)),
            .m_stored_limit = job.record().m_customer_limit,
            .m_priority = job.record().m_queue.m_priority,
            .m_ignores_claims = overtakes(job, key),
            .m_may_exceed = orders_are_clear(job.m_customer)};
}

// A start above the limit overtakes others on their way to other workers. If one of these were the
// last to arrive, it would seem to have taken the customer above the limit by more than itself.
bool coordinator::orders_are_clear(customer_index customer) const
{
    const auto& options = m_options.m_workers;
    return m_usage.open_orders(customer) == 0 &&
           m_now - m_usage.last_unclear(customer) >= options.m_order_window + options.m_clock_slack;
}

// Number of a step's waiting tasks that may start by the limit of its customer.
int coordinator::startable(const job_state& job, const step_key& key) const
{
    const auto waiting = job.step(key.m_occurrence, key.m_step).m_waiting;
    if (job.m_customer == no_customer)
        return waiting;
    const auto start = start_of(job, key);
    if (!job.spec(key.m_step).m_gang)
        return m_usage.max_starts(start, waiting);
    return m_usage.fits_gang(start, waiting) ? waiting : 0;
}

// Number of tasks for which a step that asks for approval claims a part of its customer's limit.
int coordinator::claimed_tasks(const job_state& job, const step_key& key,
                               const room_claim& claim) const
{
    const auto wanted = startable(job, key);
    return job.spec(key.m_step).m_gang
               ? wanted
               : std::min(wanted, task_count(claim.m_firm) + task_count(claim.m_tentative));
}

// A step of which nothing runs doesn't wait for others of a customer that uses little.
bool coordinator::overtakes(const job_state& job, const step_key& key) const
{
    if (!m_gate.may_overtake(job.m_customer))
        return false;
    const auto& step = job.step(key.m_occurrence, key.m_step);
    return step.m_waiting + step.m_done == static_cast<int>(step.m_tasks.size());
}

// True if the limit of its customer still holds a step back, itself or behind another one.
bool coordinator::is_held_back(std::size_t position)
{
    auto& ready = m_ready.at(position);
    const auto customer = ready.m_customer;
    if (customer == no_customer)
        return false;
    if (m_gate.is_closed(customer) && !overtakes(*ready.m_job, ready.m_rank.m_step))
    {
        give_up_room(ready);
        return true;
    }
    if (ready.m_over_limit_since != instant{} && m_now < m_ready.wake_at(position) &&
        ready.m_limit_changes == m_usage.changes(customer))
    {
        close_gate(ready);
        return true;
    }
    // Nothing that happened meanwhile has woken it.
    if (ready.m_held_back)
        m_ready.set_wake_at(position, m_now);
    return false;
}

void coordinator::hold_back(std::size_t position, instant since)
{
    constexpr duration max_interval = 500ms; // time alone may let it overtake others
    auto& ready = m_ready.at(position);
    give_up_room(ready);
    ++m_counts.m_steps_held_back;
    ready.m_over_limit_since = since == instant{} ? m_now : since;
    ready.m_limit_changes = m_usage.changes(ready.m_customer);
    close_gate(ready);
    m_ready.set_wake_at(position, m_now + max_interval);
}

// The limit may have been lowered since a gang was accepted: one that can't start doesn't keep
// others waiting.
void coordinator::close_gate(const ready_step& ready)
{
    const auto& key = ready.m_rank.m_step;
    const auto& spec = ready.m_job->spec(key.m_step);
    const auto start = start_of(*ready.m_job, key);
    if (spec.m_gang && !m_usage.ever_fits_gang(start, spec.m_count))
        return;
    m_gate.hold(ready.m_customer, {.m_since = ready.m_over_limit_since,
                                   .m_gang = spec.m_gang,
                                   .m_under_half = m_usage.under_half(start)});
}

// Other steps may use what the step has claimed, and the workers that were closed for it.
void coordinator::give_up_room(ready_step& ready)
{
    if (std::exchange(ready.m_held_back, true))
        return;
    m_claims.drop(ready.m_rank.m_step);
    set_drained(*ready.m_state, {});
}

// Orders of an earlier leader may have reached the worker, and it hasn't said what it runs.
bool coordinator::may_run_unknown_tasks(const worker_state& worker) const
{
    return !worker.m_reported && !worker.m_replaced && m_now < worker.m_earlier_leases_until;
}

// A worker that answers soon counts as full of any customer's tasks until then. One that is silent
// may stay so until its lease ends, which is longer than a customer that uses little may wait. What
// it runs are tasks of restored jobs; only runs of a job that ended just before the takeover, which
// are being stopped, are left out.
void coordinator::count_unknown_use()
{
    if (!m_usage.any())
        return;
    if (m_now >= m_earlier_leases_until && m_usage.runs_of_unknown_size() == 0)
    {
        m_usage.set_unknown({}, {});
        m_restored_ended.clear();
        return;
    }
    resources by_any;
    resources by_restored;
    resources capacity;
    int unlisted_answering = 0;
    int unlisted_silent = 0;
    for (const auto& [id, worker] : m_workers)
    {
        capacity = largest(capacity, worker.m_info.m_capacity);
        const bool unheard = may_run_unknown_tasks(worker);
        if (!unheard && !worker.free_capacity_unknown())
            continue;
        const bool bounded = !worker.free_capacity_unknown() && is_silent(worker);
        if (worker.m_info.m_capacity == resources{})
            ++(bounded ? unlisted_silent : unlisted_answering);
        else
            (bounded ? by_restored : by_any) += rest_of(worker);
    }
    // A worker that the list no longer has is taken to be as large as the largest one there.
    const bool list_known = capacity != resources{};
    by_any += list_known ? times(capacity, unlisted_answering)
                         : (unlisted_answering > 0 ? everything : resources{});
    by_restored += list_known ? times(capacity, unlisted_silent)
                              : (unlisted_silent > 0 ? everything : resources{});
    m_usage.set_unknown(by_any, by_restored);
    constexpr duration count_interval = 100ms; // it visits all jobs
    if (by_restored == resources{} || m_now - m_last_restored_count < count_interval)
        return;
    m_last_restored_count = m_now;
    m_usage.set_restored(restored_sizes());
}

// By customer, the tasks of restored jobs that aren't done and that no worker has reported.
std::vector<resources> coordinator::restored_sizes() const
{
    std::vector<resources> result(m_usage.end());
    for (const auto& [customer, size] : m_restored_ended)
        result[customer] = size;
    for (const auto& [id, job] : m_jobs)
        if (job->m_restored && !job->m_outcome && job->m_customer != no_customer)
            result[job->m_customer] += unreported_size(*job);
    return result;
}

// A job that ends may run on silent workers, to which its stops don't get through.
void coordinator::remember_unreported(const job_state& job)
{
    if (job.m_restored && job.m_customer != no_customer && m_now < m_earlier_leases_until)
        m_restored_ended[job.m_customer] += unreported_size(job);
}

} // namespace dragonflygap::cell
