#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "dragonflygap/config/document.hpp"
#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/placement/commit_queue.hpp"
#include "dragonflygap/placement/engine.hpp"
#include "dragonflygap/placement/gang_reservation.hpp"
#include "dragonflygap/placement/job.hpp"
#include "dragonflygap/placement/job_part.hpp"
#include "dragonflygap/placement/preemption.hpp"
#include "dragonflygap/placement/usage_estimator.hpp"
#include "dragonflygap/placement/worker_tasks.hpp"
#include "dragonflygap/platform/worker_port.hpp"

/// Job lifecycle. A job is stored as parts, each bound to the workers of one group; the owner of
/// the group owns its workers and coordinates its parts. To run on workers of another group, of
/// this entry VM or a peer, a waiting task is moved to another part in one transaction.
namespace dragonflygap::placement
{

struct workers_owned
{
    std::vector<owned_worker> m_workers;
    std::map<ownership::group_index, std::uint64_t> m_epochs; ///< Includes groups without workers.
    std::vector<platform::worker> m_cell;                     ///< All listed workers, owned or not.
};
/// Answer to scan_parts.
struct parts_scanned
{
    ownership::group_index m_group = 0;
    std::uint64_t m_generation = 0;
    outcome<std::vector<platform::row>> m_rows;
};
/// Answer to commit_parts.
struct parts_committed
{
    std::uint64_t m_call = 0;
    outcome<platform::commit_result> m_result;
};
struct job_submitted
{
    std::uint64_t m_submission = 0;
    job_spec m_spec; ///< With its id set.
};
/// Another process wrote rows of these groups.
struct parts_written
{
    std::vector<part_home> m_homes;
};
struct start_answered
{
    part_id m_part;
    int m_index = 0;
    int m_attempt = 0;
    outcome<platform::task_report> m_result;
};
struct worker_reported
{
    worker_id m_worker;
    std::uint64_t m_call = 0;
    outcome<std::vector<platform::task_report>> m_tasks;
};
/// How many tasks of a job the workers of a peer's group could run now.
struct capacity_offer
{
    part_home m_home;
    int m_count = 0;
};
struct capacity_offered
{
    part_id m_part;
    std::vector<capacity_offer> m_offers;
};
/// A new configuration is in force.
struct teams_changed
{
    std::vector<config::team> m_teams;
};
struct job_manager_tick
{
};
using job_event = std::variant<workers_owned, parts_scanned, parts_committed, job_submitted,
                               parts_written, start_answered, worker_reported, capacity_offered,
                               teams_changed, job_manager_tick>;

/// Read the parts of a group, then report parts_scanned.
struct scan_parts
{
    part_home m_home;
    std::uint64_t m_generation = 0; ///< Returned in parts_scanned.
};
/// Commit the writes, then report parts_committed.
struct commit_parts
{
    std::uint64_t m_call = 0;
    std::vector<platform::row_write> m_writes;
};
struct submission_answered
{
    std::uint64_t m_submission = 0;
    outcome<job_id> m_result;
};
/// Notify the owners of these groups, if they are other entry VMs, that rows were written.
struct announce_parts
{
    std::vector<part_home> m_homes;
};
/// Send a start request for a task to a worker, then report start_answered.
struct start_on_worker
{
    owned_worker m_worker;
    platform::start_task m_task;
    part_id m_part;
    int m_index = 0;
    int m_attempt = 0;
};
/// Send a stop request for a task to a worker. The worker's next report shows the result.
struct stop_on_worker
{
    owned_worker m_worker;
    task_id m_task;
};
/// Query peers for capacity, then report capacity_offered for each that has some.
struct request_capacity
{
    part_id m_part;
    job_spec m_spec;
    int m_count = 0;
};
using job_action = std::variant<scan_parts, commit_parts, submission_answered, announce_parts,
                                start_on_worker, stop_on_worker, renew_worker, request_capacity>;

struct job_manager_options
{
    data_centre_id m_data_centre;
    std::string m_writer; ///< Unique to this process.
    worker_tasks_options m_workers;
    commit_queue_options m_commits;
    duration m_initial_backoff = 500ms;
    duration m_max_backoff = 60s;
    duration m_stop_retry_interval = 2s;       ///< Until an unanswered stop is sent again.
    duration m_start_margin = 5s;              ///< A start may be in flight this long.
    duration m_scan_timeout = 10s;             ///< After this, a scan is repeated.
    duration m_rescan_interval = 20s;          ///< Finds parts whose announcement was lost.
    duration m_capacity_request_interval = 2s; ///< For a part with tasks that don't fit here.
    duration m_submission_timeout = 8s;        ///< After this, it fails or its outcome is unknown.
    duration m_creation_timeout = 30s;      ///< After this, an unanswered creation isn't retried.
    duration m_ended_retention = 60s;       ///< Longer than a creation may be retried.
    std::size_t m_max_ended_per_group = 16; ///< Kept beyond the retention.
};

/// Runs jobs from submission to their end: places, starts, restarts and adopts tasks. Performs no
/// I/O: consumes events and returns actions.
class job_manager
{
public:
    explicit job_manager(job_manager_options options);

    std::vector<job_action> handle(const job_event& event, instant now);

    /// The jobs that have parts here, each with the tasks of these parts.
    std::map<job_id, job> jobs() const;

    const engine& placements() const { return m_workers.placements(); }
    const worker_tasks& workers() const { return m_workers; }

    /// Capacity here for tasks of a peer's job, by group; for a gang, all of its tasks or none.
    std::vector<capacity_offer> capacity_for(const job_spec& spec, int count);

private:
    using actions = std::vector<job_action>;

    struct live_part
    {
        job_part m_part;
        std::uint64_t m_version = 0;
        bool m_claimed = false; ///< Its row was written under the current epoch.
        bool m_adopted = false; ///< From an earlier owner; not all workers have reported yet.
        bool m_dirty = false;
        bool m_in_commit = false;
        bool m_outdated = false; ///< A write had a conflict: rescan before the next one.
        std::vector<std::pair<worker_id, task_id>> m_ended; ///< To be acknowledged once saved.
        std::string m_saved_writer;                         ///< Of the last known value of the row.
        std::uint64_t m_saved_revision = 0;
        instant m_ended_at{};
        instant m_last_requested_at{};
    };

    struct group_state
    {
        std::uint64_t m_epoch = 0;
        std::uint64_t m_generation = 0; ///< Changes with each loss, even if the epoch doesn't.
        bool m_loaded = false;
        bool m_scanning = false;
        bool m_scan_again = false;
        instant m_last_scan_at{};
    };

    /// Effects of a queued commit.
    struct pending_commit
    {
        std::vector<job_part> m_created;
        std::map<ownership::group_index, std::uint64_t> m_generations; ///< At the time of queueing.
        std::uint64_t m_revision = 0;  ///< Written to the source's row.
        part_id m_source;              ///< The live part whose row it writes; may be empty.
        bool m_deletes_source = false; ///< An ended part past its retention.
        std::vector<std::pair<worker_id, task_id>> m_ended;
        std::uint64_t m_submission = 0;
        job_id m_job;
        instant m_queued_at{};
    };

    // job_manager.cpp: groups, workers and tasks
    void on(const workers_owned& event, instant now, actions& out);
    void on(const start_answered& event, instant now, actions& out);
    void on(const worker_reported& event, instant now, actions& out);
    void on(const job_manager_tick& event, instant now, actions& out);
    void apply_report(const owned_worker& from, const platform::task_report& report, instant now,
                      actions& out);
    void handle_missing(const worker_id& worker, const std::set<task_id>& reported, instant sent,
                        instant now);
    void end_task(live_part& part, job_task& task, platform::task_state state, instant now);
    void schedule_retry(live_part& part, job_task& task, instant now);
    void stop_unwanted(live_part& part, instant now, actions& out);
    void place_waiting(instant now, actions& out);
    void place_part(live_part& part, instant now, actions& out);
    void start(live_part& part, job_task& task, const worker_id& worker, instant now, actions& out);
    void send_start(live_part& part, const job_task& task, instant now, actions& out);

    // job_manager_policy.cpp: placement policy
    void on(const teams_changed& event, instant now, actions& out);
    std::vector<worker_id> find_workers(const live_part& part, std::vector<job_task*>& due,
                                        bool as_gang, instant now, actions& out);
    std::vector<worker_id> find_workers_for_gang(const live_part& part, int count, instant now);
    std::vector<victim_candidate> victims(instant now);
    void stop_victims(const std::vector<victim_candidate>& chosen, actions& out);
    std::vector<drainable_worker> drainable() const;
    bool is_waiting(const job_id& job, std::optional<int> index);
    void drop_stale_plans();
    void apply_usage_reports(const owned_worker& from,
                             const std::vector<platform::task_report>& reports, instant now,
                             actions& out);
    std::optional<std::string> rejection_reason(const job_spec& spec) const;

    // job_manager_rows.cpp: table rows
    void on(const parts_scanned& event, instant now, actions& out);
    void on(const parts_committed& event, instant now, actions& out);
    void on(const job_submitted& event, instant now, actions& out);
    void on(const parts_written& event, instant now, actions& out);
    void on(const capacity_offered& event, instant now, actions& out);
    void apply_row(job_part part, std::uint64_t version, instant now);
    void scan(ownership::group_index group, instant now, actions& out);
    void complete(const commit_queue::completion& done, instant now, actions& out);
    void complete_source(live_part& source, const pending_commit& commit,
                         const commit_queue::completion& done, instant now, actions& out);
    bool add_created(job_part part, bool same_generation, const std::vector<platform::row>& rows);
    bool same_generation(const pending_commit& commit, ownership::group_index group) const;
    std::map<ownership::group_index, std::uint64_t> generations() const;
    void add_row(job_part part, std::uint64_t version, instant now);
    void undo_move(live_part& source);
    void save_dirty(instant now);
    void delete_ended_parts(instant now);
    void expire_creations(instant now);
    void expire_submissions(instant now, actions& out);
    void move_tasks(live_part& source, const std::map<part_home, std::vector<int>>& indexes,
                    instant now);
    job_part new_part(const job_spec& spec, const part_home& home);
    std::string encode_next_revision(job_part& part);
    live_part* find_part(const part_id& id);
    live_part* find_task(const job_id& job, int index, job_task*& task);
    bool ready(const live_part& part) const;
    part_home home_of(ownership::group_index group) const;

    job_manager_options m_options;
    worker_tasks m_workers;
    commit_queue m_commits;
    preemptor m_preemptor{{}};
    gang_reservation m_reservation{{}};
    usage_estimator m_usage{{}};
    std::map<team_id, resources> m_quotas;
    std::map<part_id, live_part> m_parts;
    std::map<std::pair<job_id, int>, part_id> m_part_of_task;
    std::map<ownership::group_index, group_state> m_groups;
    std::map<std::uint64_t, pending_commit> m_pending;
    std::vector<platform::worker> m_cell;
    std::uint64_t m_last_revision = 0;
    std::uint64_t m_last_generation = 0;
};

/// Parses index and attempt from a task's name; returns nothing if it isn't a task of the job.
std::optional<std::pair<int, int>> parse_task_name(const job_id& job, const task_id& name);

} // namespace dragonflygap::placement
