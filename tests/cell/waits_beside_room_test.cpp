#include "cell/support/stub_cell.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "dragonflygap/cell/task_size.hpp"

#include <CppUTest/TestHarness.h>

using namespace simulated;

namespace
{

/// What a worker makes of start orders. Renewals are answered all the while.
enum class start_fault
{
    none,
    lost,        ///< Not carried out, no answer.
    answer_lost, ///< Carried out, no answer.
    unhealthy,   ///< Refused, as the worker is unhealthy.
    no_room,     ///< Refused, as something unknown occupies the worker.
};

constexpr approval_cost advice{50, 1, 2500};
constexpr resources small{.m_millicores = 500};
constexpr resources large{.m_millicores = 3500};

/// Workers and one leader after another. Looks at what really runs on the workers, not at what the
/// leader knows: for how long a job with a missing task waits beside enough room on workers that
/// would start it, and that no task runs twice and no worker is over its capacity.
///
/// Not counted is the time that the platform's pages impose: an order that got no answer may be
/// carried out until its deadline, and what it started runs until the lease is over that the worker
/// had by then. This is allowed once for each leader and worker, as a further order to a worker
/// whose last one got no answer is the leader's choice.
class watched_cell
{
public:
    watched_cell() { lead({.m_self = {.m_epoch = m_epoch, .m_vm = vm_id("vm")}}); }

    worker_id add_worker(const std::string& label = {})
    {
        m_listed.push_back({.m_id = stub_cell::name(static_cast<int>(m_listed.size())),
                            .m_service = service_id("pool"),
                            .m_address = endpoint{"10.0.0.1", 80},
                            .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000},
                            .m_labels = {label}});
        list();
        return m_listed.back().m_id;
    }
    void add_workers(int count, const std::string& label = {})
    {
        for (int i = 0; i < count; ++i)
            add_worker(label);
    }
    void let_leave(const worker_id& id)
    {
        for (auto& info : m_listed)
            info.m_leaving = info.m_leaving || info.m_id == id;
        list();
    }

    /// Stops get through if only starts are harmed.
    void harm(const worker_id& id, start_fault fault, bool harms_stops = true)
    {
        m_faults[id] = fault;
        m_leader->m_workers[id].m_orders_fail = harms_stops;
    }
    /// Harms the next workers that get an order.
    void harm_next(int workers, start_fault fault)
    {
        m_to_harm = workers;
        m_next_fault = fault;
    }

    void submit(const std::string& id, step_spec step, queue_rules queue = {})
    {
        m_steps[job_id(id)] = step;
        m_leader->submit(id, std::move(step), queue);
    }
    void end(const std::string& id)
    {
        m_steps.erase(job_id(id));
        m_leader->end(id, end_kind::done);
    }

    void run(duration length)
    {
        constexpr duration tick_interval = 10ms;
        for (duration passed{}; passed < length; passed += tick_interval)
        {
            end_lone_members();
            m_leader->run(tick_interval);
            for (auto& [id, step] : m_steps)
                watch(id, step, tick_interval);
            check_limits();
        }
    }

    /// The next leader reads what this one stored, and hears all workers.
    void change_leader()
    {
        recovered_state found{.m_self = {.m_epoch = ++m_epoch,
                                         .m_vm = vm_id("vm-" + std::to_string(m_epoch)),
                                         .m_uses_stored_since = 1},
                              .m_workers_epoch = m_epoch - 1,
                              .m_store_ms = 500000 + to_ms(m_leader->m_now.time_since_epoch()),
                              .m_unix_ms = m_leader->m_unix_ms};
        for (const auto& [name, value] : m_leader->m_rows)
        {
            const stored_row row{name, 1, value};
            if (name.m_table == job_table)
                found.m_jobs.push_back(row);
            else if (name.m_table == progress_table)
                found.m_progress.push_back(row);
            else if (const auto workers = name.m_table == workers_table
                                              ? unpack<workers_record>(value)
                                              : std::nullopt)
            {
                found.m_workers = workers->m_workers;
                found.m_unheard = workers->m_unheard;
            }
        }
        const auto before = std::exchange(m_leader, nullptr);
        lead(std::move(found));
        m_leader->m_unix_ms = before->m_unix_ms;
        // The clocks of the two leaders differ, and so those of the workers in the simulation.
        const auto shift_ms = to_ms(before->m_now - m_leader->m_now);
        for (auto worker : before->m_workers)
        {
            worker.second.m_lease_until_ms -= shift_ms;
            m_leader->m_workers.insert(std::move(worker));
        }
        // Workers obey the former leader no longer. What runs where no stop gets through has a
        // lease.
        m_open_until.clear();
        for (const auto& [id, worker] : m_leader->m_workers)
            if (worker.m_orders_fail)
                for (const auto& [task, run] : worker.m_running)
                    m_open_until[task.m_job] = worker.m_lease_until_ms;
        m_incomplete_since.clear();
        list();
    }

    /// Carries out the last order that got no answer.
    void carry_out_late()
    {
        auto& worker = m_leader->m_workers[m_last_lost.m_worker.m_id];
        const auto& order = m_last_lost.m_order;
        CHECK_COMPARE(clock_ms(), <, order.m_deadline_ms);
        CHECK_TRUE(worker.m_running.empty());
        worker.m_running[order.m_task] = order.m_run;
        worker.m_lease_until_ms = std::max(worker.m_lease_until_ms, order.m_deadline_ms);
    }
    std::int64_t last_lost_deadline_ms() const { return m_last_lost.m_order.m_deadline_ms; }
    std::int64_t clock_ms() const { return to_ms(m_leader->m_now.time_since_epoch()); }

    int running(const std::string& id) const { return running(job_id(id)); }
    int orders() const { return m_orders; }

    /// Fails if a job waits, or has waited for too long.
    void check_waits() const
    {
        constexpr duration bound = 3s; // of the rule LOST
        LONGS_EQUAL(0, m_to_harm);
        for (const auto& [id, step] : m_steps)
            LONGS_EQUAL_TEXT(step.m_count, running(id), id.m_value.c_str());
        for (const auto& [id, wait] : m_longest)
            CHECK_COMPARE_TEXT(to_ms(wait), <=, to_ms(bound), id.m_value.c_str());
    }

    std::function<bool(const worker_id&)> m_approves = [](const worker_id&) { return true; };

private:
    void lead(recovered_state found)
    {
        const bool first = m_epoch == 2;
        m_leader = std::make_unique<stub_cell>(first ? recovered_state{} : std::move(found));
        m_leader->m_leases_lapse = true;
        m_leader->m_approves = [this](const worker_id& id) { return m_approves(id); };
        m_leader->m_intercepts_start = [this](const send_start& order) { return intercept(order); };
    }

    void list() { m_leader->feed(workers_listed{m_listed}); }

    std::optional<outcome<start_result>> intercept(const send_start& action)
    {
        const auto& id = action.m_worker.m_id;
        const auto& order = action.m_order;
        ++m_orders;
        auto& worker = m_leader->m_workers[id];
        if (m_to_harm > 0 && m_faults.count(id) == 0)
        {
            --m_to_harm;
            harm(id, m_next_fault);
        }
        switch (fault_of(id))
        {
        case start_fault::none:
            return std::nullopt;
        case start_fault::unhealthy:
            return start_result{.m_refusal = start_refusal::unhealthy};
        case start_fault::no_room:
            return start_result{.m_refusal = start_refusal::no_room};
        case start_fault::answer_lost:
            worker.m_running[order.m_task] = order.m_run;
            worker.m_lease_until_ms = std::max(worker.m_lease_until_ms, order.m_deadline_ms);
            break;
        case start_fault::lost:
            break;
        }
        m_last_lost = action;
        if (m_unanswered.insert({m_epoch, id}).second)
        {
            auto& until = m_open_until[order.m_task.m_job];
            until = std::max({until, order.m_deadline_ms,
                              fault_of(id) == start_fault::lost ? 0 : worker.m_lease_until_ms});
        }
        return stub_cell::no_answer();
    }

    start_fault fault_of(const worker_id& id) const
    {
        const auto found = m_faults.find(id);
        return found == m_faults.end() ? start_fault::none : found->second;
    }

    int running(const job_id& id) const
    {
        int result = 0;
        for (const auto& [name, worker] : m_leader->m_workers)
            result += static_cast<int>(
                std::count_if(worker.m_running.begin(), worker.m_running.end(),
                              [&id](const auto& run) { return run.first.m_job == id; }));
        return result;
    }

    resources used_on(const worker_id& id) const
    {
        resources used;
        for (const auto& [task, run] : m_leader->m_workers[id].m_running)
            used += size_of(m_steps.at(task.m_job));
        return used;
    }

    /// Number of tasks of the step that workers would start now.
    int room_for(const step_spec& step) const
    {
        int result = 0;
        for (const auto& info : m_listed)
            if (!info.m_leaving && (step.m_label.empty() || info.has_label(step.m_label)) &&
                m_approves(info.m_id) && fault_of(info.m_id) == start_fault::none)
                result += fit_count(size_of(step), info.m_capacity - used_on(info.m_id));
        return result;
    }

    /// Members of a gang wait this long for the others.
    void end_lone_members()
    {
        constexpr duration gang_timeout = 2s;
        for (const auto& [id, step] : m_steps)
        {
            const int members = running(id);
            auto& since = m_incomplete_since[id];
            if (!step.m_gang || members == 0 || members == step.m_count)
                since.reset();
            else if (!since)
                since = m_leader->m_now;
            else if (m_leader->m_now - *since >= gang_timeout)
                m_leader->end(id.m_value, end_kind::alone);
        }
    }

    void watch(const job_id& id, const step_spec& step, duration passed)
    {
        // A run that is given up at once doesn't end the wait.
        constexpr duration lasting = 1s;
        const int missing = step.m_count - running(id);
        auto& complete = m_complete_for[id];
        complete = missing == 0 ? complete + passed : duration{};
        if (complete >= lasting || (missing > 0 && room_for(step) < (step.m_gang ? missing : 1)))
            m_waited[id] = {};
        else if (missing > 0 && m_open_until[id] <= clock_ms())
            m_waited[id] += passed;
        m_longest[id] = std::max(m_longest[id], m_waited[id]);
    }

    void check_limits() const
    {
        std::set<task_key> tasks;
        for (const auto& info : m_listed)
        {
            for (const auto& [task, run] : m_leader->m_workers[info.m_id].m_running)
                CHECK_TEXT(tasks.insert(task).second, "a task runs twice");
            CHECK_TEXT(used_on(info.m_id).fits_in(info.m_capacity), "over the capacity");
        }
    }

    std::uint64_t m_epoch = 2;
    std::unique_ptr<stub_cell> m_leader;
    std::vector<worker_info> m_listed;
    int m_orders = 0; ///< Starts.
    std::map<worker_id, start_fault> m_faults;
    int m_to_harm = 0;
    start_fault m_next_fault = start_fault::none;
    std::map<job_id, step_spec> m_steps; ///< Jobs that are to run, each of one step.
    std::set<std::pair<std::uint64_t, worker_id>> m_unanswered;
    std::map<job_id, std::int64_t> m_open_until; ///< By the workers' clock.
    send_start m_last_lost;
    std::map<job_id, std::optional<instant>> m_incomplete_since;
    std::map<job_id, duration> m_complete_for;
    std::map<job_id, duration> m_waited;
    std::map<job_id, duration> m_longest;
};

/// Long enough for each of a few leases in turn.
constexpr duration long_after = 40s;

/// A gang of four whose six approved workers would hold it if they were empty, but two run other
/// tasks and one is harmed. Workers that it never asked about have room.
struct gang_beside_unasked_workers : watched_cell
{
    explicit gang_beside_unasked_workers(start_fault fault, bool harms_stops)
    {
        add_workers(2, "busy");
        submit("base", {.m_count = 2, .m_size = large, .m_label = "busy"});
        run(100ms);
        m_harmed = add_worker();
        add_workers(3);
        harm(m_harmed, fault, harms_stops);
        submit("gang", {.m_count = 4, .m_size = large, .m_gang = true},
               {.m_priority = 1, .m_approval = advice});
        run(200ms); // The answer to its first call has come.
        add_workers(2);
    }

    worker_id m_harmed;
};

} // namespace

TEST_GROUP(waits_beside_room){};

// Incident LOST: an order without an answer waited for its stop, which couldn't get through, while
// renewals kept the worker healthy.
TEST(waits_beside_room, a_task_starts_elsewhere_if_orders_fail_on_one_worker)
{
    watched_cell cell;
    cell.add_workers(3);
    cell.harm_next(1, start_fault::lost);
    cell.submit("job", {.m_size = small});
    cell.run(long_after);
    cell.check_waits();
}

// The same, on one worker after the other.
TEST(waits_beside_room, a_task_starts_elsewhere_if_orders_fail_on_two_workers)
{
    watched_cell cell;
    cell.add_workers(5);
    cell.harm_next(2, start_fault::lost);
    cell.submit("job", {.m_size = small});
    cell.run(long_after);
    cell.check_waits();
}

TEST(waits_beside_room, a_task_with_approval_starts_elsewhere_if_orders_fail_on_two_workers)
{
    watched_cell cell;
    cell.add_workers(5);
    cell.harm_next(2, start_fault::lost);
    cell.submit("job", {.m_size = small}, {.m_approval = advice});
    cell.run(long_after);
    cell.check_waits();
}

// Another task keeps the lease of the worker alive, so the end of the lease settles nothing.
TEST(waits_beside_room, a_task_starts_elsewhere_if_orders_fail_on_a_worker_that_runs_others)
{
    watched_cell cell;
    const auto harmed = cell.add_worker();
    cell.submit("other", {.m_size = small});
    cell.run(100ms);
    cell.add_workers(2);
    cell.harm(harmed, start_fault::lost);
    cell.submit("job", {.m_size = small});
    cell.run(long_after);
    cell.check_waits();
}

// The task may run where its order got no answer, and no stop reaches it.
TEST(waits_beside_room, a_task_whose_start_is_carried_out_without_an_answer_runs_once)
{
    watched_cell cell;
    cell.add_workers(3);
    cell.harm_next(1, start_fault::answer_lost);
    cell.submit("job", {.m_size = small});
    cell.run(long_after);
    cell.check_waits();
}

// It was stopped, though nothing needs its end: the lease wasn't renewed, so it lapsed after ten
// seconds and was started there again.
TEST(waits_beside_room, a_task_whose_start_is_carried_out_without_an_answer_goes_on)
{
    watched_cell cell;
    cell.add_workers(3);
    cell.harm_next(1, start_fault::answer_lost);
    cell.submit("job", {.m_size = small});
    cell.run(long_after);
    LONGS_EQUAL(1, cell.orders());
}

// The latest moment at which the order can have its effect.
TEST(waits_beside_room, a_task_whose_start_is_carried_out_just_before_its_deadline_runs_once)
{
    watched_cell cell;
    cell.add_workers(3);
    cell.harm_next(1, start_fault::lost);
    cell.submit("job", {.m_size = small});
    cell.run(100ms);
    LONGS_EQUAL(1, cell.orders());
    cell.run(std::chrono::milliseconds(cell.last_lost_deadline_ms() - cell.clock_ms() - 10));
    cell.carry_out_late();
    cell.run(long_after);
    cell.check_waits();
}

// A gang waited for the stop of the one member that couldn't be reached.
TEST(waits_beside_room, a_gang_starts_elsewhere_if_orders_fail_on_one_member_s_worker)
{
    watched_cell cell;
    cell.add_workers(10);
    cell.harm_next(1, start_fault::lost);
    cell.submit("gang", {.m_count = 4, .m_size = large, .m_gang = true});
    cell.run(long_after);
    cell.check_waits();
}

TEST(waits_beside_room, a_gang_starts_elsewhere_if_orders_fail_on_two_members_workers)
{
    watched_cell cell;
    cell.add_workers(10);
    cell.harm_next(2, start_fault::lost);
    cell.submit("gang", {.m_count = 4, .m_size = large, .m_gang = true});
    cell.run(long_after);
    cell.check_waits();
}

// The member really runs there and ends with the lease that it had, at the latest.
TEST(waits_beside_room, a_gang_starts_elsewhere_if_a_member_runs_where_no_stop_gets_through)
{
    watched_cell cell;
    cell.add_workers(10);
    cell.harm_next(1, start_fault::answer_lost);
    cell.submit("gang", {.m_count = 4, .m_size = large, .m_gang = true});
    cell.run(long_after);
    cell.check_waits();
}

// The worker gets stops, so each run that it was asked to start is settled soon, and it is tried
// again after a second.
TEST(waits_beside_room, a_gang_whose_start_on_one_worker_gets_no_answer_each_time_asks_for_others)
{
    gang_beside_unasked_workers cell(start_fault::lost, false);
    cell.run(long_after);
    cell.check_waits();
}

TEST(waits_beside_room, a_gang_that_one_worker_refuses_as_unhealthy_each_time_asks_for_others)
{
    gang_beside_unasked_workers cell(start_fault::unhealthy, false);
    cell.run(long_after);
    cell.check_waits();
}

TEST(waits_beside_room, a_gang_that_one_worker_refuses_for_want_of_room_each_time_asks_for_others)
{
    gang_beside_unasked_workers cell(start_fault::no_room, false);
    cell.run(long_after);
    cell.check_waits();
}

// The worker counts as one that would hold a member, although no order reaches it.
TEST(waits_beside_room, a_gang_with_a_worker_that_no_order_reaches_asks_for_others)
{
    gang_beside_unasked_workers cell(start_fault::lost, true);
    cell.run(long_after);
    cell.check_waits();
}

// The gang holds three free workers and waits for the tasks on the fourth, which leaves. Others
// that are approved are as busy; workers that it never asked about are free.
TEST(waits_beside_room, a_gang_that_drains_a_worker_that_leaves_asks_for_others)
{
    watched_cell cell;
    const auto leaving = cell.add_worker("busy");
    cell.add_workers(2, "busy");
    cell.submit("base", {.m_count = 3, .m_size = large, .m_label = "busy"});
    cell.run(100ms);
    cell.add_workers(3);
    cell.add_workers(6, "other"); // So that the gang may close four workers.
    std::set<worker_id> denied;
    for (int i = 6; i < 12; ++i)
        denied.insert(stub_cell::name(i));
    cell.m_approves = [&denied](const worker_id& id) { return denied.count(id) == 0; };
    cell.submit("gang", {.m_count = 4, .m_size = large, .m_gang = true},
                {.m_priority = 1, .m_approval = advice});
    cell.run(3s);
    LONGS_EQUAL(0, cell.running("gang"));
    cell.let_leave(leaving);
    cell.run(500ms);
    cell.add_workers(2);
    cell.run(long_after);
    LONGS_EQUAL(4, cell.running("gang"));
    cell.check_waits();
}

// A gang may use only labelled workers and closes all of them, for longer than any bound, as tasks
// that last for long occupy a part of each.
TEST(waits_beside_room, a_task_starts_on_a_worker_that_a_gang_drains_while_another_leaves)
{
    watched_cell cell;
    cell.add_workers(4, "special");
    cell.submit("base", {.m_count = 4,
                         .m_size = {.m_millicores = 1500},
                         .m_label = "special",
                         .m_max_per_worker = 1});
    cell.run(100ms);
    cell.add_workers(8);
    cell.submit("gang", {.m_count = 3, .m_size = large, .m_gang = true, .m_label = "special"});
    cell.run(1s);
    cell.let_leave(stub_cell::name(3));
    cell.submit("job", {.m_size = small, .m_label = "special"}, {.m_priority = 1});
    cell.run(long_after);
    cell.end("base");
    cell.run(long_after);
    cell.check_waits();
}

// The next leader knows nothing of the failed orders and tries the same worker.
TEST(waits_beside_room, a_task_that_waits_for_a_stop_starts_soon_after_a_change_of_leader)
{
    watched_cell cell;
    cell.add_workers(3);
    cell.harm_next(1, start_fault::lost);
    cell.submit("job", {.m_size = small});
    cell.run(1s);
    cell.change_leader();
    cell.run(long_after);
    cell.check_waits();
}

TEST(waits_beside_room, a_gang_that_waits_for_a_stop_starts_soon_after_a_change_of_leader)
{
    watched_cell cell;
    cell.add_workers(10);
    cell.harm_next(1, start_fault::lost);
    cell.submit("gang", {.m_count = 4, .m_size = large, .m_gang = true});
    cell.run(1s);
    cell.change_leader();
    cell.run(long_after);
    cell.check_waits();
}

// A member runs that the next leader finds, cannot complete and cannot stop.
TEST(waits_beside_room, a_gang_of_which_the_next_leader_finds_one_member_starts_elsewhere)
{
    watched_cell cell;
    cell.add_workers(10);
    cell.harm_next(1, start_fault::answer_lost);
    cell.submit("gang", {.m_count = 4, .m_size = large, .m_gang = true});
    cell.run(1s);
    cell.change_leader();
    cell.run(long_after);
    cell.check_waits();
}

TEST(waits_beside_room, a_gang_with_a_worker_that_no_order_reaches_asks_for_others_of_a_new_leader)
{
    gang_beside_unasked_workers cell(start_fault::lost, true);
    cell.run(2s);
    cell.change_leader();
    cell.run(long_after);
    cell.check_waits();
}
