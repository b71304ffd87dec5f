#include "dragonflygap/request/executor_calls.hpp"

#include <atomic>
#include <mutex>
#include <thread>

#include <unistd.h>

#include "dragonflygap/net/http_client.hpp"
#include "support/raw_target.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::request;
using namespace dragonflygap::test;

namespace
{

std::string answer_of(const std::string& body, const std::string& status = "200 OK",
                      const std::string& headers = "")
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

TEST_GROUP(executor_calls)
{
    const request_id m_id{"r"};
    event_loop m_loop;
    http_client m_client{m_loop, {}};
    http_client m_probe_client{m_loop, {.m_reuse = false}};
    std::optional<attempt_result> m_result;
    bool m_slot_freed = false;
    std::string m_state = "running"; ///< The state that the target reports.
    std::mutex m_mutex;
    std::atomic<int> m_probe_count = 0;
    executor_calls m_calls{m_loop,
                           {.m_calls = make_transport(m_client),
                            .m_probes = make_transport(m_probe_client),
                            .m_first_probe_delay = 20ms,
                            .m_probe_interval = 20ms,
                            .m_confirm_delay = 20ms,
                            .m_max_deferral = 5s,
                            .m_silent_slot_timeout = 400ms,
                            .m_on_attempt_end =
                                [this](const request_id&, attempt_result result)
                            {
                                m_result = std::move(result);
                                m_loop.stop();
                            },
                            .m_on_slot_freed =
                                [this](const request_id&)
                            {
                                m_slot_freed = true;
                                m_loop.stop();
                            }}};

    void set_state(const std::string& state)
    {
        const std::scoped_lock lock(m_mutex);
        m_state = state;
    }

    /// A target that answers probes with m_state and handles the request itself with execute.
    std::function<void(int)> target(std::function<void(int)> execute)
    {
        return [this, execute = std::move(execute)](int socket)
        {
            if (read_http_request(socket).starts_with("POST"))
                return execute(socket);
            ++m_probe_count;
            const std::scoped_lock lock(m_mutex);
            write_all(socket, answer_of("{\"state\": \"" + m_state + "\"}"));
        };
    }

    void start(const raw_target& executor, duration timeout = 10s)
    {
        m_calls.start(m_id, executor.address(), {.m_method = "POST", .m_path = "/execute"},
                      monotonic_clock::now() + timeout);
    }

    void check_end(verdict expected_verdict, reason expected_reason, bool slot_free)
    {
        CHECK(m_result.has_value());
        CHECK_FALSE(m_result->m_outcome.has_value());
        const auto& error = m_result->m_outcome.error();
        CHECK_EQUAL(std::string(to_string(expected_verdict)),
                    std::string(to_string(error.m_verdict)));
        CHECK_EQUAL(std::string(to_string(expected_reason)),
                    std::string(to_string(error.m_reason)));
        CHECK_EQUAL(slot_free, m_result->m_slot_free);
    }
};

TEST(executor_calls, a_refusal_with_verdict_not_run_is_reported_as_not_run)
{
    raw_target executor(target(
        [](int socket)
        {
            write_all(socket, answer_of("", "503 Service Unavailable",
                                        "X-Dragonflygap-Verdict: not_run\r\n"
                                        "X-Dragonflygap-Reason: target_refused\r\n"));
        }));
    start(executor);
    m_loop.run();
    check_end(verdict::not_run, reason::target_refused, true);
}

TEST(executor_calls, a_target_error_without_verdict_is_reported_as_ran)
{
    raw_target executor(
        target([](int socket) { write_all(socket, answer_of("broke", "500 Internal Error")); }));
    start(executor);
    m_loop.run();
    check_end(verdict::ran, reason::target_failed, true);
    CHECK_EQUAL(std::string("broke"), m_result->m_response->m_body);
}

TEST(executor_calls, a_lost_answer_is_reported_as_ran_when_a_probe_says_done)
{
    set_state("done");
    // The connection of the request stays open but silent; probes are answered on a new one.
    raw_target executor(
        [&](int socket)
        {
            if (read_http_request(socket).starts_with("POST"))
            {
                std::thread(
                    [socket = dup(socket)]
                    {
                        wait_for_close(socket);
                        close(socket);
                    })
                    .detach();
                return;
            }
            write_all(socket, answer_of("{\"state\": \"done\"}"));
        });
    start(executor);
    m_loop.run();
    check_end(verdict::ran, reason::target_silent, true);
}

TEST(executor_calls, a_broken_call_is_reported_when_the_target_no_longer_runs_it)
{
    raw_target executor(target([](int) {}));
    start(executor);
    const auto timer = m_loop.after(100ms, [this] { set_state("done"); });
    m_loop.run();
    check_end(verdict::may_have_run, reason::target_failed, true);
    CHECK(m_probe_count >= 2);
}

TEST(executor_calls, a_slot_is_held_while_the_target_reports_running)
{
    raw_target executor(target([](int) {}));
    start(executor, 300ms);
    m_loop.run();
    check_end(verdict::may_have_run, reason::target_failed, false);
    CHECK_FALSE(m_slot_freed);
    CHECK_EQUAL(1, m_calls.held_slots());
    set_state("done");
    m_loop.run();
    CHECK(m_slot_freed);
    CHECK_EQUAL(0, m_calls.held_slots());
}

TEST(executor_calls, an_aborted_call_frees_its_slot_when_the_target_has_finished)
{
    raw_target executor(target([](int) {}));
    start(executor);
    CHECK_FALSE(m_calls.abort(m_id));
    set_state("unknown");
    m_loop.run();
    CHECK(m_slot_freed);
    CHECK_FALSE(m_result.has_value());
}

TEST(executor_calls, a_held_slot_is_freed_when_the_target_cannot_be_probed)
{
    {
        raw_target executor(target([](int) {}));
        start(executor);
        CHECK_FALSE(m_calls.abort(m_id));
    }
    m_loop.run();
    CHECK(m_slot_freed);
}
