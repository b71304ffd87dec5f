#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflygap/cell/approvals.hpp"
#include "dragonflygap/cell/commit_chain.hpp"
#include "dragonflygap/cell/events.hpp"
#include "dragonflygap/cell/job_state.hpp"
#include "dragonflygap/cell/occurrence_timetable.hpp"
#include "dragonflygap/cell/task_plan.hpp"
#include "dragonflygap/cell/wait_report.hpp"
#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

struct coordinator_options
{
    worker_options m_workers;
    commit_chain_options m_commits;
    approval_desk_options m_approvals;
    std::size_t m_most_entries = 96;      ///< Of a transaction; the platform takes 100.
    std::size_t m_most_bytes = 600000;    ///< Of its values; the platform takes 1 MB encoded.
    duration m_store_silence = 700ms;     ///< After it submissions are rejected at once.
    std::int64_t m_store_retry_ms = 1000; ///< Told with it: outages last seconds.
    std::int64_t m_full_retry_ms = 2000;  ///< Told where too much waits: the crest's length.
    duration m_unknown_after = 1s;        ///< After it a submission whose write hangs is answered.
    duration m_renew_without_store = 6s;  ///< Leases aren't prolonged for longer without the store.
    duration m_keep_ended = 150s;         ///< How long the end of a job is remembered.
    duration m_missing_limit = 30s;       ///< After it a worker that left the list is forgotten.
    std::size_t m_most_waiting = 3000;    ///< Jobs beyond it are rejected.
    std::uint64_t m_runs_per_epoch = 1000000; ///< Runs of a task that one epoch can number.
};

/// What a new leader found in the store.
struct recovered_state
{
    leader_record m_self;        ///< As written by the take-over.
    std::uint64_t m_version = 0; ///< Of the leader's row.
    std::vector<stored_row> m_jobs;
    std::vector<stored_row> m_progress;
    std::vector<std::pair<worker_id, std::string>> m_workers;
    bool m_predecessor_gone = false; ///< The last leader's process is known to have ended.
    std::int64_t m_unix_ms = 0; ///< Time of day at the take-over; 0: jobs are as if just accepted.
};

/// The leader of a cell: takes jobs from their submission to their end on all of its workers. Every
/// change of a job is stored before anybody is told of it. Pure: no I/O, no clock.
class coordinator
{
public:
    coordinator(coordinator_options options, const recovered_state& found, instant now);

    /// Takes an event; unix_ms is the time of day, for occurrences at set times.
    std::vector<action> handle(const event& what, instant now, std::int64_t unix_ms);

    /// queued, running, completed, failed or cancelled; empty if the job isn't known here.
    std::string_view state_of(const job_id& job) const;

    /// Accepted jobs of a queue of which no task has started.
    std::int64_t waiting(const queue_id& queue) const;

    const leader_record& record() const { return m_chain.record(); }
    instant last_commit_at() const { return m_chain.last_success(); }
    std::size_t live_jobs() const { return m_jobs.size(); }
    std::size_t ready_steps() const { return m_ready.size(); }
    const std::map<worker_id, worker_state>& workers() const { return m_workers; }
    const job_state* find_job(const job_id& job) const;
    void for_each_job(const std::function<void(const job_state&)>& visit) const;

    /// Tells what waits and why: the first steps by rank, and of the others those known as due the
    /// longest. Looks at every step of the cell: for a call a second.
    wait_report report_waits(std::size_t first, std::size_t longest) const;
    const leader_counts& counts() const { return m_counts; }

private:
    using actions = std::vector<action>;
    using job_ptr = std::shared_ptr<job_state>;

    /// Order in which steps get room: urgent queues first, then by arrival.
    struct rank
    {
        int m_priority = 0;
        instant m_since{};
        step_key m_step;

        auto operator<=>(const rank&) const = default;
    };
    struct open_call
    {
        std::uint64_t m_call = 0;
        instant m_since{};
        bool m_cancels = false;
    };
    /// One transaction's worth of changes.
    struct batch
    {
        std::vector<job_id> m_jobs;
        std::vector<job_id> m_forgotten;
        std::map<worker_id, std::uint64_t> m_ends; ///< That may be acknowledged afterwards.
        bool m_workers = false;
    };
    /// An approval call in the making.
    struct wanted_approval
    {
        std::vector<worker_id> m_named;
        room_claim m_claim;
    };
    /// A worker of which a step doesn't know whether it is approved.
    struct unknown_worker
    {
        const worker_state* m_worker = nullptr;
        int m_fits = 0;                ///< Tasks that it has room for beside others' hopes.
        std::int64_t m_millicores = 0; ///< Free there, less what others hope for.
    };
    enum class ticket_need
    {
        valid, ///< Workers with a valid ticket.
        known, ///< Workers that are approved; a ticket can be had.
    };

    void on(const job_submitted& event);
    void on(const job_cancelled& event);
    void on(const workers_listed& event);
    void on(const commit_answered& event);
    void on(const leader_row_read& event);
    void on(const renewal_answered& event);
    void on(const start_answered& event);
    void on(const stop_answered& event);
    void on(const approval_answered& event);
    void on(const members_changed& event);
    void on(const tick& event);

    // coordinator.cpp: jobs and calls
    void inherit_jobs(const recovered_state& found);
    void answer(job_state& job, call_status status);
    void end_job(job_state& job, job_outcome outcome);
    void refresh(job_state& job);
    void refresh(job_state& job, int occurrence);
    void check_times();
    job_state* find(const job_id& job);
    static rank rank_of(const job_state& job, const step_key& step);

    // coordinator_commits.cpp: what is stored and what follows from it
    void build_commit();
    bool add_job(job_state& job, transaction& change, batch& what);
    void take_commit(commit_chain::status status);
    void committed();
    void drop_duplicates(const transaction_result& result);
    void requeue();
    void reject_unstored();
    bool sent(const job_id& job) const;
    void expire_calls();
    bool store_is_away() const;
    duration store_age() const; ///< Since the store last answered, or the take-over.

    // coordinator_workers.cpp: leases, reports, losses; coordinator_ends.cpp: ends and stops
    void renew_workers();
    void renew(worker_state& worker);
    instant lease_end() const;
    void take_report(worker_state& worker, const worker_report& report, instant sent);
    bool renewal_needed(const worker_state& worker) const;
    void adopt(worker_state& worker, const running_task& running);
    void take_end(worker_state& worker, const ended_task& end);
    void count_failure(job_state& job, const task_key& key, std::uint64_t run);
    void release(worker_state& worker, const task_key& task);
    void settle(worker_state& worker, const worker_report& report, instant sent);
    void lose(worker_state& worker, std::string_view cause);
    void send_stops();
    void stop_stuck();
    void stop_gang(job_state& job, const step_key& step, std::uint64_t run);
    void stop_task(job_state& job, const task_key& key);
    void stop_all(job_state& job);
    bool blind() const;

    // coordinator_placing.cpp, coordinator_gangs.cpp: who gets room; coordinator_approvals.cpp: who
    // is asked for tickets
    void place_all();
    void place_step(job_state& job, const step_key& key, std::size_t position);
    bool worth_a_look(const job_state& job, const step_key& key) const;
    void place_tasks(job_state& job, const step_key& key, const step_approval* approved);
    void look_for_room(job_state& job, const step_key& key, std::size_t position);
    void report_unsuited();
    void report_unsuited(const job_state& job, const step_key& key);
    void log_started(const job_state& job, const step_key& key, int count) const;
    std::vector<task_places> find_places(const job_state& job, const step_key& key,
                                         ticket_need need, plan_order order);
    std::vector<task_places> places_on(const std::vector<worker_state*>& among,
                                       const job_state& job, const step_key& key, plan_order order,
                                       bool avoid_claims) const;
    void open_pass();
    bool takes_tasks(const worker_state& worker) const;
    static bool suits(const worker_state& worker, const job_state& job, const step_spec& spec);
    std::vector<worker_state*> allowed(const job_state& job, const step_key& key, ticket_need need);
    void start(job_state& job, const task_key& task, worker_state& worker, std::uint64_t run,
               const step_approval* approved);
    void drain_for_gang(job_state& job, const step_key& key);
    void keep_drained(const step_state& step);
    double approval_rate(const queue_id& queue) const;
    void learn_approval_rate(const queue_id& queue, const step_approval& before,
                             const approval_answered& event);
    bool ask_for_approval(job_state& job, const step_key& key);
    wanted_approval name_workers(const job_state& job, const step_key& key, duration until_answer);
    void name_approved(const job_state& job, const step_key& key, duration until_answer,
                       wanted_approval& wanted);
    std::vector<unknown_worker> unknown_workers(const job_state& job, const step_key& key) const;
    void name_unknown(const job_state& job, const step_key& key, wanted_approval& wanted);
    int possible_tasks(const job_state& job, const step_key& key) const;
    static const step_approval* approval_of(const job_state& job, const step_key& key);
    static int most_on(const worker_state& worker, const step_spec& spec, const step_key& key);

    // coordinator_waits.cpp: what is told of the waiting steps
    void each_due_step(const std::function<void(const job_state&, const step_key&)>& visit) const;
    void count_answer(const approval_answered& event);
    void count_lapsed();

    coordinator_options m_options;
    commit_chain m_chain;
    approval_desk m_desk;
    instant m_now;
    std::int64_t m_unix_ms = 0;
    instant m_taken_over;
    instant m_blind_until{}; ///< Until then workers not heard of may run tasks of a predecessor.
    actions* m_out = nullptr;
    bool m_deposed = false;

    std::unordered_map<job_id, job_ptr> m_jobs; ///< Not ended, or ended and not yet stored.
    std::unordered_map<job_id, std::pair<job_outcome, instant>> m_ended;
    std::map<job_id, std::vector<open_call>> m_calls;
    std::set<job_id> m_dirty;
    occurrence_timetable m_timetable;
    std::map<rank, job_ptr> m_ready; ///< Steps with waiting tasks whose turn has come.
    std::set<step_key> m_unsuited;   ///< Waiting steps that were told to suit no worker.
    std::map<queue_id, double> m_approval_rates; ///< Share of the workers named that is approved.
    std::map<worker_id, worker_state> m_workers;
    bool m_workers_dirty = false;
    std::optional<batch> m_batch;
    room_claims m_claims;
    std::uint64_t m_last_approval_call = 0;
    // Of one pass over the waiting steps.
    std::vector<worker_state*> m_by_room; ///< Open workers, most free processor time first.
    resources m_most_free;                ///< Most that any of them has, of each kind.
    std::size_t m_closed = 0;             ///< How many of them are drained for gangs.
    bool m_blind = false;                 ///< Restored jobs may run where nobody has looked yet.
    instant m_last_trim{};
    instant m_last_stuck_check{};
    instant m_last_unsuited_check{};
    instant m_last_lapse_count{};
    leader_counts m_counts;
};

} // namespace dragonflygap::cell
