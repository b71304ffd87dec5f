#include "dragonflygap/daemon/job_driver.hpp"

#include <utility>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace dragonflygap::daemon
{

namespace
{

constexpr duration renew_interval = 2s;
constexpr duration flush_interval = 200ms;
constexpr duration tick_interval = 100ms;
constexpr duration task_lease = 30s;
constexpr std::size_t max_rows_in_commit = 64;

std::string key_of(const job_id& job)
{
    return "jobs/" + job.m_value;
}

} // namespace

job_driver::job_driver(event_loop& loop, platform::table_port table, platform::worker_port workers,
                       job_driver_options options)
    : m_table(std::move(table)),
      m_workers(std::move(workers)),
      m_options(std::move(options)),
      m_manager(placement::job_manager_options{.m_task_lease = task_lease}),
      m_renew_timer(loop.every(renew_interval, [this] { renew_all(); })),
      m_flush_timer(loop.every(flush_interval, [this] { flush(); })),
      m_tick_timer(loop.every(tick_interval, [this] { run(placement::job_manager_tick{}); }))
{
}

job_id job_driver::next_id(const std::string& name)
{
    const auto text = m_options.m_vm.m_value + "/" + std::to_string(m_options.m_incarnation) + "/" +
                      std::to_string(++m_last_job);
    constexpr std::size_t digits = 8;
    char suffix[digits + 1];
    std::snprintf(suffix, sizeof suffix, "%08x", XXH32(text.data(), text.size(), 0));
    return job_id(name + "-" + suffix);
}

void job_driver::submit(placement::job_spec spec, submitted_hook done)
{
    spec.m_id = next_id(spec.m_name);
    auto made = placement::make_job(std::move(spec));
    std::vector<platform::row_write> writes{
        {.m_key = key_of(made.m_spec.m_id), .m_value = nlohmann::json(made).dump()}};
    m_table.m_commit(std::move(writes),
                     [this, made, done = std::move(done)](outcome<platform::commit_result> result)
                     {
                         if (!result)
                             return done(tl::make_unexpected(result.error()));
                         if (!result->m_committed)
                             return done(fail(verdict::not_run, reason::conflict,
                                              "a job of this id is there already"));
                         m_versions[made.m_spec.m_id] = result->m_rows.front().m_version;
                         run(placement::job_accepted{made});
                         done(made.m_spec.m_id);
                     });
}

void job_driver::set_workers(std::vector<placement::owned_worker> workers)
{
    m_owned = std::move(workers);
    run(placement::workers_owned{m_owned});
}

void job_driver::run(const placement::job_event& event)
{
    for (const auto& action : m_manager.handle(event, monotonic_clock::now()))
        std::visit([this](const auto& what) { act(what); }, action);
}

void job_driver::act(const placement::start_on_worker& action)
{
    record(history::task_start_sent{action.m_task.m_task, action.m_worker.m_info.m_id,
                                    action.m_worker.m_epoch});
    m_workers.m_start(action.m_worker.m_info, action.m_task,
                      [this, action](outcome<platform::task_report> result)
                      {
                          record_start(action, result);
                          run(placement::start_answered{action.m_job, action.m_index,
                                                        action.m_attempt, std::move(result)});
                      });
}

void job_driver::act(const placement::save_job& action)
{
    m_dirty.insert(action.m_job);
}

void job_driver::act(const placement::acknowledge_tasks& action)
{
    auto& tasks = m_acknowledged[action.m_worker];
    tasks.insert(tasks.end(), action.m_tasks.begin(), action.m_tasks.end());
}

void job_driver::renew_all()
{
    for (const auto& worker : m_owned)
    {
        const auto id = worker.m_info.m_id;
        platform::renew_leases what{.m_epoch = worker.m_epoch,
                                    .m_lease = task_lease,
                                    .m_acknowledged = std::exchange(m_acknowledged[id], {})};
        m_workers.m_renew(worker.m_info, what,
                          [this, id](outcome<std::vector<platform::task_report>> reports)
                          {
                              if (!reports)
                                  return;
                              record_ends(id, *reports);
                              run(placement::worker_reported{id, std::move(*reports)});
                          });
    }
}

void job_driver::flush()
{
    if (m_flushing || m_dirty.empty())
        return;
    std::vector<platform::row_write> writes;
    std::vector<job_id> saved;
    while (!m_dirty.empty() && writes.size() < max_rows_in_commit)
    {
        const auto id = m_dirty.extract(m_dirty.begin()).value();
        saved.push_back(id);
        writes.push_back({.m_key = key_of(id),
                          .m_expected_version = m_versions[id],
                          .m_value = nlohmann::json(m_manager.jobs().at(id)).dump()});
    }
    m_flushing = true;
    m_table.m_commit(std::move(writes),
                     [this, saved](outcome<platform::commit_result> result)
                     {
                         m_flushing = false;
                         for (std::size_t i = 0; result && i < result->m_rows.size(); ++i)
                         {
                             const auto& row = result->m_rows[i];
                             m_versions[job_id(row.m_key.substr(key_of({}).size()))] =
                                 row.m_version;
                         }
                         if (!result || !result->m_committed)
                             m_dirty.insert(saved.begin(), saved.end());
                     });
}

void job_driver::record(const history::event& what) const
{
    if (m_options.m_history)
        history::record(what);
}

void job_driver::record_start(const placement::start_on_worker& action,
                              const outcome<platform::task_report>& result) const
{
    const auto& task = action.m_task.m_task;
    const auto& worker = action.m_worker.m_info.m_id;
    if (result)
        record(history::task_started{task, worker});
    else
        record(history::task_start_failed{task, worker, result.error().m_verdict,
                                          result.error().m_reason});
}

void job_driver::record_ends(const worker_id& worker,
                             std::span<const platform::task_report> reports) const
{
    for (const auto& report : reports)
        if (report.m_state != platform::task_state::running)
            record(
                history::task_ended{report.m_task, worker, std::string(to_string(report.m_state))});
}

} // namespace dragonflygap::daemon
