#include "dragonflygap/net/http_server.hpp"

#include <arpa/inet.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"
#include "dragonflygap/observe/usage.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

void connect_socket(int caller, std::uint16_t port)
{
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(caller, reinterpret_cast<sockaddr*>(&to), sizeof to);
}

int connect_to(std::uint16_t port)
{
    const int result = socket(AF_INET, SOCK_STREAM, 0);
    connect_socket(result, port);
    return result;
}

/// Lets the process open no further descriptors while it exists.
class descriptor_limit
{
public:
    descriptor_limit()
    {
        getrlimit(RLIMIT_NOFILE, &m_previous);
        const int lowest_free = dup(STDERR_FILENO);
        close(lowest_free);
        const rlimit limit{.rlim_cur = static_cast<rlim_t>(lowest_free),
                           .rlim_max = m_previous.rlim_max};
        setrlimit(RLIMIT_NOFILE, &limit);
    }
    ~descriptor_limit() { setrlimit(RLIMIT_NOFILE, &m_previous); }
    descriptor_limit(const descriptor_limit&) = delete;
    descriptor_limit& operator=(const descriptor_limit&) = delete;

private:
    rlimit m_previous{};
};

void send_text(int caller, const std::string& text)
{
    send(caller, text.data(), text.size(), 0);
}

/// Reads until the server has closed; fails the test if it hasn't closed yet.
std::string read_to_end(int caller)
{
    std::string result;
    char buffer[1024];
    ssize_t received = 0;
    while ((received = recv(caller, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
        result.append(buffer, static_cast<std::size_t>(received));
    CHECK_EQUAL(0, received);
    return result;
}

} // namespace

TEST_GROUP(http_server)
{
    event_loop m_loop;
    std::function<void(http_request, http_exchange_ptr)> m_handler;
    http_server m_server{m_loop,
                         {.m_listen = {"127.0.0.1", 0},
                          .m_max_body_bytes = 1000,
                          .m_handler = [this](http_request request, http_exchange_ptr exchange)
                          { m_handler(std::move(request), std::move(exchange)); }}};
};

TEST(http_server, notices_a_caller_that_disconnects_while_its_request_is_pending)
{
    http_exchange_ptr waiting;
    bool hung_up = false;
    const int caller = connect_to(m_server.port());
    m_handler = [&](const http_request& /*request*/, const http_exchange_ptr& exchange)
    {
        waiting = exchange;
        waiting->on_hangup(
            [&]
            {
                hung_up = true;
                m_loop.stop();
            });
        close(caller);
    };
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    send(caller, request.data(), request.size(), 0);
    m_loop.run();
    CHECK(hung_up);
    waiting->reply({.m_status = 499});
}

// The event of such a connection stayed active, and the loop used all processor time.
TEST(http_server, a_connection_that_was_reset_while_its_request_is_pending_costs_no_time)
{
    http_exchange_ptr waiting;
    bool hung_up = false;
    const int caller = connect_to(m_server.port());
    m_handler = [&](const http_request& /*request*/, const http_exchange_ptr& exchange)
    {
        waiting = exchange;
        waiting->on_hangup([&] { hung_up = true; });
        const linger no_linger{.l_onoff = 1, .l_linger = 0};
        setsockopt(caller, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
        close(caller);
    };
    send_text(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    const auto used_before = thread_cpu_time();
    const auto at_end = m_loop.after(500ms, [&] { m_loop.stop(); });
    m_loop.run();
    CHECK(thread_cpu_time() - used_before < duration(250ms));
    CHECK(hung_up);
    waiting->reply({.m_status = 499});
}

TEST(http_server, survives_a_caller_that_sends_more_while_its_request_is_pending)
{
    http_exchange_ptr waiting;
    int requests = 0;
    const int caller = connect_to(m_server.port());
    event_loop::timer_ptr later;
    m_handler = [&](const http_request& /*request*/, const http_exchange_ptr& exchange)
    {
        if (++requests == 2)
            return m_loop.stop();
        waiting = exchange;
        waiting->on_hangup([] {});
        later = m_loop.after(20ms, [&] { waiting->reply({.m_status = 200, .m_body = "ok"}); });
    };
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    send(caller, (request + request).data(), 2 * request.size(), 0);
    m_loop.run();
    CHECK_EQUAL(2, requests);
    close(caller);
}

TEST(http_server, closes_idle_connections_and_answers_pending_requests_when_it_drains)
{
    const int idle = connect_to(m_server.port());
    const int pending = connect_to(m_server.port());
    const auto port = m_server.port();
    http_exchange_ptr waiting;
    event_loop::timer_ptr at_drain;
    event_loop::timer_ptr at_reply;
    event_loop::timer_ptr at_end;
    m_handler = [&](const http_request& request, const http_exchange_ptr& exchange)
    {
        if (request.m_path == "/idle")
            return exchange->reply({.m_status = 200, .m_body = "ok"});
        waiting = exchange;
        at_drain = m_loop.after(50ms, [&] { m_server.drain(); });
        at_reply =
            m_loop.after(100ms, [&] { waiting->reply({.m_status = 200, .m_body = "late"}); });
        at_end = m_loop.after(200ms, [&] { m_loop.stop(); });
    };
    send_text(idle, "GET /idle HTTP/1.1\r\nHost: x\r\n\r\n");
    send_text(pending, "GET /pending HTTP/1.1\r\nHost: x\r\n\r\n");
    m_loop.run();
    // Both connections were closed, and neither before its response.
    STRCMP_CONTAINS("ok", read_to_end(idle).c_str());
    STRCMP_CONTAINS("late", read_to_end(pending).c_str());
    const int late = connect_to(port);
    sockaddr_in peer{};
    socklen_t size = sizeof peer;
    CHECK_EQUAL(-1, getpeername(late, reinterpret_cast<sockaddr*>(&peer), &size));
    for (const int caller : {idle, pending, late})
        close(caller);
}

// Callers keep connections that they don't use; the loop also serves everything else.
TEST(http_server, without_free_descriptors_idle_connections_give_way_and_the_loop_does_not_spin)
{
    constexpr int idle_callers = 8;
    constexpr int new_callers = 4;
    const std::string request = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";
    int answered = 0;
    m_handler = [&](const http_request& /*request*/, const http_exchange_ptr& exchange)
    {
        ++answered;
        exchange->reply({.m_status = 200, .m_body = "ok"});
    };
    std::vector<int> callers;
    for (int i = 0; i < idle_callers; ++i)
        send_text(callers.emplace_back(connect_to(m_server.port())), request);
    auto at_end = m_loop.after(100ms, [&] { m_loop.stop(); });
    m_loop.run();
    LONGS_EQUAL(idle_callers, answered);
    for (int i = 0; i < new_callers; ++i)
        callers.push_back(socket(AF_INET, SOCK_STREAM, 0));
    {
        const descriptor_limit no_more;
        for (int i = 0; i < new_callers; ++i)
        {
            const int caller = callers[static_cast<std::size_t>(idle_callers + i)];
            connect_socket(caller, m_server.port());
            send_text(caller, request);
        }
        at_end = m_loop.after(500ms, [&] { m_loop.stop(); });
        m_loop.run();
    }
    CHECK_COMPARE(m_server.counts().m_failed_accepts, >=, 1);
    CHECK_COMPARE(m_server.counts().m_failed_accepts, <=, 10);
    LONGS_EQUAL(idle_callers + new_callers, answered);
    for (const int caller : callers)
        close(caller);
}

// Callers that are gone for good hold descriptors that workers' connections need.
TEST(http_server, closes_the_longest_idle_connections_of_too_many)
{
    constexpr std::size_t max_idle = 3;
    http_server server(m_loop, {.m_listen = {"127.0.0.1", 0},
                                .m_max_idle_connections = max_idle,
                                .m_handler = [](http_request, const http_exchange_ptr& exchange)
                                { exchange->reply({.m_status = 200, .m_body = "ok"}); }});
    std::vector<int> callers;
    for (int i = 0; i < 5; ++i)
    {
        send_text(callers.emplace_back(connect_to(server.port())),
                  "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto at_end = m_loop.after(50ms, [&] { m_loop.stop(); });
        m_loop.run();
    }
    for (std::size_t i = 0; i < callers.size(); ++i)
    {
        char buffer[1024];
        CHECK_TRUE(recv(callers[i], buffer, sizeof buffer, MSG_DONTWAIT) > 0);
        const bool closed = recv(callers[i], buffer, sizeof buffer, MSG_DONTWAIT) == 0;
        CHECK_EQUAL(i < callers.size() - max_idle, closed);
        close(callers[i]);
    }
}

TEST(http_server, sends_connection_close_only_once_when_it_drains)
{
    const int caller = connect_to(m_server.port());
    event_loop::timer_ptr at_end;
    m_handler = [&](const http_request& /*request*/, const http_exchange_ptr& exchange)
    {
        m_server.drain();
        exchange->reply({.m_status = 200, .m_headers = {{"Connection", "close"}}});
        at_end = m_loop.after(50ms, [&] { m_loop.stop(); });
    };
    send_text(caller, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    m_loop.run();
    const auto answer = read_to_end(caller);
    const auto first = answer.find("Connection: close");
    CHECK_TRUE(first != std::string::npos);
    CHECK_TRUE(answer.find("Connection: close", first + 1) == std::string::npos);
    close(caller);
}

TEST(http_server, rejects_a_body_that_is_too_large_with_a_reason)
{
    http_client client(m_loop, {});
    outcome<http_response> answer;
    client.send({"127.0.0.1", m_server.port()},
                {.m_method = "POST", .m_body = std::string(1500, 'x')}, 10s,
                [&](outcome<http_response> received)
                {
                    answer = std::move(received);
                    m_loop.stop();
                });
    m_loop.run();
    CHECK(answer.has_value());
    CHECK_EQUAL(413, answer->m_status);
    CHECK(failure_of_response(*answer).m_verdict == verdict::not_run);
}
