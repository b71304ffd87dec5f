#include "dragonflygap/daemon/job_driver.hpp"

#include <algorithm>
#include <utility>

#include <xxhash.h>

#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr duration tick_interval = 100ms;
constexpr std::string_view job_key_prefix = "jobs/";

// A cancellation is retried if rows of the job change concurrently.
constexpr int max_cancel_attempts = 5;

placement::job_manager_options manager_options(const job_driver_options& options)
{
    return {.m_data_centre = options.m_data_centre,
            .m_writer = options.m_vm.m_value + "." + std::to_string(options.m_incarnation)};
}

std::vector<cluster::group_capacity> groups_of(std::span<const placement::part_home> homes)
{
    std::vector<cluster::group_capacity> result;
    for (const auto& home : homes)
        result.push_back({.m_data_centre = home.m_data_centre, .m_group = home.m_group});
    return result;
}

} // namespace

job_driver::job_driver(event_loop& loop, platform::table_port table, platform::worker_port workers,
                       job_driver_options options)
    : m_table(std::move(table)),
      m_workers(std::move(workers)),
      m_options(std::move(options)),
      m_manager(manager_options(m_options)),
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
    const auto submission = m_last_job;
    m_submissions[submission] = std::move(done);
    run(placement::job_submitted{submission, std::move(spec)});
}

void job_driver::set_workers(placement::workers_owned workers)
{
    run(std::move(workers));
}

void job_driver::set_teams(std::vector<config::team> teams)
{
    run(placement::teams_changed{std::move(teams)});
}

void job_driver::run(const placement::job_event& event)
{
    for (const auto& action : m_manager.handle(event, monotonic_clock::now()))
        std::visit([this](const auto& alternative) { act(alternative); }, action);
}

void job_driver::act(const placement::scan_parts& action)
{
    m_table.m_scan(placement::prefix_of(action.m_home),
                   [this, action](outcome<std::vector<platform::row>> rows) {
                       run(placement::parts_scanned{action.m_home.m_group, action.m_generation,
                                                    std::move(rows)});
                   });
}

void job_driver::act(const placement::commit_parts& action)
{
    m_table.m_commit(action.m_writes,
                     [this, call = action.m_call](outcome<platform::commit_result> result) {
                         run(placement::parts_committed{call, std::move(result)});
                     });
}

void job_driver::act(const placement::submission_answered& action)
{
    auto node = m_submissions.extract(action.m_submission);
    if (!node.empty())
        node.mapped()(action.m_result);
}

void job_driver::act(const placement::announce_parts& action)
{
    m_options.m_to_all_peers(cluster::jobs_updated{groups_of(action.m_homes)});
}

void job_driver::act(const placement::start_on_worker& action)
{
    log_task_step("start_sent", action.m_task.m_task, action.m_worker.m_info.m_id);
    m_workers.m_start(action.m_worker.m_info, action.m_task,
                      [this, action](outcome<platform::task_report> result)
                      {
                          log_task_step(result ? "started" : to_string(result.error().m_reason),
                                        action.m_task.m_task, action.m_worker.m_info.m_id);
                          run(placement::start_answered{action.m_part, action.m_index,
                                                        action.m_attempt, std::move(result)});
                      });
}

void job_driver::act(const placement::stop_on_worker& action)
{
    log_task_step("stop_sent", action.m_task, action.m_worker.m_info.m_id);
    m_workers.m_stop(action.m_worker.m_info, action.m_worker.m_epoch, action.m_task,
                     [](const outcome<platform::task_report>&) {});
}

void job_driver::act(const placement::renew_worker& action)
{
    const auto& worker = action.m_worker;
    platform::renew_leases renewal{.m_epoch = worker.m_epoch,
                                   .m_lease = placement::worker_tasks_options{}.m_task_lease,
                                   .m_acknowledged = action.m_acknowledged};
    m_workers.m_renew(worker.m_info, std::move(renewal),
                      [this, id = worker.m_info.m_id,
                       call = action.m_call](outcome<std::vector<platform::task_report>> reports) {
                          run(placement::worker_reported{id, call, std::move(reports)});
                      });
}

void job_driver::act(const placement::request_capacity& action)
{
    m_options.m_to_all_peers(
        cluster::capacity_request{.m_part = action.m_part.m_value,
                                  .m_job = action.m_spec.m_id.m_value,
                                  .m_spec = placement::encode_spec(action.m_spec),
                                  .m_count = static_cast<std::uint32_t>(action.m_count)});
}

void job_driver::on_message(const vm_id& from, const cluster::capacity_request& message)
{
    auto spec = placement::parse_job(message.m_spec);
    if (!spec)
        return;
    spec->m_id = job_id(message.m_job);
    cluster::capacity_reply answer{.m_part = message.m_part};
    for (const auto& offer : m_manager.capacity_for(*spec, static_cast<int>(message.m_count)))
        answer.m_groups.push_back({.m_data_centre = offer.m_home.m_data_centre,
                                   .m_group = offer.m_home.m_group,
                                   .m_count = static_cast<std::uint32_t>(offer.m_count)});
    if (!answer.m_groups.empty())
        m_options.m_to_peer(from, std::move(answer));
}

void job_driver::on_message(const vm_id& /*from*/, const cluster::capacity_reply& message)
{
    placement::capacity_offered offered{.m_part = placement::part_id(message.m_part)};
    for (const auto& group : message.m_groups)
        offered.m_offers.push_back(
            {{group.m_data_centre, group.m_group}, static_cast<int>(group.m_count)});
    run(offered);
}

void job_driver::on_message(const vm_id& /*from*/, const cluster::jobs_updated& message)
{
    placement::parts_written written;
    for (const auto& group : message.m_groups)
        written.m_homes.push_back({group.m_data_centre, group.m_group});
    run(written);
}

void job_driver::find(const job_id& id, found_hook done)
{
    m_table.m_scan(std::string(job_key_prefix),
                   [id, done = std::move(done)](outcome<std::vector<platform::row>> rows)
                   {
                       if (!rows)
                           return done(tl::make_unexpected(rows.error()));
                       std::vector<placement::job_part> parts;
                       for (const auto& row : *rows)
                           if (row.m_key.find("/" + id.m_value + "~") != std::string::npos)
                               if (auto part = placement::decode_part(row))
                                   parts.push_back(std::move(*part));
                       done(std::move(parts));
                   });
}

void job_driver::cancel(const job_id& id, submitted_hook done)
{
    cancel(id, max_cancel_attempts, std::move(done));
}

void job_driver::cancel(const job_id& id, int attempts_left, submitted_hook done)
{
    m_table.m_scan(
        std::string(job_key_prefix),
        [this, id, attempts_left, done = std::move(done)](outcome<std::vector<platform::row>> rows)
        {
            if (!rows)
                return done(fail(verdict::not_run, rows.error().m_reason, rows.error().m_detail));
            std::vector<placement::job_part> parts;
            std::vector<platform::row> found;
            for (const auto& row : *rows)
            {
                if (row.m_key.find("/" + id.m_value + "~") == std::string::npos)
                    continue;
                auto part = placement::decode_part(row);
                if (!part)
                    continue;
                parts.push_back(std::move(*part));
                found.push_back(row);
            }
            if (parts.empty())
                return done(fail(verdict::not_run, reason::not_found, "no such job"));
            cancel_parts(id, std::move(parts), std::move(found), attempts_left, done);
        });
}

void job_driver::cancel_parts(const job_id& id, std::vector<placement::job_part> parts,
                              std::vector<platform::row> rows, int attempts_left,
                              submitted_hook done)
{
    // Writer and revision stay unchanged; the owner detects from them that only the cancellation is
    // new.
    std::vector<platform::row_write> writes;
    placement::announce_parts written;
    for (std::size_t i = 0; i < parts.size(); ++i)
    {
        if (std::exchange(parts[i].m_cancelled, true) || placement::has_ended(parts[i]))
            continue;
        writes.push_back({.m_key = rows[i].m_key,
                          .m_expected_version = rows[i].m_version,
                          .m_value = placement::encode(parts[i])});
        written.m_homes.push_back(parts[i].m_home);
    }
    if (writes.empty())
        return done(id);
    m_table.m_commit(std::move(writes),
                     [this, id, written, attempts_left,
                      done = std::move(done)](outcome<platform::commit_result> result)
                     {
                         if (!result)
                             return done(tl::make_unexpected(result.error()));
                         if (!result->m_committed && attempts_left > 1)
                             return cancel(id, attempts_left - 1, done);
                         if (!result->m_committed)
                             return done(
                                 fail(verdict::not_run, reason::conflict,
                                      "the job's rows are being changed concurrently; try again"));
                         act(written);
                         run(placement::parts_written{written.m_homes});
                         done(id);
                     });
}

void job_driver::log_task_step(std::string_view step, const task_id& task,
                               const worker_id& worker) const
{
    if (m_options.m_history)
        log_event(log_level::info, "task",
                  {{"step", step}, {"task", task.m_value}, {"worker", worker.m_value}});
}

} // namespace dragonflygap::daemon
