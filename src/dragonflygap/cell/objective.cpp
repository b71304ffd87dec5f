#include "dragonflygap/cell/objective.hpp"

#include <algorithm>
#include <chrono>
#include <functional>
#include <vector>

namespace dragonflygap::cell
{

namespace
{

constexpr int workers_per_approval = 30; // that the users count for one call

// The longest chain of steps, each counted by its time.
duration longest_chain(const job_request& request, const std::function<duration(int)>& time_of)
{
    std::vector<duration> ends;
    for (int s = 0; s < static_cast<int>(request.m_steps.size()); ++s)
    {
        duration begin{};
        for (const int earlier : request.m_steps[s].m_depends_on)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + time_of(s));
    }
    return ends.empty() ? duration{} : *std::max_element(ends.begin(), ends.end());
}

} // namespace

duration time_of_step(const job_state& job, int step)
{
    const auto& cost = job.record().m_queue.m_approval;
    const auto approval_ms =
        cost.required() ? cost.m_decision_ms + workers_per_approval * cost.m_per_worker_ms : 0;
    return std::chrono::milliseconds(job.expected_ms(step) +
                                     static_cast<std::int64_t>(approval_ms));
}

bool has_objective(const job_request& request)
{
    return request.m_occurrences == 0 &&
           std::none_of(request.m_steps.begin(), request.m_steps.end(),
                        [](const step_spec& step) { return step.m_long_running; });
}

duration chain_of(const job_state& job)
{
    return longest_chain(job.record().m_request, [&](int step) { return time_of_step(job, step); });
}

duration objective_of(const job_state& job)
{
    const auto& queue = job.record().m_queue;
    return std::chrono::duration_cast<duration>(queue.m_stretch * chain_of(job)) +
           std::chrono::milliseconds(queue.m_slack_ms);
}

duration slack_of(const job_state& job)
{
    return objective_of(job) - chain_of(job);
}

duration remaining_work(const job_state& job)
{
    return longest_chain(job.record().m_request,
                         [&](int number)
                         {
                             const auto& step = job.step(0, number);
                             const bool done = step.m_done == static_cast<int>(step.m_tasks.size());
                             return done ? duration{} : time_of_step(job, number);
                         });
}

// Work that gets done only delays it.
instant next_lateness_at(const job_state& job)
{
    if (job.m_lateness == lateness::very_late || !has_objective(job.record().m_request))
        return instant::max();
    const int limit = job.m_lateness == lateness::on_time ? 1 : late_limit;
    return job.m_since + limit * objective_of(job) - remaining_work(job);
}

lateness lateness_of(const job_state& job, instant now)
{
    if (!has_objective(job.record().m_request))
        return lateness::on_time;
    const auto objective = objective_of(job);
    const auto end = now - job.m_since + remaining_work(job);
    if (end <= objective)
        return lateness::on_time;
    return end <= late_limit * objective ? lateness::late : lateness::very_late;
}

} // namespace dragonflygap::cell
