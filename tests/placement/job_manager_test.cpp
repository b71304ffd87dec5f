#include "dragonflygap/placement/job_manager.hpp"

#include <algorithm>

#include "dragonflygap/emulator/table_store.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::placement;

namespace
{

const data_centre_id centre("d");

platform::worker worker_named(const char* name)
{
    return {.m_id = worker_id(name),
            .m_data_centre = centre,
            .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000}};
}

} // namespace

TEST_GROUP(job_manager)
{
    job_manager m_manager{{.m_data_centre = centre, .m_writer = "a.1"}};
    emulator::table_store m_table;
    instant m_now{1000s};
    std::vector<start_on_worker> m_starts;
    std::vector<stop_on_worker> m_stops;
    std::vector<renew_worker> m_renewals;
    std::vector<submission_answered> m_answers;
    std::vector<ask_for_room> m_asked;
    std::map<std::string, std::uint64_t> m_calls;
    std::map<std::string, std::uint64_t> m_answered;
    bool m_lose_commit_replies = false;

    void setup() override
    {
        own({worker_named("w1"), worker_named("w2")});
    }

    void own(const std::vector<platform::worker>& workers)
    {
        workers_owned owned;
        for (const auto& worker : workers)
            owned.m_workers.push_back({worker, 1});
        for (ownership::group_index i = 0; i < ownership::groups_per_data_centre; ++i)
            owned.m_epochs[i] = 1;
        owned.m_cell = workers;
        // A worker of a peer.
        owned.m_cell.push_back({.m_id = worker_id("far"),
                                .m_data_centre = data_centre_id("dc2"),
                                .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000}});
        run(owned);
    }

    void run(const job_event& event)
    {
        for (const auto& action : m_manager.handle(event, m_now))
            std::visit([this](const auto& what) { act(what); }, action);
    }

    void act(const scan_parts& action)
    {
        run(parts_scanned{action.m_home.m_group, action.m_holding,
                          m_table.scan(prefix_of(action.m_home))});
    }
    void act(const commit_parts& action)
    {
        const auto result = m_table.commit(action.m_writes);
        if (m_lose_commit_replies)
            return run(parts_committed{action.m_call,
                                       fail(verdict::may_have_run, reason::timeout, "lost")});
        run(parts_committed{action.m_call, result});
    }
    void act(const submission_answered& action)
    {
        m_answers.push_back(action);
    }
    void act(const announce_parts&) {}
    void act(const start_on_worker& action)
    {
        m_starts.push_back(action);
    }
    void act(const stop_on_worker& action)
    {
        m_stops.push_back(action);
    }
    void act(const renew_worker& action)
    {
        m_calls[action.m_worker.m_info.m_id.m_value] = action.m_call;
        m_renewals.push_back(action);
    }
    void act(const ask_for_room& action)
    {
        m_asked.push_back(action);
    }

    void report(const char* worker, std::vector<platform::task_report> tasks)
    {
        // A report answers a renewal: the next one may be due a little later.
        for (int i = 0; i < 30 && m_calls[worker] == m_answered[worker]; ++i)
            pass(100ms);
        m_answered[worker] = m_calls[worker];
        run(worker_reported{worker_id(worker), m_calls[worker], std::move(tasks)});
    }

    void pass(duration length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += 100ms)
            run(job_manager_tick{});
    }

    void hear_workers()
    {
        run(job_manager_tick{});
        report("w1", {});
        report("w2", {});
    }

    void submit(job_kind kind, int count, std::int64_t millicores)
    {
        run(job_submitted{1,
                          {.m_id = job_id("j"),
                           .m_name = "j",
                           .m_team = team_id("t"),
                           .m_kind = kind,
                           .m_count = count,
                           .m_size = {.m_millicores = millicores, .m_memory_mb = 10}}});
        pass(1s);
    }

    void answer(const start_on_worker& start, outcome<platform::task_report> result)
    {
        run(start_answered{start.m_part, start.m_index, start.m_attempt, std::move(result)});
    }

    platform::task_report running(const start_on_worker& start) const
    {
        return {.m_task = start.m_task.m_task, .m_job = start.m_task.m_job};
    }
};

TEST(job_manager, a_gang_that_fits_only_in_part_starts_no_task_and_asks_peers_for_room)
{
    hear_workers();
    submit(job_kind::gang, 3, 3000);
    CHECK(m_starts.empty());
    CHECK_EQUAL(3, m_asked.front().m_count);
}

TEST(job_manager, batch_tasks_start_as_far_as_there_is_room)
{
    hear_workers();
    submit(job_kind::batch, 3, 3000);
    CHECK_EQUAL(2, m_starts.size());
}

TEST(job_manager, the_tasks_of_a_service_go_to_different_workers)
{
    hear_workers();
    submit(job_kind::service, 2, 1000);
    CHECK_EQUAL(2, m_starts.size());
    CHECK(m_starts[0].m_worker.m_info.m_id != m_starts[1].m_worker.m_info.m_id);
}

TEST(job_manager, a_worker_gets_nothing_before_it_has_reported_what_it_runs)
{
    submit(job_kind::batch, 1, 1000);
    CHECK(m_starts.empty());
    hear_workers();
    pass(1s);
    CHECK_EQUAL(1, m_starts.size());
}

TEST(job_manager, a_refused_start_is_tried_again_after_a_growing_pause)
{
    hear_workers();
    submit(job_kind::batch, 1, 1000);
    for (int i = 0; i < 600; ++i)
    {
        if (i % 20 == 0)
            hear_workers();
        pass(100ms);
        answer(m_starts.back(), fail(verdict::not_run, reason::target_refused, ""));
    }
    // Pauses of 1, 2, 4, 8, 16 and 32 s, and less than one of 60 s after them.
    CHECK(m_starts.size() >= 5);
    CHECK(m_starts.size() <= 8);
}

TEST(job_manager, a_start_without_an_answer_is_settled_by_what_its_worker_reports)
{
    hear_workers();
    submit(job_kind::batch, 1, 1000);
    answer(m_starts[0], fail(verdict::may_have_run, reason::timeout, ""));
    hear_workers();
    pass(3s);
    CHECK_EQUAL(1, m_starts.size());
    hear_workers();
    pass(3s);
    hear_workers();
    pass(3s);
    CHECK_EQUAL(2, m_starts.size());
    CHECK(m_starts[1].m_task.m_task != m_starts[0].m_task.m_task);
}

TEST(job_manager, a_task_of_a_silent_worker_restarts_only_after_its_lease_has_surely_run_out)
{
    hear_workers();
    submit(job_kind::service, 1, 1000);
    answer(m_starts[0], running(m_starts[0]));
    const auto silent = m_starts[0].m_worker.m_info.m_id.m_value;
    const auto* other = silent == "w1" ? "w2" : "w1";
    instant last_renewal = m_now;
    const auto runs = [this]
    { return m_manager.jobs().at(job_id("j")).m_tasks[0].m_state == job_task_state::running; };
    for (int i = 0; i < 600 && runs(); ++i)
    {
        m_renewals.clear();
        pass(100ms);
        for (const auto& renewal : m_renewals)
            if (runs() && renewal.m_worker.m_info.m_id.m_value == silent)
                last_renewal = m_now;
        if (i % 20 == 0)
        {
            report(other, {});
            run(worker_reported{worker_id(silent), m_calls[silent],
                                fail(verdict::may_have_run, reason::target_silent, "")});
        }
    }
    CHECK(!runs());
    CHECK(m_now - last_renewal >= worker_tasks_options{}.m_task_lease);
}

TEST(job_manager, a_batch_task_that_fails_at_each_attempt_ends_as_failed)
{
    hear_workers();
    submit(job_kind::batch, 1, 1000);
    for (int i = 0; i < 300; ++i)
    {
        if (i % 20 == 0)
            hear_workers();
        pass(100ms);
        auto failed = running(m_starts.back());
        failed.m_state = platform::task_state::failed;
        answer(m_starts.back(), failed);
    }
    CHECK_EQUAL(job_spec{}.m_max_attempts, m_starts.size());
    CHECK(m_manager.jobs().at(job_id("j")).m_tasks[0].m_state == job_task_state::failed);
}

TEST(job_manager, an_ended_task_is_acknowledged_only_once_its_row_says_so)
{
    hear_workers();
    submit(job_kind::batch, 1, 1000);
    answer(m_starts[0], running(m_starts[0]));
    const auto worker = m_starts[0].m_worker.m_info.m_id.m_value;
    pass(1s);
    m_lose_commit_replies = true;
    auto done = running(m_starts[0]);
    done.m_state = platform::task_state::finished;
    report(worker.c_str(), {done});
    m_renewals.clear();
    pass(3s);
    for (const auto& renewal : m_renewals)
        CHECK(renewal.m_acknowledged.empty());
    m_lose_commit_replies = false;
    hear_workers();
    pass(1s);
    report(worker.c_str(), {done});
    m_renewals.clear();
    pass(3s);
    hear_workers();
    pass(3s);
    CHECK(std::ranges::any_of(m_renewals, [](const renew_worker& renewal)
                              { return !renewal.m_acknowledged.empty(); }));
}

TEST(job_manager, a_submission_whose_reply_was_lost_is_recognised_as_kept)
{
    hear_workers();
    m_lose_commit_replies = true;
    submit(job_kind::batch, 1, 1000);
    CHECK(m_answers.empty());
    m_lose_commit_replies = false;
    pass(1s);
    CHECK_EQUAL(1, m_answers.size());
    CHECK(m_answers[0].m_result.has_value());
}

TEST(job_manager, a_submission_that_stays_unanswered_is_said_to_have_perhaps_been_kept)
{
    hear_workers();
    m_lose_commit_replies = true;
    submit(job_kind::batch, 1, 1000);
    pass(10s);
    CHECK(m_answers.at(0).m_result.error().m_verdict == verdict::may_have_run);
}

TEST(job_manager, a_successor_adopts_what_runs_and_starts_only_what_waits)
{
    hear_workers();
    submit(job_kind::batch, 3, 3000);
    for (const auto& start : std::vector(m_starts))
        answer(start, running(start));
    pass(1s);
    const auto first = m_starts;
    // The first owner is gone; another process reads the same rows and asks the same workers.
    m_manager = job_manager({.m_data_centre = centre, .m_writer = "b.1"});
    m_starts.clear();
    own({worker_named("w1"), worker_named("w2")});
    pass(1s);
    for (const auto& start : first)
        report(start.m_worker.m_info.m_id.m_value.c_str(), {running(start)});
    pass(3s);
    CHECK(m_starts.empty());
    auto done = running(first[0]);
    done.m_state = platform::task_state::finished;
    report(first[0].m_worker.m_info.m_id.m_value.c_str(), {done});
    pass(1s);
    CHECK_EQUAL(1, m_starts.size());
}

TEST(job_manager, the_service_of_a_leaving_worker_is_stopped_and_started_elsewhere)
{
    hear_workers();
    submit(job_kind::service, 1, 1000);
    answer(m_starts[0], running(m_starts[0]));
    const auto left = m_starts[0].m_worker.m_info.m_id.m_value;
    auto leaving = worker_named(left.c_str());
    leaving.m_leaving = true;
    own({leaving, worker_named(left == "w1" ? "w2" : "w1")});
    pass(200ms);
    CHECK_EQUAL(1, m_stops.size());
    auto stopped = running(m_starts[0]);
    stopped.m_state = platform::task_state::stopped;
    report(left.c_str(), {stopped});
    pass(2s);
    CHECK_EQUAL(2, m_starts.size());
    CHECK(m_starts[1].m_worker.m_info.m_id.m_value != left);
}

TEST(job_manager, a_cancelled_job_stops_what_runs_and_starts_nothing_more)
{
    hear_workers();
    submit(job_kind::batch, 3, 3000);
    for (const auto& start : std::vector(m_starts))
        answer(start, running(start));
    pass(1s);
    parts_written written;
    for (const auto& row : m_table.scan("jobs/"))
    {
        auto part = *decode_part(row);
        part.m_cancelled = true;
        written.m_homes.push_back(part.m_home);
        m_table.commit(std::vector<platform::row_write>{
            {.m_key = row.m_key, .m_expected_version = row.m_version, .m_value = encode(part)}});
    }
    run(written);
    const auto starts = m_starts.size();
    pass(1s);
    CHECK_EQUAL(2, m_stops.size());
    CHECK_EQUAL(starts, m_starts.size());
}

TEST(job_manager, a_job_that_no_worker_could_ever_hold_is_refused)
{
    hear_workers();
    submit(job_kind::batch, 1, 5000);
    CHECK(m_answers.at(0).m_result.error().m_reason == reason::never_fits);
    CHECK(m_table.scan("jobs/").empty());
}

TEST(job_manager, an_urgent_task_starts_in_a_full_cell_once_its_victim_has_ended)
{
    hear_workers();
    submit(job_kind::batch, 2, 4000);
    CHECK_EQUAL(2, m_starts.size());
    for (int i = 0; i < 2; ++i)
    {
        const auto start = m_starts[static_cast<std::size_t>(i)];
        answer(start, running(start));
    }
    run(job_submitted{2,
                      {.m_id = job_id("u"),
                       .m_name = "u",
                       .m_team = team_id("t"),
                       .m_urgent = true,
                       .m_size = {.m_millicores = 3000, .m_memory_mb = 10}}});
    pass(1s);
    CHECK_EQUAL(1, m_stops.size());
    CHECK_EQUAL(2, m_starts.size());
    const auto worker = m_stops.front().m_worker.m_info.m_id;
    report(worker.m_value.c_str(), {{.m_task = m_stops.front().m_task,
                                     .m_job = job_id("j"),
                                     .m_state = platform::task_state::stopped}});
    pass(200ms);
    CHECK_EQUAL(3, m_starts.size());
    CHECK(m_starts.back().m_task.m_job == job_id("u"));
    CHECK(m_starts.back().m_worker.m_info.m_id == worker);
}

TEST(job_manager, a_team_holds_no_more_than_its_quota)
{
    hear_workers();
    run(teams_changed{{{.m_name = team_id("t"), .m_quota = {3500, 1000, 0}}}});
    submit(job_kind::batch, 3, 1500);
    CHECK_EQUAL(2, m_starts.size());
}

TEST(job_manager, a_job_that_never_fits_is_refused_with_the_dimension)
{
    submit(job_kind::batch, 1, 5000);
    CHECK(m_answers.front().m_result.error().m_reason == reason::never_fits);
    CHECK(m_answers.front().m_result.error().m_detail ==
          "size.millicores is 5000, the largest worker has 4000");
}

TEST(job_manager, a_successor_starts_nothing_of_a_row_before_its_own_write_of_it_is_certain)
{
    submit(job_kind::batch, 1, 1000); // no worker has reported: the task waits
    m_manager = job_manager({.m_data_centre = centre, .m_writer = "b.1"});
    m_calls.clear();
    m_answered.clear();
    m_lose_commit_replies = true;
    own({worker_named("w1"), worker_named("w2")});
    hear_workers();
    pass(1s);
    CHECK(m_starts.empty());
    m_lose_commit_replies = false;
    hear_workers();
    pass(1s);
    CHECK_EQUAL(1, m_starts.size());
}
