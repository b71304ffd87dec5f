#pragma once

#include "dragonflygap/placement/job_manager.hpp"

#include <algorithm>

#include "dragonflygap/emulator/table_store.hpp"

#include <CppUTest/TestHarness.h>

namespace dragonflygap::placement::test
{

inline const data_centre_id centre("d");

inline platform::worker worker_named(const char* name)
{
    return {.m_id = worker_id(name),
            .m_data_centre = centre,
            .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000}};
}

/// A job manager on a virtual clock whose table, workers and peers are controlled by the test.
struct job_manager_fixture : public Utest
{
    job_manager m_manager{{.m_data_centre = centre, .m_writer = "a.1"}};
    emulator::table_store m_table;
    instant m_now{1000s};
    std::vector<start_on_worker> m_starts;
    std::vector<stop_on_worker> m_stops;
    std::vector<renew_worker> m_renewals;
    std::vector<submission_answered> m_submission_answers;
    std::vector<request_capacity> m_capacity_requests;
    std::map<std::string, std::uint64_t> m_renewal_calls;
    std::map<std::string, std::uint64_t> m_answered_calls;
    bool m_lose_commit_replies = false;

    void setup() override { own({worker_named("w1"), worker_named("w2")}); }

    void own(const std::vector<platform::worker>& workers)
    {
        workers_owned owned;
        for (const auto& worker : workers)
            owned.m_workers.push_back({worker, 1});
        for (ownership::group_index i = 0; i < ownership::groups_per_data_centre; ++i)
            owned.m_epochs[i] = 1;
        owned.m_cell = workers;
        // A worker owned by a peer.
        owned.m_cell.push_back({.m_id = worker_id("far"),
                                .m_data_centre = data_centre_id("dc2"),
                                .m_capacity = {.m_millicores = 4000, .m_memory_mb = 4000}});
        run(owned);
    }

    void run(const job_event& event)
    {
        for (const auto& action : m_manager.handle(event, m_now))
            std::visit([this](const auto& concrete_action) { apply(concrete_action); }, action);
    }

    void apply(const scan_parts& action)
    {
        run(parts_scanned{action.m_home.m_group, action.m_generation,
                          m_table.scan(prefix_of(action.m_home))});
    }
    void apply(const commit_parts& action)
    {
        const auto result = m_table.commit(action.m_writes);
        if (m_lose_commit_replies)
            return run(parts_committed{action.m_call,
                                       fail(verdict::may_have_run, reason::timeout, "lost")});
        run(parts_committed{action.m_call, result});
    }
    void apply(const submission_answered& action) { m_submission_answers.push_back(action); }
    void apply(const announce_parts&) {}
    void apply(const start_on_worker& action) { m_starts.push_back(action); }
    void apply(const stop_on_worker& action) { m_stops.push_back(action); }
    void apply(const renew_worker& action)
    {
        m_renewal_calls[action.m_worker.m_info.m_id.m_value] = action.m_call;
        m_renewals.push_back(action);
    }
    void apply(const request_capacity& action) { m_capacity_requests.push_back(action); }

    void report(const char* worker, std::vector<platform::task_report> tasks)
    {
        // A report answers a renewal; wait until the next one is sent.
        for (int i = 0; i < 30 && m_renewal_calls[worker] == m_answered_calls[worker]; ++i)
            advance(100ms);
        m_answered_calls[worker] = m_renewal_calls[worker];
        run(worker_reported{worker_id(worker), m_renewal_calls[worker], std::move(tasks)});
    }

    void advance(duration length)
    {
        for (const auto end = m_now + length; m_now < end; m_now += 100ms)
            run(job_manager_tick{});
    }

    void report_idle_workers()
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
        advance(1s);
    }

    void answer_start(const start_on_worker& start, outcome<platform::task_report> result)
    {
        run(start_answered{start.m_part, start.m_index, start.m_attempt, std::move(result)});
    }

    platform::task_report running(const start_on_worker& start) const
    {
        return {.m_task = start.m_task.m_task, .m_job = start.m_task.m_job};
    }
};

} // namespace dragonflygap::placement::test
