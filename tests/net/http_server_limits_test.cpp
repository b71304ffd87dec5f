#include "dragonflygap/net/http_server.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/observe/usage.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

constexpr std::size_t max_body_bytes = 10000;
const std::string get = "GET / HTTP/1.1\r\nHost: x\r\n\r\n";

std::string post(std::size_t announced_bytes, std::size_t sent_bytes)
{
    return "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(announced_bytes) +
           "\r\n\r\n" + std::string(sent_bytes, 'x');
}

/// A client's end of a connection, which never blocks.
class client
{
public:
    explicit client(std::uint16_t port) : m_socket(socket(AF_INET, SOCK_STREAM, 0))
    {
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(port);
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        connect(m_socket, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    ~client() { ::close(m_socket); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    std::size_t send(std::string_view bytes) const
    {
        const auto count =
            ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        return count < 0 ? 0 : static_cast<std::size_t>(count);
    }

    /// What has arrived since the last call.
    std::string read()
    {
        std::string result;
        std::array<char, 4096> buffer{};
        ssize_t count = 0;
        while ((count = recv(m_socket, buffer.data(), buffer.size(), MSG_DONTWAIT)) > 0)
            result.append(buffer.data(), static_cast<std::size_t>(count));
        m_closed = m_closed || count == 0 || errno != EAGAIN;
        return result;
    }

    bool is_closed()
    {
        read();
        return m_closed;
    }

    /// The next close resets the connection.
    void reset_on_close() const
    {
        const linger no_linger{.l_onoff = 1, .l_linger = 0};
        setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
    }

private:
    int m_socket;
    bool m_closed = false;
};

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t result = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++result;
    return result;
}

} // namespace

TEST_GROUP(http_server_limits)
{
    event_loop m_loop;
    std::vector<http_exchange_ptr> m_pending; ///< Of requests with a body, not answered yet.
    std::unique_ptr<http_server> m_server;

    void serve(const http_limits& limits)
    {
        m_server = std::make_unique<http_server>(
            m_loop, http_server_options{.m_listen = {"127.0.0.1", 0},
                                        .m_max_body_bytes = max_body_bytes,
                                        .m_limits = limits,
                                        .m_handler = [this](const http_request& request,
                                                            const http_exchange_ptr& exchange)
                                        {
                                            if (request.m_body.empty())
                                                exchange->reply(json_response(200, "{}"));
                                            else
                                                m_pending.push_back(exchange);
                                        }});
    }

    void teardown() override
    {
        m_pending.clear();
        m_server.reset();
    }

    void run(duration length)
    {
        const auto at_end = m_loop.after(length, [this] { m_loop.stop(); });
        m_loop.run();
    }

    std::uint64_t reached(http_limit limit)
    {
        return m_server->counts().m_limits[static_cast<std::size_t>(limit)];
    }
};

TEST(http_server_limits, a_body_announced_as_too_large_is_refused_before_it_arrives)
{
    serve({});
    client caller(m_server->port());
    caller.send(post(max_body_bytes + 1, 0));
    run(50ms);
    const auto answer = caller.read();
    STRCMP_CONTAINS(" 413 ", answer.c_str());
    STRCMP_CONTAINS("body_too_large", answer.c_str());
    STRCMP_CONTAINS("not_run", answer.c_str());
    CHECK_TRUE(caller.is_closed());
    LONGS_EQUAL(1, reached(http_limit::body_too_large));
    LONGS_EQUAL(0, m_pending.size());
}

// A close with unread input would reset the connection and could take the answer away.
TEST(http_server_limits, a_refused_client_that_goes_on_sending_can_read_the_refusal)
{
    serve({});
    client caller(m_server->port());
    const std::string part(65536, 'x');
    caller.send(post(1 << 20, 0));
    for (int i = 0; i < 16; ++i)
    {
        caller.send(part);
        run(5ms);
    }
    STRCMP_CONTAINS("413", caller.read().c_str());
}

TEST(http_server_limits, a_refused_client_that_sends_without_end_is_closed)
{
    serve({.m_max_linger_bytes = 100000});
    client caller(m_server->port());
    caller.send(post(1 << 30, 0));
    const std::string part(65536, 'x');
    for (int i = 0; i < 10; ++i)
    {
        caller.send(part);
        run(5ms);
    }
    LONGS_EQUAL(0, m_server->counts().m_open);
}

TEST(http_server_limits, requests_sent_ahead_are_answered_in_order)
{
    serve({});
    client caller(m_server->port());
    constexpr int requests = 100;
    std::string bytes;
    for (int i = 0; i < requests; ++i)
        bytes += get;
    LONGS_EQUAL(bytes.size(), caller.send(bytes));
    run(200ms);
    LONGS_EQUAL(requests, count(caller.read(), "200 OK"));
    LONGS_EQUAL(0, m_server->counts().m_buffered_bytes);
}

// Everything that arrived while a response was written used to be buffered.
TEST(http_server_limits, requests_sent_ahead_are_not_read_while_a_response_waits)
{
    serve({});
    client caller(m_server->port());
    caller.send(post(4, 4));
    const std::string part(65536, 'x');
    std::size_t sent = 0;
    for (int i = 0; i < 20; ++i)
    {
        sent += caller.send(part);
        run(2ms);
    }
    CHECK_COMPARE(sent, >, part.size());
    LONGS_EQUAL(1, m_pending.size());
    constexpr std::size_t one_read_and_its_headers = 16384 + 1000;
    CHECK_COMPARE(m_server->counts().m_buffered_bytes, <=, one_read_and_its_headers);
}

TEST(http_server_limits, the_connection_that_waits_the_longest_gives_way_to_a_new_one)
{
    serve({.m_max_connections = 2});
    client first(m_server->port());
    first.send("GET / HT");
    run(20ms);
    client second(m_server->port());
    run(20ms);
    client third(m_server->port());
    third.send(get);
    run(50ms);
    STRCMP_CONTAINS("200 OK", third.read().c_str());
    CHECK_TRUE(first.is_closed());
    CHECK_FALSE(second.is_closed());
    LONGS_EQUAL(1, reached(http_limit::connection_evicted));
}

TEST(http_server_limits, without_a_connection_that_can_give_way_a_new_one_is_refused)
{
    serve({.m_max_connections = 1});
    client first(m_server->port());
    first.send(post(4, 4));
    run(20ms);
    client second(m_server->port());
    run(20ms);
    const auto answer = second.read();
    STRCMP_CONTAINS("503", answer.c_str());
    STRCMP_CONTAINS("Retry-After: 1", answer.c_str());
    STRCMP_CONTAINS("not_run", answer.c_str());
    CHECK_TRUE(second.is_closed());
    m_pending.front()->reply(json_response(200, "{}"));
    run(20ms);
    STRCMP_CONTAINS("200 OK", first.read().c_str());
    LONGS_EQUAL(1, reached(http_limit::connection_refused));
}

TEST(http_server_limits, large_parts_of_bodies_give_way_to_a_small_request)
{
    serve({.m_max_buffered_bytes = 20000});
    client first(m_server->port());
    client second(m_server->port());
    first.send(post(9000, 8000));
    second.send(post(9999, 9000));
    run(50ms);
    client third(m_server->port());
    third.send(post(4000, 4000));
    run(50ms);
    LONGS_EQUAL(1, m_pending.size());
    CHECK_TRUE(second.is_closed());
    CHECK_FALSE(first.is_closed());
    CHECK_COMPARE(m_server->counts().m_buffered_bytes, <=, 20000);
    LONGS_EQUAL(1, reached(http_limit::memory_closed));
}

// What the handler has must not be closed: its job may run.
TEST(http_server_limits, a_request_is_refused_if_those_being_handled_fill_the_memory)
{
    serve({.m_max_buffered_bytes = 20000});
    client first(m_server->port());
    client second(m_server->port());
    first.send(post(9700, 9700));
    second.send(post(9700, 9700));
    run(50ms);
    LONGS_EQUAL(2, m_pending.size());
    client third(m_server->port());
    third.send(post(4000, 4000));
    run(50ms);
    const auto answer = third.read();
    STRCMP_CONTAINS("503", answer.c_str());
    STRCMP_CONTAINS("Retry-After: 1", answer.c_str());
    LONGS_EQUAL(2, m_pending.size());
    CHECK_FALSE(first.is_closed());
    LONGS_EQUAL(1, reached(http_limit::memory_refused));
}

TEST(http_server_limits, headers_that_never_end_are_given_up_after_a_time)
{
    serve({.m_head_timeout = 50ms});
    client caller(m_server->port());
    for (int i = 0; i < 40 && !caller.is_closed(); ++i)
    {
        caller.send("a");
        run(50ms);
    }
    CHECK_TRUE(caller.is_closed());
    LONGS_EQUAL(1, reached(http_limit::head_timeout));
}

TEST(http_server_limits, a_response_that_nobody_reads_is_given_up_after_a_time)
{
    serve({.m_response_timeout = 50ms});
    client caller(m_server->port());
    caller.send(post(4, 4));
    run(20ms);
    constexpr std::size_t more_than_sockets_buffer = 64 << 20;
    m_pending.front()->reply({.m_body = std::string(more_than_sockets_buffer, 'x')});
    run(20ms);
    CHECK_COMPARE(m_server->counts().m_buffered_bytes, >=, more_than_sockets_buffer);
    run(1500ms);
    LONGS_EQUAL(0, m_server->counts().m_open);
    LONGS_EQUAL(0, m_server->counts().m_buffered_bytes);
    LONGS_EQUAL(1, reached(http_limit::response_timeout));
}

TEST(http_server_limits, a_client_that_waits_for_permission_to_send_its_body_gets_it)
{
    serve({});
    client caller(m_server->port());
    caller.send("POST / HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n");
    run(20ms);
    STRCMP_CONTAINS("100 Continue", caller.read().c_str());
    caller.send("body");
    run(20ms);
    LONGS_EQUAL(1, m_pending.size());
}

// The event of such a connection stayed active, and the loop used all processor time.
TEST(http_server_limits, a_connection_that_was_reset_while_its_request_is_handled_costs_nothing)
{
    serve({});
    {
        client caller(m_server->port());
        caller.send(post(4, 4));
        run(20ms);
        LONGS_EQUAL(1, m_pending.size());
        m_pending.front()->on_hangup([] {});
        run(5ms);
        caller.reset_on_close();
    }
    const auto used_before = thread_cpu_time();
    run(400ms);
    CHECK(thread_cpu_time() - used_before < duration(200ms));
}
