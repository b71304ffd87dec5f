#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflygap/cell/approval_balancer.hpp"
#include "dragonflygap/cell/approval_counts.hpp"
#include "dragonflygap/cell/approvals.hpp"
#include "dragonflygap/cell/call_window.hpp"
#include "dragonflygap/cell/commit_chain.hpp"
#include "dragonflygap/cell/customer_gate.hpp"
#include "dragonflygap/cell/customer_usage.hpp"
#include "dragonflygap/cell/election.hpp"
#include "dragonflygap/cell/ended_jobs.hpp"
#include "dragonflygap/cell/events.hpp"
#include "dragonflygap/cell/job_state.hpp"
#include "dragonflygap/cell/occurrence_timetable.hpp"
#include "dragonflygap/cell/ready_queue.hpp"
#include "dragonflygap/cell/response_time.hpp"
#include "dragonflygap/cell/stall_timeout.hpp"
#include "dragonflygap/cell/task_plan.hpp"
#include "dragonflygap/cell/wait_report.hpp"
#include "dragonflygap/cell/worker_index.hpp"
#include "dragonflygap/cell/worker_state.hpp"

namespace dragonflygap::cell
{

struct coordinator_options
{
    worker_options m_workers;
    stall_options m_stalls;
    commit_chain_options m_commits;
    approval_balancer_options m_approvals;
    response_time_options m_orders;
    /// Of the time that an approval takes beyond what its call costs.
    response_time_options m_approval_delay{
        .m_initial_timeout = 1200ms, .m_min_timeout = 1200ms, .m_max_timeout = 5s};
    call_window_options m_order_window;
    call_window_options m_approval_window{.m_slow_answer = 250ms, .m_max_path_delay = 1250ms};
    std::size_t m_max_entries = 96; ///< Per transaction; the platform accepts 100.
    /// Of a transaction as it is sent; the platform accepts 1 MB.
    std::size_t m_max_bytes = 900000;
    duration m_store_timeout = 700ms; ///< Without the store for longer, submissions are rejected.
    /// If no VM was answered for longer, the store is down and accepts no notice of a worker. Each
    /// VM's read of the configuration is answered within a second.
    duration m_store_down_timeout = 1500ms;
    /// For jobs rejected without the store; outages last seconds.
    std::int64_t m_store_retry_after_ms = 1000;
    /// For jobs rejected by a full queue; the length of a load peak.
    std::int64_t m_full_retry_after_ms = 2000;
    duration m_call_timeout = 1s; ///< A call whose write takes longer is answered as unknown.
    /// Without the store for longer, no task is started and no lease renewed.
    duration m_renewal_store_timeout = 6s;
    /// After a longer one a successor may lead, as nobody has written the leader's row meanwhile.
    duration m_max_pause = election_options{}.m_row_timeout;
    duration m_ended_retention = 150s; ///< How long the outcome of an ended job is kept.
    /// A leaving worker runs its tasks for as long at least after it said so.
    duration m_min_notice = 2s;
    duration m_unlisted_retention = 30s;      ///< A worker that is unlisted for longer is removed.
    std::size_t m_max_ready_steps = 3000;     ///< With more, new jobs are rejected.
    std::int64_t m_memory_mb = 256;           ///< Of this process; a part of it is for jobs.
    std::uint64_t m_runs_per_epoch = 1000000; ///< Run numbers of a task that belong to one epoch.
};

/// The state that a new leader read from the store.
struct recovered_state
{
    leader_record m_self;        ///< As written at the takeover.
    std::uint64_t m_version = 0; ///< Version of the leader's row.
    std::vector<stored_row> m_jobs;
    std::vector<stored_row> m_progress;
    std::vector<std::pair<worker_id, std::string>> m_workers;
    std::uint64_t m_workers_epoch = 0; ///< Of the leader that stored the workers.
    std::size_t m_worker_rows = 0;     ///< That hold them.
    std::vector<unheard_workers> m_unheard;
    std::vector<life_record> m_lives; ///< Of the workers.
    std::int64_t m_store_ms = 0;      ///< The store's clock after the takeover; 0: unknown.
    bool m_predecessor_gone = false;  ///< The previous leader's process is known to have ended.
    /// Time of the takeover; 0: the age of jobs is unknown and counts as 0.
    std::int64_t m_unix_ms = 0;
    /// When the transaction of the takeover was sent; zero: when the coordinator was created.
    instant m_elected_at{};
};

/// The leader of a cell: runs jobs on the cell's workers from submission to end. Stores every
/// change of a job before it is visible outside. Does no I/O and reads no clock.
class coordinator
{
public:
    coordinator(coordinator_options options, recovered_state found, instant now);
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    /// Handles an event; unix_ms is the wall clock, used for scheduled occurrences.
    std::vector<action> handle(const event& incoming, instant now, std::int64_t unix_ms);

    /// queued, running, completed, failed or cancelled; empty if the job is unknown or another
    /// customer's.
    std::string_view state_of(const job_id& job, const customer_id& caller = {}) const;

    /// Number of accepted jobs of a queue that haven't started any task.
    std::int64_t waiting(const queue_id& queue) const;

    const leader_record& record() const { return m_chain.record(); }
    instant last_commit_at() const { return m_chain.last_success_at(); }
    /// When this VM last went on after a pause; zero: never.
    instant resumed_at() const { return m_resumed_at; }
    std::size_t live_jobs() const { return m_jobs.size(); }
    std::size_t ready_steps() const { return m_ready.size(); }
    const memory_budget& memory() const { return *m_memory; }
    const std::map<worker_id, worker_state>& workers() const { return m_workers; }
    const job_state* find_job(const job_id& job) const;
    void for_each_job(const std::function<void(const job_state&)>& visit) const;

    /// Explains why steps wait: up to max_by_rank steps in order of rank, then, of the others, up
    /// to max_by_age steps that have been due the longest. Visits every step of the cell, so call
    /// it about once a second.
    wait_report report_waits(std::size_t max_by_rank, std::size_t max_by_age) const;
    const leader_counts& counts() const { return m_counts; }
    const customer_usage& customers() const { return m_usage; }
    /// Approval calls whose end isn't counted yet.
    std::size_t open_approvals() const { return m_open_approvals.size(); }
    /// True if the window counts each open call that wasn't given up, and no other.
    bool window_adds_up() const;

private:
    using actions = std::vector<action>;
    using job_ptr = std::shared_ptr<job_state>;

    struct open_call
    {
        std::uint64_t m_call = 0;
        instant m_since{};
        bool m_cancels = false;
    };
    /// Ends that one life of a worker reported; their numbers begin anew when it restarts.
    struct reported_ends
    {
        std::uint64_t m_started_at = 0;
        std::uint64_t m_highest = 0;
    };
    /// The changes of one transaction.
    struct batch
    {
        std::vector<job_id> m_jobs;
        std::vector<job_id> m_forgotten;
        /// May be acknowledged once the transaction is stored.
        std::map<worker_id, reported_ends> m_ends;
        bool m_workers = false;
        std::vector<worker_id> m_used; ///< May be used once the transaction is stored.
    };
    /// An approval call whose end isn't counted yet.
    struct open_approval
    {
        vm_id m_via;
        step_key m_step;
        instant m_sent_at{};
        duration m_cost{};     ///< Processing time of the service.
        duration m_expected{}; ///< Until the answer.
        bool m_given_up = false;
    };
    /// An approval call that is being assembled.
    struct approval_draft
    {
        std::vector<worker_number> m_workers;
        std::size_t m_max_workers = 0;
        room_claim m_claim;
        approval_pause m_pause = approval_pause::no_candidates; ///< If it names no worker.
    };
    /// A run that has stood still for too long.
    struct stalled_run
    {
        duration m_still{};          ///< For how long.
        duration m_timeout{};        ///< How long it was allowed to.
        duration m_unsaved{};        ///< Work that its stop loses.
        int m_earlier_stops = 0;     ///< Of earlier runs of the task.
        bool m_worker_still = false; ///< The worker's other runs stood still as long.
    };
    /// Workers that a step hasn't asked about.
    struct unknown_workers
    {
        std::vector<worker_number> m_named;
        std::vector<task_places> m_tentative; ///< Expected places on those with room.
        double m_expected_tasks = 0;          ///< That fit on approved and named workers.
    };
    enum class ticket_need
    {
        valid, ///< Workers with a valid ticket.
        known, ///< Workers known to be approved; a ticket can be requested.
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
    void on(const store_heard& event);
    void on(const config_changed& event);
    void on(const tick& event);
    void check_leases(std::span<const worker_number> workers);

    // coordinator.cpp: jobs and calls
    void restore_jobs(recovered_state& found);
    void restore_progress(recovered_state& found);
    void answer_calls(job_state& job, call_status status);
    bool reject_foreign(const job_submitted& event, const customer_id& owner);
    void end_job(job_state& job, job_outcome outcome);
    void update_ready_steps(job_state& job);
    void update_ready_steps(job_state& job, int occurrence);
    void apply_due_occurrences();
    bool may_open(const job_state& job, int occurrence) const;
    void rank_late_jobs();
    job_state* find(const job_id& job);
    /// nullptr if there is no such step, or its occurrence was closed.
    step_state* find_step(const step_key& step);
    static step_rank rank_of(const job_state& job, const step_key& step);

    // coordinator_commits.cpp: transactions and their results
    void build_commit();
    void add_jobs(transaction& change, batch& contents);
    bool add_job(job_state& job, transaction& change, batch& contents);
    transaction changes_of(job_state& job);
    void add_progress(job_state& job, transaction& change);
    static void delete_progress(const job_state& job, std::size_t first, transaction& change);
    void take_apart();
    void give_way(const job_id& job);
    void apply_commit_status(commit_chain::status status);
    void committed();
    void drop_duplicates(const transaction_result& result);
    void requeue();
    void reject_unstored();
    bool in_flight(const job_id& job) const;
    void expire_calls();

    // coordinator_leadership.cpp: whether this VM still leads, and whether the store answers
    bool store_unavailable() const;
    bool store_down() const;
    duration store_age() const; ///< Time since the store last answered, or since the takeover.
    bool leadership_confirmed() const;
    bool awaits_confirmation() const;
    instant confirmed_at() const; ///< No other VM led at this time.
    void check_pause(instant now, std::int64_t unix_ms);

    // coordinator_workers.cpp: leases, reports and lost workers; coordinator_worker_list.cpp: the
    // list of workers
    void renew(worker_state& worker);
    worker_state* find_worker(const worker_id& worker);
    worker_state& add_worker(const worker_id& worker);
    std::map<worker_id, worker_state>::iterator
    remove_worker(std::map<worker_id, worker_state>::iterator worker);
    void list_worker(const worker_info& info);
    void unlist_worker(worker_state& worker);
    void remove_expired_workers();
    duration max_start_delay() const;
    bool list_outdated() const;
    void check_list_age();
    std::vector<worker_number> workers_to_check();
    instant lease_end() const;
    void apply_report(worker_state& worker, const worker_report& report, instant sent);
    bool renewal_needed(const worker_state& worker) const;
    void adopt(worker_state& worker, const running_task& running);
    void apply_end(worker_state& worker, const ended_task& end);
    void count_failure(job_state& job, const task_key& key, std::uint64_t run);
    /// The only way to remove a run from a worker, so that no task names a run that isn't held.
    /// True if the task named the run; the task is waiting now.
    bool release(worker_state& worker, const task_key& key, std::uint64_t run);
    static bool holds_earlier_run(const worker_state& worker, const job_state& job,
                                  const step_key& key);
    void end_missing_runs(worker_state& worker, const worker_report& report, instant sent);
    void handle_worker_loss(worker_state& worker, std::string_view cause);

    // coordinator_lives.cpp: workers that restart under their identifiers
    void begin_life(worker_state& worker, std::uint64_t started_at, std::string_view cause);
    void end_listed_runs(worker_state& worker);
    void stop_unclear_orders(worker_state& worker);
    void extend_leases(worker_state& worker);
    void check_clock(worker_state& worker, std::int64_t clock_ms, instant sent);
    void check_listed_life(worker_state& worker, const worker_info& info);
    void restore_lives(const recovered_state& found, std::span<worker_state* const> workers);
    life_record life_of(const worker_state& worker) const;

    // coordinator_ends.cpp: ends and stops
    void send_stops(worker_state& worker);
    void log_failed_stop(const stop_answered& event, placement& placed);
    void stop_gang(job_state& job, const step_key& step, std::uint64_t run);
    void stop_task(job_state& job, const task_key& key);
    void stop_all_tasks(job_state& job);
    bool workers_unsynced();

    // coordinator_stalls.cpp: tasks that stand still
    void record_progress(worker_state& worker, placement& placed, const running_task& running);
    void record_own_end(worker_state& worker, const ended_task& end);
    static void mark_advanced(worker_state& worker, instant now);
    void stop_stalled_tasks();
    std::optional<stalled_run> find_stall(const worker_state& worker, const task_key& key,
                                          const placement& placed);
    static duration worker_still_time(const worker_state& worker, const placement& placed);
    void stop_stalled(worker_state& worker, const task_key& key, placement& placed,
                      const stalled_run& stalled);
    void suspect(worker_state& worker, const placement& stalled);
    void suspect_members(const job_state& job, const step_key& step, std::uint64_t run,
                         duration timeout);
    bool is_suspected(const worker_state& worker) const { return m_now < worker.m_suspected_until; }
    bool passes_over_suspected(const job_state& job, const step_key& key) const;

    // coordinator_worker_use.cpp: what successors need to know about silent workers
    void restore_workers(const recovered_state& found);
    void restore_uses(const recovered_state& found, std::span<worker_state* const> workers);
    void begin_use(worker_state& worker);
    bool is_silent(const worker_state& worker) const;
    void give_up_if_silent(worker_state& worker);
    void set_earlier_leases(worker_state& worker, instant until, std::int64_t until_ms);
    void record_report(worker_state& worker);
    bool may_use(const worker_state& worker) const;
    void store_workers(transaction& change, batch& contents);
    void allow_used_workers(const batch& contents);

    // coordinator_placing.cpp, coordinator_gangs.cpp: placement; coordinator_orders.cpp: start
    // orders; coordinator_approvals.cpp: approval calls
    void place_ready_steps();
    void place_step(std::size_t position);
    bool should_try_placing(ready_step& ready) const;
    bool may_continue(const ready_step& ready, instant wake_at);
    bool fits_on_grown_worker(const ready_step& ready) const;
    instant next_visit(const ready_step& ready) const;
    void place_tasks(job_state& job, const step_key& key, const step_approval* approved);
    void request_capacity(ready_step& ready, std::size_t position);
    void report_unsuited();
    void report_unsuited(const job_state& job, const step_key& key);
    void record_order_time(const start_answered& event);
    void log_started(const job_state& job, const step_key& key, int count) const;
    std::vector<task_places> find_places(const job_state& job, const step_key& key,
                                         ticket_need need, plan_order order);
    std::vector<task_places> places_on(const std::vector<worker_state*>& eligible,
                                       const job_state& job, const step_key& key, plan_order order,
                                       bool avoid_claims) const;
    void begin_pass();
    bool accepts_tasks(const worker_state& worker) const;
    static bool suits(const worker_state& worker, const job_state& job, const step_spec& spec);
    bool is_eligible(const worker_state& worker, const job_state& job, const step_key& key) const;
    std::vector<worker_state*> eligible_workers(const job_state& job, const step_key& key,
                                                ticket_need need);
    void start(job_state& job, const task_key& task, worker_state& worker, std::uint64_t run,
               const step_approval* approved);
    void drain_for_gang(job_state& job, const step_key& key);
    void close_drained(const step_state& step);
    std::size_t max_closed_workers() const;
    std::vector<worker_number> choose_drained(const job_state& job, const step_key& key);
    void set_drained(step_state& step, std::vector<worker_number> drained);
    double approval_rate(const queue_id& queue) const;
    void update_approval_rate(const queue_id& queue, const step_approval& before,
                              const approval_answered& event);
    bool vm_is_free(duration call_time);
    std::size_t max_calls(const step_spec& spec, duration call_time) const;
    bool request_step_approval(ready_step& ready);
    bool send_approval_call(ready_step& ready, std::span<const worker_number> workers);
    approval_draft choose_workers(const job_state& job, const step_key& key, duration until_answer,
                                  std::size_t max_workers);
    void choose_approved(const job_state& job, const step_key& key, duration until_answer,
                         approval_draft& draft);
    void free_place(const approval_answered& event, const std::optional<open_approval>& call);
    std::optional<open_approval> find_open_approval(std::uint64_t call) const;
    void choose_unknown(const job_state& job, const step_key& key, approval_draft& draft);
    unknown_workers name_unknown(const job_state& job, const step_key& key,
                                 const approval_draft& draft, bool count_full) const;
    static const step_approval* approval_of(const job_state& job, const step_key& key);
    static int max_tasks_on(const worker_state& worker, const step_spec& spec, const step_key& key);

    // coordinator_customers.cpp: the limits of customers
    std::optional<std::int64_t> refused_for_customer(const job_submitted& event) const;
    customer_start start_of(const job_state& job, const step_key& key) const;
    int startable(const job_state& job, const step_key& key) const;
    int claimed_tasks(const job_state& job, const step_key& key, const room_claim& claim) const;
    bool overtakes(const job_state& job, const step_key& key) const;
    bool orders_are_clear(customer_index customer) const;
    bool is_held_back(std::size_t position);
    void hold_back(std::size_t position, instant since);
    void close_gate(const ready_step& ready);
    void give_up_room(ready_step& ready);
    void count_unknown_use();
    bool may_run_unknown_tasks(const worker_state& worker) const;
    std::vector<resources> restored_sizes() const;
    void remember_unreported(const job_state& job);

    // coordinator_waits.cpp: reports about waiting steps
    void
    for_each_due_step(const std::function<void(const job_state&, const step_key&)>& visit) const;
    void count_lapsed_tickets();

    // coordinator_calls.cpp: what becomes of approval calls and tickets; changes no decision
    void record_answer(const approval_answered& event);
    std::string_view count_end(const approval_answered& event, const step_state* step);
    void count_tickets(const approval_answered& event);
    bool is_gone(const approval_answered& event) const;
    static bool is_awaited(const approval_answered& event, const step_state& step);
    void end_silent_calls();

    coordinator_options m_options;
    commit_chain m_chain;
    approval_balancer m_approval_balancer;
    std::shared_ptr<memory_budget> m_memory; ///< Of all jobs.
    instant m_now;
    std::int64_t m_unix_ms = 0;
    instant m_taken_over_at;
    instant m_elected_at;                 ///< When the transaction of the takeover was sent.
    instant m_resumed_at{};               ///< After the last pause of this VM.
    instant m_predecessor_leases_until{}; ///< Until then unsynced workers may run tasks of an
                                          ///< earlier leader, if it used them.
    std::int64_t m_predecessor_leases_until_ms = 0; ///< The same by the store's clock.
    bool m_store_clock_known = false;
    std::int64_t m_store_clock_ms = 0; ///< As last read, in a transaction sent at
    instant m_store_clock_at{};        ///< this time.
    bool m_uses_stored = false; ///< The predecessors stored every worker before they used it.
    actions* m_actions = nullptr;
    bool m_deposed = false;

    std::unordered_map<job_id, job_ptr> m_jobs; ///< Not ended, or ended but not stored yet.
    ended_jobs m_ended;
    std::map<job_id, std::vector<open_call>> m_calls;
    std::set<job_id> m_dirty;
    occurrence_timetable m_timetable;
    ready_queue m_ready;           ///< Due steps with waiting tasks.
    std::set<step_key> m_unsuited; ///< Waiting steps already logged as unsuited.
    /// Estimated share of a queue's workers that the policy approves.
    std::map<queue_id, double> m_approval_rates;
    std::map<worker_id, worker_state> m_workers;
    worker_index m_index;
    customer_usage m_usage;
    customer_gate m_gate;
    /// Tasks of restored jobs that ended while no worker had reported them.
    std::map<customer_index, resources> m_restored_ended;
    std::map<customer_id, customer_rules> m_customers; ///< In force; empty: none, or unknown yet.
    instant m_store_heard_at{};                        ///< When the store last answered any VM.
    instant m_list_confirmed_at{}; ///< All changes of the list of workers until then are known.
    bool m_list_outdated = false;
    worker_number m_next_checked = 0; ///< Where the next tick goes on looking at all workers.
    bool m_workers_dirty = false;
    std::optional<batch> m_batch;
    static constexpr std::size_t all_jobs = std::numeric_limits<std::size_t>::max();
    std::size_t m_max_jobs = all_jobs; ///< In a transaction.
    std::set<job_id> m_refused;        ///< By the store, so they are sent alone.
    std::size_t m_worker_rows = 0;     ///< That the store may have.
    instant m_workers_not_before{};    ///< Backoff after the store refused these rows.
    room_claims m_claims{m_index, &m_usage};
    std::uint64_t m_last_approval_call = 0;
    std::map<std::uint64_t, open_approval> m_open_approvals; ///< By number, thus by age.
    response_time m_order_time;
    response_time m_approval_delay;
    call_window m_order_window;
    call_window m_approval_window;
    // State of one placement pass.
    resources m_max_free;                ///< The maximum of any open worker, for each resource.
    std::vector<worker_number> m_closed; ///< Workers closed for gangs.
    std::size_t m_held_in_pass = 0;      ///< Steps so far that limits of customers hold back.
    bool m_workers_usable = false;       ///< As of the last tick, this leader may start tasks.
    /// Whether one of a number of VMs can serve an approval call; as far as looked up.
    std::map<std::size_t, bool> m_free_vms;
    /// Restored jobs may run on workers that haven't reported yet.
    bool m_workers_unsynced = false;
    instant m_earlier_leases_until{}; ///< Until then workers may count as unsynced.
    bool m_ends_outstanding = false;  ///< Some worker may have more ends than its first reports.
    instant m_last_trim{};
    instant m_last_stall_check{};
    instant m_suspected_until{}; ///< No worker is suspected later.
    instant m_last_unsuited_check{};
    instant m_last_lapse_count{};
    instant m_last_expiry_check{};
    instant m_last_lateness_check{};
    instant m_last_restored_count{};
    leader_counts m_counts;
};

} // namespace dragonflygap::cell
