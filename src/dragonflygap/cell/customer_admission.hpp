#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "dragonflygap/cell/job_load.hpp"
#include "dragonflygap/cell/queue_rules.hpp"
#include "dragonflygap/core/time.hpp"

namespace dragonflygap::cell
{

struct customer_admission_options
{
    /// By how much the expected run times of one job may be off, as a share of them.
    double m_estimate_error = 0.9;
    /// By how much a start may take a customer above its limit, as a share of it.
    double m_overage = 0.1;
    /// Rejected callers retry after at most this time, as the backlog may end sooner than expected.
    duration m_max_retry_after = 30s;
};

/// The order in which a customer's own jobs get its capacity.
struct backlog_rank
{
    int m_priority = 0;
    bool m_beyond_share = false;

    auto operator<=>(const backlog_rank&) const = default;
};

/// Of a job, from its acceptance.
struct job_times
{
    duration m_objective{};
    duration m_chain{}; ///< Its longest chain of work, which it takes at least.
};

/// The work of each customer's unfinished jobs, and for how long it occupies the customer's limit.
/// Answers a customer that sends more than its limit can run: jobs that could only complete when
/// they are of no use any more are rejected at once, before they take memory and approvals. Does no
/// I/O and reads no clock.
class customer_backlogs
{
public:
    explicit customer_backlogs(customer_admission_options options = {}) : m_options(options) {}

    /// The customers in force, with their limits. The others have no limit.
    void set_limits(const std::map<customer_id, customer_rules>& customers);

    /// Adds a job, unless it is there.
    void add(const job_id& job, const customer_id& customer, const backlog_rank& rank,
             std::vector<step_load> load);
    /// Sets the number of a step's tasks that aren't done. Ignored if the job isn't there.
    void set_remaining(const job_id& job, std::size_t step, std::int64_t tasks);
    void remove(const job_id& job);

    /// For a new job that would complete after three times its objective because of the jobs that
    /// precede it: the time after which it would complete within its objective. Nothing for other
    /// jobs, in particular if the customer has no limit or the estimate is uncertain.
    std::optional<duration> retry_after(const customer_id& customer, const backlog_rank& rank,
                                        std::span<const step_load> load,
                                        const job_times& times) const;

    /// Time for which the jobs that precede one of this rank occupy the customer's limit.
    duration backlog(const customer_id& customer, const backlog_rank& rank) const;

    std::size_t jobs() const { return m_jobs.size(); }

private:
    /// Seconds for which work occupies a limit, for each resource; 0 for resources without a limit.
    using limit_seconds = std::array<double, 3>;

    /// The jobs of one customer and rank.
    struct level
    {
        std::size_t m_jobs = 0;
        limit_seconds m_sum{};
        limit_seconds m_squares{}; ///< Sum of the squares of the jobs' seconds.
    };
    struct account
    {
        resources m_limit;
        std::map<backlog_rank, level> m_levels;
    };
    struct job_entry
    {
        customer_id m_customer;
        backlog_rank m_rank;
        std::vector<step_load> m_load;
        limit_seconds m_seconds{}; ///< As counted in the level.
    };

    static limit_seconds seconds_of(std::span<const step_load> load, const resources& limit);
    static void count(account& of, const job_entry& entry, int sign);
    static level preceding(const account& of, const backlog_rank& rank);

    customer_admission_options m_options;
    std::map<customer_id, account> m_accounts; ///< Of customers in force or with jobs.
    std::unordered_map<job_id, job_entry> m_jobs;
};

} // namespace dragonflygap::cell
