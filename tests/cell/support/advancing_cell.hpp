#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "cell/support/stub_cell.hpp"

namespace simulated
{

/// Tasks that advance at their own pace and end when their work is done, on workers of which some
/// stand still: these answer all calls, but nothing on them advances or ends. One leader follows
/// another.
class advancing_cell
{
public:
    explicit advancing_cell(int workers) : m_worker_count(workers)
    {
        lead({});
        m_leader->list(workers);
    }

    stub_cell& leader() { return *m_leader; }

    /// Submits a job whose tasks take work_time each. With an interval they save a checkpoint after
    /// each such part of their work, and nothing when they are stopped.
    void submit(const std::string& id, duration work_time, step_spec step, duration interval = {})
    {
        m_work[job_id(id)] = {work_time, interval, step.m_gang ? step.m_count : 1};
        m_leader->submit(id, std::move(step));
    }

    void stand_still(int worker) { m_standing.insert(stub_cell::name(worker)); }
    void go_on(int worker) { m_standing.erase(stub_cell::name(worker)); }

    void run(duration length)
    {
        constexpr duration tick_interval = 10ms;
        for (duration passed{}; passed < length; passed += tick_interval)
        {
            work(tick_interval);
            m_leader->run(tick_interval);
        }
    }

    /// Runs until the condition holds; fails if it doesn't within the time.
    void run_until(const std::function<bool()>& condition, duration most)
    {
        constexpr duration interval = 100ms;
        for (duration passed{}; passed < most && !condition(); passed += interval)
            run(interval);
        CHECK_TRUE(condition());
    }

    /// Number of runs of all of the job's tasks that began, under all leaders.
    int started(const std::string& id) const
    {
        const auto earlier = m_started_before.find(id);
        return m_leader->started(id) + (earlier == m_started_before.end() ? 0 : earlier->second);
    }
    int running(const std::string& id) const { return m_leader->running(id); }
    int running_on(int worker, const std::string& id) const
    {
        int count = 0;
        for (const auto& [task, run] : m_leader->m_workers[stub_cell::name(worker)].m_running)
            count += task.m_job == job_id(id) ? 1 : 0;
        return count;
    }
    /// Number of tasks of which a run was stopped there.
    int stopped_on(int worker) const
    {
        const auto& stopped = m_leader->m_workers[stub_cell::name(worker)].m_stopped;
        return static_cast<int>(std::count_if(stopped.begin(), stopped.end(),
                                              [](const auto& entry) { return entry.second > 0; }));
    }
    bool completed(const std::string& id) const
    {
        return ended(id) || m_leader->m_coordinator.state_of(job_id(id)) == "completed";
    }

    /// The next leader reads what this one stored, and hears all workers.
    void change_leader()
    {
        recovered_state found{.m_self = {.m_epoch = ++m_epoch,
                                         .m_vm = vm_id("vm-" + std::to_string(m_epoch)),
                                         .m_uses_stored_since = 1},
                              .m_predecessor_gone = true};
        for (const auto& [name, value] : m_leader->m_rows)
            m_rows[name] = value;
        for (const auto& [name, value] : m_rows)
            if (name.m_table == job_table && !ended(name.m_key))
                found.m_jobs.push_back({name, 1, value});
            else if (name.m_table == progress_table)
                found.m_progress.push_back({name, 1, value});
            else if (const auto workers = name.m_table == workers_table
                                              ? unpack<workers_record>(value)
                                              : std::nullopt)
                found.m_workers = workers->m_workers;
        for (const auto& [id, work] : m_work)
            m_started_before[id.m_value] += m_leader->started(id.m_value);
        const auto before = std::exchange(m_leader, nullptr);
        lead(std::move(found));
        for (auto [id, worker] : before->m_workers)
        {
            worker.m_born -= before->m_now - m_leader->m_now;
            m_leader->m_workers[id] = std::move(worker);
        }
        m_leader->list(m_worker_count);
    }

private:
    /// True if an earlier leader stored that the job has ended.
    bool ended(const std::string& id) const
    {
        return m_rows.count({std::string(ended_table), id}) != 0;
    }

    struct job_work
    {
        duration m_time{};
        duration m_checkpoint_interval{};
        int m_members = 1; ///< That work only together.
    };
    using run_key = std::pair<task_key, std::uint64_t>;

    void lead(recovered_state found)
    {
        m_leader = std::make_unique<stub_cell>(std::move(found));
        m_leader->m_describes_run = [this](running_task& running)
        {
            const auto& work = m_work.at(running.m_task.m_job);
            const auto done = m_done.find({running.m_task, running.m_run});
            running.m_progress_percent = static_cast<int>(
                100 * (done == m_done.end() ? m_saved[running.m_task] : done->second) /
                work.m_time);
            if (const auto saved = m_saved[running.m_task]; saved > duration{})
                running.m_checkpoint = std::to_string(to_ms(saved));
        };
    }

    void work(duration passed)
    {
        std::map<std::pair<job_id, std::uint64_t>, int> members;
        for (const auto& [id, worker] : m_leader->m_workers)
            for (const auto& [task, run] : worker.m_running)
                members[{task.m_job, run}] += m_standing.count(id) == 0 ? 1 : 0;
        for (auto& [id, worker] : m_leader->m_workers)
            for (const auto& [task, run] : std::map(worker.m_running))
            {
                const auto& work = m_work.at(task.m_job);
                if (m_standing.count(id) != 0 || members[{task.m_job, run}] < work.m_members)
                    continue;
                const auto [entry, added] = m_done.try_emplace({task, run}, m_saved[task]);
                auto& done = entry->second;
                done += passed;
                if (const auto interval = work.m_checkpoint_interval; interval > duration{})
                    m_saved[task] = std::max<duration>(m_saved[task], done / interval * interval);
                if (done < work.m_time)
                    continue;
                worker.m_running.erase(task);
                worker.m_ended.push_back(
                    {.m_number = ++worker.m_last_end, .m_task = task, .m_run = run});
            }
    }

    int m_worker_count;
    std::uint64_t m_epoch = 2;
    std::unique_ptr<stub_cell> m_leader;
    std::map<row_name, std::string> m_rows; ///< Of earlier leaders.
    std::map<job_id, job_work> m_work;
    std::set<worker_id> m_standing;
    std::map<run_key, duration> m_done;          ///< Work, with what the run resumed from.
    std::map<task_key, duration> m_saved;        ///< Work in the task's last checkpoint.
    std::map<std::string, int> m_started_before; ///< Under earlier leaders.
};

} // namespace simulated
