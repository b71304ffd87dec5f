#include "dragonflygap/cell/waiting_cause.hpp"

#include "dragonflygap/cell/worker_index.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::cell;

namespace
{

const instant now(100s);
constexpr int members = 4;
constexpr std::int64_t task_millicores = 1000;
constexpr std::int64_t worker_millicores = 2000; // Fits two tasks.

/// A stored gang of four tasks whose queue needs approvals, and three empty workers.
class waiting_gang
{
public:
    waiting_gang() : waiting_gang(make_record()) {}

    explicit waiting_gang(job_record record) : m_job(job_id("job"), std::move(record))
    {
        m_job.m_stored = true;
        m_job.m_since = now - 5s;
        for (const auto* name : {"a", "b", "c"})
        {
            auto& worker = m_workers[worker_id(name)];
            worker.m_info = {.m_id = worker_id(name),
                             .m_service = service_id("pool"),
                             .m_capacity = {worker_millicores, 0, 0}};
            worker.m_pass.m_open = true;
            m_index.add(worker);
        }
    }

    static job_record make_record()
    {
        job_record record;
        record.m_queue = {.m_service = service_id("pool"), .m_approval = {.m_valid_ms = 2500}};
        record.m_request.m_steps.push_back(
            {.m_count = members, .m_size = {task_millicores, 0, 0}, .m_gang = true});
        return record;
    }

    step_state& step() { return m_job.step(0, 0); }

    void approve(const char* name, instant until)
    {
        step().m_approval.approve(number(name));
        step().m_approval.m_tickets[number(name)] = {"ticket", until};
    }

    void deny(const char* name) { step().m_approval.deny(number(name)); }

    worker_number number(const char* name) const { return m_workers.at(worker_id(name)).m_number; }

    /// Places a member as the leader does; returns its placement.
    placement& place(int index, const char* name)
    {
        const task_key task{m_job.id(), 0, 0, index};
        m_job.set_placed(task, worker_id(name), 1);
        auto& worker = m_workers[worker_id(name)];
        worker.add(
            task,
            {.m_run = 1, .m_size = {task_millicores, 0, 0}, .m_phase = placement_phase::running});
        return worker.m_placements.at(task);
    }

    /// Fills a worker with a task of another job.
    void fill(const char* name)
    {
        m_workers[worker_id(name)].add({job_id("other"), 0, 0, 0},
                                       {.m_run = 1, .m_size = {worker_millicores, 0, 0}});
    }

    step_wait explain() const { return explain_wait(m_job, {m_job.id(), 0, 0}, m_workers, m_at); }
    std::string cause() const { return std::string(name_of(explain().m_cause)); }

    job_state m_job;
    std::map<worker_id, worker_state> m_workers;
    worker_index m_index;
    wait_circumstances m_at{.m_now = now};
};

} // namespace

TEST_GROUP(waiting_cause){};

TEST(waiting_cause, causes_of_a_gang_from_its_first_approval_call_to_placement)
{
    waiting_gang gang;
    STRCMP_EQUAL("approval_not_asked", gang.cause().c_str());
    gang.step().m_approval.m_calls = {1};
    STRCMP_EQUAL("approval_asked", gang.cause().c_str());
    gang.step().m_approval.m_calls.clear();
    gang.deny("b");
    gang.deny("c");
    gang.approve("a", now + 1s);
    STRCMP_EQUAL("too_few_approved", gang.cause().c_str());
    gang.approve("b", now + 1s);
    gang.fill("a");
    STRCMP_EQUAL("no_room", gang.cause().c_str());
}

TEST(waiting_cause, missing_capacity_and_missing_tickets_are_distinguished)
{
    waiting_gang gang;
    gang.approve("a", now + 1s);
    gang.approve("b", now);
    STRCMP_EQUAL("tickets_lapsed", gang.cause().c_str());
    gang.fill("b");
    STRCMP_EQUAL("no_room", gang.cause().c_str());
    gang.m_workers[worker_id("b")].remove_all();
    gang.approve("b", now + 1s);
    gang.m_workers[worker_id("a")].m_claimed = {worker_millicores, 0, 0};
    STRCMP_EQUAL("room_held", gang.cause().c_str());
    gang.m_workers[worker_id("a")].m_pass = {.m_open = true, .m_closed = true};
    STRCMP_EQUAL("room_held", gang.cause().c_str());
    gang.m_workers[worker_id("a")].m_pass.m_open = false;
    STRCMP_EQUAL("no_room", gang.cause().c_str());
}

TEST(waiting_cause, reports_free_capacity_and_tickets)
{
    waiting_gang gang;
    gang.approve("a", now + 1s);
    gang.approve("b", now);
    gang.deny("c");
    gang.step().m_approval.m_calls = {1};
    gang.step().m_ready_since = now - 2s;
    const auto wait = gang.explain();
    LONGS_EQUAL(members, wait.m_count);
    LONGS_EQUAL(members, wait.m_waiting);
    LONGS_EQUAL(2, wait.m_approved);
    LONGS_EQUAL(1, wait.m_denied);
    LONGS_EQUAL(1, wait.m_tickets);
    LONGS_EQUAL(1, wait.m_calls);
    LONGS_EQUAL(2, wait.m_room_ticketed);
    LONGS_EQUAL(4, wait.m_room_approved);
    LONGS_EQUAL(6, wait.m_room_anywhere);
    LONGS_EQUAL(2000, to_ms(wait.m_age));
}

TEST(waiting_cause, reports_what_a_step_holds_and_why_it_does_not_ask)
{
    waiting_gang gang;
    gang.step().m_approval_pause = approval_pause::drains_workers;
    gang.step().m_drained = {gang.number("a"), gang.number("c")};
    gang.step().m_next_attempt_at = now + 70ms;
    const auto wait = gang.explain();
    STRCMP_EQUAL("drains_workers", std::string(name_of(wait.m_pause)).c_str());
    LONGS_EQUAL(2, wait.m_drained);
    LONGS_EQUAL(70, to_ms(wait.m_retry_in));
    gang.step().m_next_attempt_at = now - 1ms;
    LONGS_EQUAL(0, to_ms(gang.explain().m_retry_in));
}

TEST(waiting_cause, causes_that_prevent_placement_precede_missing_capacity)
{
    waiting_gang gang;
    gang.step().m_not_before = now + 1ms;
    STRCMP_EQUAL("backoff", gang.cause().c_str());
    gang.m_job.m_restored = true;
    gang.m_at.m_workers_unsynced = true;
    STRCMP_EQUAL("workers_unsynced", gang.cause().c_str());
    gang.m_job.m_stored = false;
    STRCMP_EQUAL("not_stored", gang.cause().c_str());
    gang.m_at.m_queued = false;
    STRCMP_EQUAL("not_queued", gang.cause().c_str());
    gang.m_job.m_outcome = job_outcome::cancelled;
    STRCMP_EQUAL("none", gang.cause().c_str());
}

// A gang is placed only as a whole, so the state of its remaining members is the cause.
TEST(waiting_cause, reports_the_state_of_an_earlier_run)
{
    waiting_gang gang;
    auto& first = gang.place(0, "a");
    auto& second = gang.place(1, "a");
    STRCMP_EQUAL("earlier_run_running", gang.cause().c_str());
    auto& worker = gang.m_workers[worker_id("a")];
    worker.request_stop(first, now);
    STRCMP_EQUAL("earlier_run_running", gang.cause().c_str());
    worker.request_stop(second, now);
    STRCMP_EQUAL("earlier_run_stopping", gang.cause().c_str());
    worker.remove_all();
    STRCMP_EQUAL("run_missing", gang.cause().c_str());
}

TEST(waiting_cause, a_gang_with_finished_members_cannot_be_placed_again)
{
    waiting_gang gang;
    gang.m_job.set_done({gang.m_job.id(), 0, 0, 0});
    STRCMP_EQUAL("members_done", gang.cause().c_str());
}

// Such a step isn't in the set of ready steps.
TEST(waiting_cause, a_step_whose_tasks_are_all_placed_waits_if_they_do_not_run)
{
    waiting_gang gang;
    const step_key key{gang.m_job.id(), 0, 0};
    for (int i = 0; i < members; ++i)
        gang.place(i, i < 2 ? "a" : "b");
    gang.m_at.m_queued = false;
    CHECK_FALSE(is_waiting(gang.m_job, key, gang.m_workers, 0));
    STRCMP_EQUAL("none", gang.cause().c_str());
    auto& worker = gang.m_workers[worker_id("a")];
    worker.request_stop(worker.m_placements.begin()->second, now);
    CHECK_TRUE(is_waiting(gang.m_job, key, gang.m_workers, 0));
    worker.remove_all();
    CHECK_TRUE(is_waiting(gang.m_job, key, gang.m_workers, 0));
    STRCMP_EQUAL("run_missing", gang.cause().c_str());
}

TEST(waiting_cause, a_step_that_is_not_due_does_not_wait)
{
    auto record = waiting_gang::make_record();
    record.m_request.m_steps.push_back({.m_count = 1, .m_depends_on = {0}});
    record.m_request.m_occurrences = 1;
    record.m_request.m_first_due_ms = 1000;
    waiting_gang gang(std::move(record));
    gang.m_job.open(0); // only open occurrences are explained
    STRCMP_EQUAL("not_due", gang.cause().c_str());
    gang.m_at.m_unix_ms = 1000;
    STRCMP_EQUAL("approval_not_asked", gang.cause().c_str());
    const auto later = explain_wait(gang.m_job, {gang.m_job.id(), 0, 1}, gang.m_workers, gang.m_at);
    STRCMP_EQUAL("not_due", std::string(name_of(later.m_cause)).c_str());
}

TEST(waiting_cause, tasks_outside_gangs_need_capacity_for_only_one)
{
    auto record = waiting_gang::make_record();
    record.m_queue.m_approval = {};
    record.m_request.m_steps.front().m_gang = false;
    waiting_gang tasks(std::move(record));
    tasks.fill("a");
    tasks.fill("b");
    tasks.fill("c");
    STRCMP_EQUAL("no_room", tasks.cause().c_str());
    tasks.m_workers[worker_id("c")].remove_all();
    tasks.m_workers[worker_id("c")].m_claimed = {worker_millicores, 0, 0};
    STRCMP_EQUAL("room_held", tasks.cause().c_str());
    for (auto& [id, worker] : tasks.m_workers)
        worker.m_info.m_service = service_id("another");
    STRCMP_EQUAL("too_few_workers", tasks.cause().c_str());
}
