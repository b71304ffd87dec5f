#include "dragonflygap/placement/job_manager.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::placement
{

std::vector<job_action> job_manager::handle(const job_event& event, instant /*now*/)
{
    actions out;
    std::visit([&](const auto& what) { on(what, out); }, event);
    place_waiting(out);
    return out;
}

void job_manager::on(const job_accepted& event, actions& /*out*/)
{
    const auto id = event.m_job.m_spec.m_id;
    m_jobs[id] = event.m_job;
    m_waiting.insert(id);
}

void job_manager::on(const workers_owned& event, actions& /*out*/)
{
    std::map<worker_id, owned_worker> next;
    for (const auto& worker : event.m_workers)
        next[worker.m_info.m_id] = worker;
    for (const auto& [id, worker] : m_workers)
        if (!next.contains(id))
            m_engine.remove_worker(id);
    for (const auto& [id, worker] : next)
        m_engine.set_worker({.m_id = id,
                             .m_data_centre = worker.m_info.m_data_centre,
                             .m_rack = worker.m_info.m_rack,
                             .m_capacity = worker.m_info.m_capacity,
                             .m_leaving = worker.m_info.m_leaving});
    m_workers = std::move(next);
}

void job_manager::on(const start_answered& event, actions& out)
{
    const auto found = m_jobs.find(event.m_job);
    if (found == m_jobs.end())
        return;
    auto& task = found->second.m_tasks[static_cast<std::size_t>(event.m_index)];
    if (task.m_attempt != event.m_attempt || task.m_state != job_task_state::starting)
        return;
    if (event.m_result)
    {
        task.m_state = job_task_state::running;
        out.emplace_back(save_job{event.m_job});
        return;
    }
    // A start that may have happened is settled by the worker's next report.
    if (event.m_result.error().m_verdict == verdict::not_run)
        end_task(found->second, task, platform::task_state::failed, out);
}

void job_manager::on(const worker_reported& event, actions& out)
{
    acknowledge_tasks known{.m_worker = event.m_worker};
    for (const auto& report : event.m_tasks)
    {
        const auto found = m_jobs.find(report.m_job);
        if (found == m_jobs.end())
            continue;
        for (auto& task : found->second.m_tasks)
        {
            if (name_of(report.m_job, task) != report.m_task)
                continue;
            if (report.m_state == platform::task_state::running)
                task.m_state = job_task_state::running;
            else if (task.m_state == job_task_state::running)
                end_task(found->second, task, report.m_state, out);
        }
        if (report.m_state != platform::task_state::running)
            known.m_tasks.push_back(report.m_task);
    }
    if (!known.m_tasks.empty())
        out.emplace_back(std::move(known));
}

void job_manager::on(const job_manager_tick& /*event*/, actions& /*out*/) {}

void job_manager::end_task(job& ended, job_task& task, platform::task_state state, actions& out)
{
    m_engine.release(ended.m_spec, task.m_worker);
    task.m_worker = {};
    const bool done =
        state == platform::task_state::finished && ended.m_spec.m_kind != job_kind::service;
    if (done)
        task.m_state = job_task_state::finished;
    else if (ended.m_spec.m_kind != job_kind::service &&
             task.m_attempt >= ended.m_spec.m_max_attempts)
        task.m_state = job_task_state::failed;
    else
    {
        task.m_state = job_task_state::waiting;
        m_waiting.insert(ended.m_spec.m_id);
    }
    out.emplace_back(save_job{ended.m_spec.m_id});
}

void job_manager::place_waiting(actions& out)
{
    std::erase_if(m_waiting,
                  [&](const job_id& id)
                  {
                      auto& waiting = m_jobs[id];
                      place_job(waiting, out);
                      return std::ranges::none_of(
                          waiting.m_tasks, [](const job_task& task)
                          { return task.m_state == job_task_state::waiting; });
                  });
}

void job_manager::place_job(job& waiting, actions& out)
{
    std::vector<job_task*> tasks;
    for (auto& task : waiting.m_tasks)
        if (task.m_state == job_task_state::waiting)
            tasks.push_back(&task);
    if (waiting.m_spec.m_kind == job_kind::gang)
    {
        const auto workers = m_engine.place_all(waiting.m_spec, static_cast<int>(tasks.size()));
        for (std::size_t i = 0; workers && i < tasks.size(); ++i)
            start(waiting, *tasks[i], (*workers)[i], out);
        return;
    }
    for (auto* task : tasks)
    {
        const auto worker = m_engine.place(waiting.m_spec);
        if (!worker)
            return;
        start(waiting, *task, *worker, out);
    }
}

void job_manager::start(job& starting, job_task& task, const worker_id& worker, actions& out)
{
    ++task.m_attempt;
    task.m_state = job_task_state::starting;
    task.m_worker = worker;
    const auto& owned = m_workers.at(worker);
    const auto& spec = starting.m_spec;
    out.emplace_back(start_on_worker{.m_worker = owned,
                                     .m_task = {.m_epoch = owned.m_epoch,
                                                .m_task = name_of(spec.m_id, task),
                                                .m_job = spec.m_id,
                                                .m_size = spec.m_size,
                                                .m_lease = m_options.m_task_lease,
                                                .m_run_time = spec.m_expected},
                                     .m_job = spec.m_id,
                                     .m_index = task.m_index,
                                     .m_attempt = task.m_attempt});
}

} // namespace dragonflygap::placement
