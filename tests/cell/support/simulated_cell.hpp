#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cell/support/leader_processor.hpp"
#include "cell/support/simulated_worker.hpp"
#include "dragonflygap/cell/approval_backlog.hpp"
#include "dragonflygap/cell/coordinator.hpp"

namespace simulated
{

using namespace dragonflygap;
using namespace dragonflygap::cell;

/// A kind of job: its queue, the share of the workers that are approved, and its only step.
struct job_kind
{
    queue_rules m_queue;
    double m_approved_share = 1;
    step_spec m_step;
};

inline job_kind kind_of(const std::string& queue, int priority, approval_cost cost, double approved,
                        step_spec step)
{
    return {{.m_name = queue_id(queue),
             .m_service = service_id("pool"),
             .m_priority = priority,
             .m_approval = cost},
            approved,
            std::move(step)};
}

struct cell_options
{
    int m_vms = 35;
    int m_workers = 350;
    resources m_capacity{.m_millicores = 16000, .m_memory_mb = 32768};
    duration m_network_delay = 1500us; ///< One-way delay between any two processes.
    duration m_store_wait = 4ms;       ///< Latency of a transaction.
    /// Of the leader's link; calls wait for it one after another. Zero: unlimited.
    std::int64_t m_link_bytes_per_s = 0;
    /// The leader handles nothing for this time, once in each second.
    duration m_stall{};
    processor_costs m_costs; ///< Of the leader.
    coordinator_options m_leader;
    duration m_approval_lag{}; ///< Additional delay of approvals on their way to the leader.
    /// The leader gives up calls that aren't answered in time, as leader_task does.
    bool m_gives_up_calls = false;
    double (*m_speed)(int worker) = nullptr; ///< Of a worker, by its position; nullptr: 1.
    /// Standard deviation of the log of a step's work, compared with its kind's.
    double m_work_deviation = 0;
    /// Standard deviation of the log of a task's time, compared with its step's.
    double m_task_deviation = 0;
    /// Estimates are off by a share between these, upwards or downwards, differently for each job.
    double m_min_estimate_error = 0;
    double m_max_estimate_error = 0;
    unsigned m_seed = 1;
};

/// What became of the leader's calls for approval.
struct call_counts
{
    int m_sent = 0;
    int m_answered = 0; ///< In time.
    int m_failed = 0;   ///< Not sent to the service in time.
    int m_given_up = 0; ///< By the leader.
    int m_wasted = 0;   ///< Answered by the service, but given up before the leader read it.
    int m_served = 0;   ///< By the service.
    int m_useful = 0;   ///< Of those served: a ticket of the call was used by a start.
    duration m_served_time{};
    duration m_useful_time{}; ///< Of the time of service.
};

/// The work of the jobs that were submitted.
struct submitted_work
{
    std::int64_t m_millicore_ms = 0;
    duration m_longest_job{};
    /// Each step asks once which workers are approved, and once for tickets.
    duration m_service_time{};
};

/// The jobs of one queue that ended, or that are beyond their objective, and were submitted in time.
struct objective_counts
{
    int m_jobs = 0;
    int m_late = 0;

    double late_percent() const
    {
        constexpr double all = 100;
        return m_jobs == 0 ? 0 : all * m_late / m_jobs;
    }
};

/// Runs a coordinator against simulated store, workers, members and approval service on a virtual
/// clock. The leader takes over a backlog of stored jobs; there are no failures.
class simulated_cell
{
public:
    explicit simulated_cell(cell_options options);

    /// Adds jobs of a kind to the backlog; widths and sizes vary around those of the kind.
    void add_backlog(const job_kind& kind, int jobs);

    /// Starts the leader with the backlog added before.
    void take_over();

    /// Submits jobs of a kind to the leader.
    void submit(const job_kind& kind, int jobs);

    void run(duration length);

    /// The worker runs all its tasks at this speed from now on.
    void set_speed(int worker, double speed);

    /// The worker's process ends and starts again under its identifier.
    void restart(int worker);

    /// The leader's process ends. Another one takes over what was stored, and knows nothing else.
    void change_leader();

    /// Of jobs submitted from a time after the start on: whether they were done within the multiple
    /// of their true work and the slack that their queue grants.
    objective_counts objectives(const std::string& queue, duration submitted_after) const;

    /// How often gangs that completed had members whose speeds differ by more than a tenth.
    int unlike_gangs() const { return m_unlike_gangs; }
    int complete_gangs() const { return m_complete_gangs; }
    /// Starts on workers of at least this speed and on slower ones, by queue.
    std::pair<int, int> starts_by_speed(const std::string& queue, double speed) const;
    /// Calls this with each action of the leader.
    std::function<void(const action&)> m_on_action;

    std::size_t live_jobs() const { return m_coordinator->live_jobs(); }

    /// The longest time that a step waited without a run while at least half of the capacity was
    /// free; counted from the time given to measure_waits_after().
    duration max_avoidable_wait() const { return m_max_avoidable_wait; }
    /// The longest time that a step waited without a run while its approved workers had room for it
    /// twice over, whoever the room was kept for.
    duration max_wait_beside_room() const { return m_max_wait_beside_room; }
    const std::string& longest_wait_beside_room() const { return m_longest_wait_beside_room; }
    /// The same, less the longest time for which an event waited in the leader's queue meanwhile.
    duration max_wait_beyond_lateness() const { return m_max_wait_beyond_lateness; }
    /// The longest time for which an event or a tick waited in the leader's queue.
    duration max_lateness() const { return m_max_lateness; }
    void measure_waits_after(duration since_start) { m_measured_from = m_start + since_start; }

    /// Starts without a valid ticket.
    int refused_starts() const { return m_refused_starts; }
    int rejected() const { return m_rejected; }   ///< Jobs that the leader didn't accept.
    int stopped() const { return m_stopped; }     ///< Runs that the leader stopped.
    int timed_out() const { return m_timed_out; } ///< Start orders without an answer in time.
    int overcommitted() const { return m_overcommitted; }
    /// Members of gangs that weren't complete in time.
    int incomplete_gang_members() const { return m_incomplete_gang_members; }
    std::size_t called_vms() const { return m_called_vms.size(); }
    const coordinator& leader() const { return *m_coordinator; }
    const call_counts& calls() const { return m_calls; }
    const submitted_work& work() const { return m_work; }
    /// Time that the service needs for the calls sent through the VM that has the most of them.
    duration max_sent_work() const { return m_max_sent_work; }
    duration sent_work() const; ///< The same of all VMs, now.
    std::size_t unread_events() const { return m_leader_queue.size(); }
    int started() const { return m_started; }
    duration elapsed() const { return m_now - m_start; }

private:
    struct member
    {
        approval_backlog m_backlog{approval_backlog_options{}};
        instant m_service_free{};
        duration m_sent_work{}; ///< Of calls on their way or not answered by the service.
    };
    /// A job as its caller sees it.
    struct caller_view
    {
        instant m_submitted{};
        instant m_done{}; ///< Zero: not yet.
        duration m_objective{};
    };
    struct issued_ticket
    {
        instant m_expires_at{};
        std::uint64_t m_call = 0;
    };
    struct wait_beside_room
    {
        instant m_since{};
        duration m_lateness{}; ///< Of the leader, the longest since then.
    };
    /// Members of one run of a gang.
    struct gang_run
    {
        std::vector<std::pair<worker_id, task_key>> m_started_members;
        bool m_complete = false;
        int m_changes = 0; ///< Of its speed.
    };

    job_request request_of(const job_kind& kind);
    double draw_unit();
    double draw_normal();
    void distort_estimate(step_spec& step);
    void watch_objective(const job_id& id, const job_kind& kind, const step_spec& step);
    std::function<void(event)> to_leader();
    void store(const transaction& change);
    void schedule_end(const worker_id& id, const task_key& task);
    void schedule_gang_end(const std::pair<step_key, std::uint64_t>& key);
    void set_gang_speed(const std::pair<step_key, std::uint64_t>& key);
    void count_gang(const std::pair<step_key, std::uint64_t>& key);
    void schedule(instant when, std::function<void()> callback);
    /// When a call of the leader has left its link.
    instant leave_link(std::int64_t bytes);
    bool stalled() const;
    void feed(const event& incoming);
    void work_on_queue();
    void handle(const event& incoming);
    bool is_given_up(const event& incoming);
    void count_service(const approval_call& call);
    void act(const answer_call& action);
    void act(const send_commit& action);
    void act(const read_leader_row& action);
    void act(const send_renewal& action);
    void act(const send_start& action);
    void act(const send_stop& action);
    void act(const request_approval& action);
    void act(const step_down& action);
    void call_service(const vm_id& vm);
    void answer_approval(const vm_id& vm, const approval_backlog::entry& entry,
                         outcome<approval> result, std::optional<duration> waited);
    approval decide(const approval_call& call, instant answered);
    bool approved(const step_key& step, const worker_id& worker) const;
    start_result start(const worker_id& id, const start_order& order);
    void begin(const worker_id& id, const start_order& order, const step_spec& spec);
    void end(const worker_id& id, const task_key& task, std::uint64_t run, end_kind kind);
    void break_gang(const step_key& step, std::uint64_t run, end_kind kind);
    void answer_renewal(const worker_id& id);
    void measure();
    void measure_room(const job_id& job, const std::vector<resources>& free, duration lateness);
    void stop_waiting(const job_id& job);
    const std::vector<std::size_t>& approved_workers(const job_id& job);

    cell_options m_options;
    const instant m_start{10s};
    instant m_now = m_start;
    std::multimap<instant, std::function<void()>> m_due;
    std::unique_ptr<coordinator> m_coordinator;
    recovered_state m_backlog;
    std::map<job_id, job_kind> m_kinds;
    std::map<job_id, step_spec> m_specs;
    std::map<vm_id, member> m_members;
    std::map<worker_id, simulated_worker> m_workers;
    std::map<std::pair<step_key, worker_id>, issued_ticket> m_tickets;
    std::map<std::uint64_t, duration> m_unused_calls; ///< Answered calls without a start, and cost.
    std::set<std::uint64_t> m_pending_calls;          ///< As the leader sees it.
    call_counts m_calls;
    submitted_work m_work;
    duration m_max_sent_work{};
    leader_queue m_leader_queue;
    instant m_busy_until{}; ///< The leader.
    int m_started = 0;
    std::map<std::pair<step_key, std::uint64_t>, gang_run> m_gangs;
    std::map<job_id, instant> m_waits_since;
    std::map<job_id, wait_beside_room> m_beside_room;              ///< Of waiting jobs.
    std::map<job_id, std::vector<std::size_t>> m_approved_workers; ///< As positions in m_workers.
    std::map<std::uint64_t, job_id> m_submitted;                   ///< Unanswered, by call.
    duration m_max_wait_beyond_lateness{};
    duration m_max_lateness{};
    duration m_max_wait_beside_room{};
    std::string m_longest_wait_beside_room; ///< The job that waited so long.
    std::set<vm_id> m_called_vms;
    std::map<job_id, caller_view> m_callers;
    std::map<row_name, stored_row> m_rows;
    std::map<std::string, std::map<double, int>> m_starts_by_speed; ///< By queue and speed.
    int m_leaders = 0; ///< So far; answers to a former one are lost.
    int m_unlike_gangs = 0;
    int m_complete_gangs = 0;
    std::uint64_t m_version = 1;
    std::uint64_t m_random;
    std::uint64_t m_random_times = 1; ///< Of the times of tasks and their estimates.
    std::uint64_t m_last_call = 0;
    std::size_t m_jobs = 0;
    instant m_measured_from = m_start;
    duration m_max_avoidable_wait{};
    instant m_link_free = m_start;
    std::vector<event> m_held_events; ///< Arrived while the leader stalled.
    int m_rejected = 0;
    int m_stopped = 0;
    int m_timed_out = 0;
    int m_refused_starts = 0;
    int m_overcommitted = 0;
    int m_incomplete_gang_members = 0;
};

} // namespace simulated
