#include "dragonflygap/net/http_client.hpp"

#include <atomic>
#include <optional>

#include "dragonflygap/net/event_loop.hpp"
#include "support/raw_target.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::test;

TEST_GROUP(http_client)
{
    event_loop m_loop;
    http_client m_client{m_loop, {.m_max_body_bytes = 1000}};
    std::optional<outcome<http_response>> m_answer;

    const outcome<http_response>& post(const endpoint& to, duration timeout = 10s)
    {
        m_client.send(to, {.m_method = "POST", .m_path = "/execute", .m_body = "{}"}, timeout,
                      [this](outcome<http_response> answer)
                      {
                          m_answer = std::move(answer);
                          m_loop.stop();
                      });
        m_loop.run();
        return *m_answer;
    }

    void check_failed(const outcome<http_response>& answer, verdict expected_verdict,
                      reason expected_reason)
    {
        CHECK_FALSE(answer.has_value());
        CHECK_EQUAL(std::string(to_string(expected_verdict)),
                    std::string(to_string(answer.error().m_verdict)));
        CHECK_EQUAL(std::string(to_string(expected_reason)),
                    std::string(to_string(answer.error().m_reason)));
    }

    static std::function<void(int)> respond_with(std::string bytes)
    {
        return [bytes = std::move(bytes)](int socket)
        {
            read_http_request(socket);
            write_all(socket, bytes);
        };
    }
};

TEST(http_client, a_refused_connection_is_not_run)
{
    check_failed(post(closed_address()), verdict::not_run, reason::target_unreachable);
}

TEST(http_client, no_response_to_a_request_that_was_sent_may_have_run)
{
    raw_target target(wait_for_close);
    check_failed(post(target.address(), 50ms), verdict::may_have_run, reason::timeout);
}

TEST(http_client, a_connection_closed_without_a_response_may_have_run)
{
    raw_target target([](int socket) { read_http_request(socket); });
    check_failed(post(target.address()), verdict::may_have_run, reason::target_failed);
}

TEST(http_client, a_truncated_response_may_have_run)
{
    raw_target target(respond_with("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive."));
    check_failed(post(target.address()), verdict::may_have_run, reason::target_failed);
}

TEST(http_client, a_truncated_chunked_response_may_have_run)
{
    raw_target target(
        respond_with("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfive.\r\n"));
    check_failed(post(target.address()), verdict::may_have_run, reason::target_failed);
}

TEST(http_client, a_response_of_unknown_length_may_have_run)
{
    raw_target target(respond_with("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nfive."));
    check_failed(post(target.address()), verdict::may_have_run, reason::target_failed);
}

TEST(http_client, a_response_that_is_too_large_may_have_run)
{
    raw_target target(
        respond_with("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n" + std::string(2000, 'x')));
    check_failed(post(target.address()), verdict::may_have_run, reason::answer_too_large);
}

TEST(http_client, a_response_that_is_not_http_may_have_run)
{
    raw_target target(respond_with("what?\r\n\r\n"));
    check_failed(post(target.address()), verdict::may_have_run, reason::target_failed);
}

TEST(http_client, a_call_that_times_out_waiting_for_a_connection_is_not_run)
{
    http_client client(m_loop, {.m_max_connections_per_endpoint = 1});
    raw_target target(wait_for_close);
    client.send(target.address(), {}, 10s, [](const auto& /*answer*/) {});
    outcome<http_response> second;
    client.send(target.address(), {}, 50ms,
                [&](outcome<http_response> answer)
                {
                    second = std::move(answer);
                    m_loop.stop();
                });
    m_loop.run();
    check_failed(second, verdict::not_run, reason::timeout);
}

TEST(http_client, an_idle_connection_that_the_target_closed_is_replaced)
{
    std::atomic<int> connections = 0;
    raw_target target(
        [&](int socket)
        {
            ++connections;
            respond_with("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")(socket);
        });
    CHECK(post(target.address()).has_value());
    // Lets the loop see the end of the first connection before the next request.
    const auto timer = m_loop.after(50ms, [this] { m_loop.stop(); });
    m_loop.run();
    CHECK(post(target.address()).has_value());
    CHECK_EQUAL(2, connections.load());
}
