#include <algorithm>

#include "dragonflygap/cell/coordinator.hpp"

/// Reports about waiting steps; changes no decision.
namespace dragonflygap::cell
{

namespace
{

void add_workers(const std::map<worker_id, worker_state>& workers, instant now,
                 pass_summary& summary)
{
    for (const auto& [id, worker] : workers)
    {
        summary.m_workers_listed += worker.m_listed ? 1 : 0;
        for (const auto& [task, placed] : worker.m_placements)
        {
            summary.m_runs_starting += placed.m_phase == placement_phase::starting ? 1 : 0;
            summary.m_runs_unknown += placed.m_phase == placement_phase::unknown ? 1 : 0;
            if (!placed.m_stop_requested)
                continue;
            ++summary.m_runs_stopping;
            summary.m_longest_stop =
                std::max(summary.m_longest_stop, now - placed.m_stop_requested_at);
        }
        if (!worker.m_pass.m_open)
            continue;
        ++summary.m_workers_open;
        summary.m_workers_suspected += now < worker.m_suspected_until ? 1 : 0;
        summary.m_millicores_free += worker.free().m_millicores;
        summary.m_millicores_reserved += worker.m_claimed.m_millicores;
        if (!worker.m_pass.m_closed)
            continue;
        ++summary.m_workers_closed;
        summary.m_millicores_closed += worker.free().m_millicores;
    }
}

} // namespace

void coordinator::for_each_due_step(
    const std::function<void(const job_state&, const step_key&)>& visit) const
{
    for (const auto& [id, job] : m_jobs)
    {
        const auto& request = job->record().m_request;
        for (const auto& [k, steps] : job->open_occurrences())
        {
            if (request.m_occurrences > 0 && m_unix_ms < due_time(request, k))
                break;
            for (int s = 0; s < job->steps(); ++s)
                visit(*job, {id, k, s});
        }
    }
}

wait_report coordinator::report_waits(std::size_t max_by_rank, std::size_t max_by_age) const
{
    struct candidate
    {
        const job_state* m_job;
        step_key m_step;
        const ready_step* m_ready; ///< nullptr: placement passes don't visit it.
        instant m_since;
    };
    wait_report result;
    add_workers(m_workers, m_now, result.m_pass);
    result.m_pass.m_approvals_open = m_open_approvals.size();
    for (const auto& [id, job] : m_jobs)
        for (const auto& [k, steps] : job->open_occurrences())
            for (const auto& step : steps)
                result.m_pass.m_tickets_held += step.m_approval.held_count();
    auto add = [&](const candidate& step)
    {
        result.m_steps.push_back(
            explain_wait(*step.m_job, step.m_step, m_workers,
                         {.m_now = m_now,
                          .m_unix_ms = m_unix_ms,
                          .m_workers_unsynced = m_workers_unsynced,
                          .m_queued = step.m_ready != nullptr,
                          .m_held_back = step.m_ready != nullptr && step.m_ready->m_held_back}));
    };
    std::set<step_key> reported;
    for (std::size_t i = 0; i < std::min(max_by_rank, m_ready.size()); ++i)
    {
        const auto& ready = m_ready.at(i);
        reported.insert(ready.m_rank.m_step);
        add({ready.m_job.get(), ready.m_rank.m_step, &ready, {}});
    }
    std::vector<candidate> oldest;
    auto consider = [&](const job_state& job, const step_key& key)
    {
        const auto& step = job.step(key.m_occurrence, key.m_step);
        result.m_pass.m_approvals_in_flight += step.m_approval.m_calls.size();
        if (!is_waiting(job, key, m_workers, m_unix_ms))
            return;
        const auto since = waiting_since(job, key);
        const auto* ready = m_ready.find(rank_of(job, key));
        auto& pass = result.m_pass;
        ++pass.m_steps_waiting;
        pass.m_gangs_waiting += job.spec(key.m_step).m_gang ? 1 : 0;
        pass.m_not_queued += ready == nullptr ? 1 : 0;
        pass.m_oldest_wait = std::max(pass.m_oldest_wait, m_now - since);
        if (reported.count(key) != 0 ||
            (oldest.size() == max_by_age && since >= oldest.back().m_since))
            return;
        oldest.insert(std::upper_bound(oldest.begin(), oldest.end(), since,
                                       [](instant value, const candidate& other)
                                       { return value < other.m_since; }),
                      {&job, key, ready, since});
        if (oldest.size() > max_by_age)
            oldest.pop_back();
    };
    if (max_by_age > 0)
        for_each_due_step(consider);
    for (const auto& step : oldest)
        add(step);
    return result;
}

void coordinator::count_lapsed_tickets()
{
    constexpr duration count_interval = 1s;
    if (m_now - m_last_lapse_count < count_interval)
        return;
    m_last_lapse_count = m_now;
    for (auto& [id, job] : m_jobs)
        for (auto& [k, steps] : job->open_occurrences())
            for (auto& step : steps)
                if (!step.m_approval.m_tickets.empty())
                    m_counts.m_tickets.m_lapsed += step.m_approval.drop_lapsed(m_now);
}

} // namespace dragonflygap::cell
