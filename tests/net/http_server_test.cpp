#include "dragonflygap/net/http_server.hpp"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

int connect_to(std::uint16_t port)
{
    const int result = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connect(result, reinterpret_cast<sockaddr*>(&to), sizeof to);
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

TEST(http_server, notices_a_caller_that_hangs_up_while_its_request_waits)
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

TEST(http_server, survives_a_caller_that_sends_more_while_its_request_waits)
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

TEST(http_server, refuses_a_body_that_is_too_large_with_a_reason)
{
    http_client client(m_loop, {});
    outcome<http_response> answer;
    client.send({"127.0.0.1", m_server.port()},
                {.m_method = "POST", .m_body = std::string(1500, 'x')}, 10s,
                [&](outcome<http_response> got)
                {
                    answer = std::move(got);
                    m_loop.stop();
                });
    m_loop.run();
    CHECK(answer.has_value());
    CHECK_EQUAL(413, answer->m_status);
    CHECK(failure_of_response(*answer).m_verdict == verdict::not_run);
}
