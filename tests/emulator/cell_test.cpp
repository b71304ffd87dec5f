#include "dragonflygap/emulator/cell.hpp"

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::emulator;

TEST_GROUP(cell)
{
    std::vector<std::string> m_recorded;
    cell m_cell{
        {.m_workers = 1, .m_slots = 1, .m_record = [this](const history::event& event, instant at) {
             m_recorded.push_back(history::format("emulator", event, at));
         }}};
    instant m_now{1000s};
    const endpoint m_platform{"127.0.0.1", 7000};
    const endpoint m_worker{"127.0.0.1", 7100};

    emulated_answer send(const endpoint& at, const std::string& path, const std::string& body,
                         const std::string& vm = "a", std::uint16_t port = 1)
    {
        http_request request{
            .m_method = "POST",
            .m_path = path,
            .m_headers = {{std::string(vm_header), vm}, {"X-Dragonflygap-Request", "r1"}},
            .m_body = body};
        request.m_peer = {"127.0.0.1", port};
        return m_cell.handle(at, request, m_now);
    }

    void inject(const std::string& faults)
    {
        send(m_platform, "/faults", faults);
    }

    emulated_answer commit(const std::string& key)
    {
        return send(m_platform, "/table/commit",
                    R"([{"key": ")" + key + R"(", "expected_version": 0, "value": "x"}])");
    }

    bool recorded(const std::string& part) const
    {
        for (const auto& line : m_recorded)
            if (line.find(part) != std::string::npos)
                return true;
        return false;
    }
};

TEST(cell, a_commit_whose_reply_is_lost_has_taken_effect)
{
    inject(R"({"lose_replies": 1})");
    CHECK(commit("k").m_lost);
    STRCMP_CONTAINS("\"committed\":false", commit("k").m_response.m_body.c_str());
}

TEST(cell, a_commit_applied_twice_is_answered_with_the_conflict_of_the_second)
{
    inject(R"({"double_commits": 1})");
    STRCMP_CONTAINS("\"committed\":false", commit("k").m_response.m_body.c_str());
}

TEST(cell, a_table_that_is_down_rejects_commits_without_effect)
{
    inject(R"({"table_down": true})");
    CHECK_EQUAL(503, commit("k").m_response.m_status);
    inject(R"({"table_down": false})");
    STRCMP_CONTAINS("\"committed\":true", commit("k").m_response.m_body.c_str());
}

TEST(cell, a_cut_drops_the_calls_of_one_entry_vm_only)
{
    inject(R"({"cuts": [{"vm": "a", "other": "worker-0"}]})");
    CHECK(send(m_worker, "/execute", "{}", "a").m_lost);
    CHECK(!send(m_worker, "/execute", "{}", "b").m_lost);
}

TEST(cell, an_open_connection_goes_silent_while_a_new_one_works)
{
    send(m_worker, "/executions/x", "{}", "a", 1);
    inject(R"({"silence_connections": ["worker-0"]})");
    CHECK(send(m_worker, "/executions/x", "{}", "a", 1).m_lost);
    CHECK(!send(m_worker, "/executions/x", "{}", "a", 2).m_lost);
}

TEST(cell, a_leaving_worker_is_listed_as_leaving_after_the_lag)
{
    inject(R"({"leaving": ["worker-0"], "vm_list_lag_ms": 3000})");
    STRCMP_CONTAINS("\"leaving\":false", send(m_platform, "/vms", "").m_response.m_body.c_str());
    m_now += 3s;
    STRCMP_CONTAINS("\"leaving\":true", send(m_platform, "/vms", "").m_response.m_body.c_str());
    CHECK(recorded("event=worker_leaving"));
}

TEST(cell, a_failing_worker_fails_each_task_and_each_request)
{
    inject(R"({"failing": ["worker-0"]})");
    const auto answer = send(m_worker, "/tasks/start",
                             R"({"epoch": 1, "task": "j/0.1", "job": "j", "lease_ms": 1000,
        "run_ms": 100, "size": {"millicores": 1, "memory_mb": 1, "accelerators": 0}})");
    STRCMP_CONTAINS("failed", answer.m_response.m_body.c_str());
    CHECK_EQUAL(500, send(m_worker, "/execute", "{}").m_response.m_status);
}

TEST(cell, answers_of_executors_are_truncated_or_too_large_as_often_as_configured)
{
    const auto full_size = send(m_worker, "/execute", R"({"run_ms": 1})").m_response.m_body.size();
    m_now += 1s;
    inject(R"({"cut_answers": 1})");
    CHECK(send(m_worker, "/execute", R"({"run_ms": 1})").m_response.m_body.size() < full_size);
    m_now += 1s;
    inject(R"({"large_answers": 1})");
    CHECK(send(m_worker, "/execute", R"({"run_ms": 1})").m_response.m_body.size() > (16U << 20U));
    m_now += 1s;
    CHECK_EQUAL(full_size, send(m_worker, "/execute", R"({"run_ms": 1})").m_response.m_body.size());
}

TEST(cell, a_stopped_task_runs_until_the_stop_delay_is_over)
{
    inject(R"({"stop_delay_ms": 2000})");
    send(m_worker, "/tasks/start", R"({"epoch": 1, "task": "j/0.1", "job": "j", "lease_ms": 30000,
        "run_ms": 0, "size": {"millicores": 1, "memory_mb": 1, "accelerators": 0}})");
    send(m_worker, "/tasks/stop", R"({"epoch": 1, "task": "j/0.1"})");
    CHECK(!recorded("event=worker_task_ended"));
    m_now += 2s;
    m_cell.advance(m_now);
    CHECK(recorded("event=worker_task_ended"));
}
