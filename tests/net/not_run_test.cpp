#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"
#include "support/raw_target.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::test;

namespace
{

void set_receive_timeout(int socket, int seconds)
{
    const timeval limit{.tv_sec = seconds, .tv_usec = 0};
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

/// Connections to it stay pending until the test accepts them: another one fills its queue.
class pending_target
{
public:
    pending_target() : m_listener(bind_to_loopback(m_address))
    {
        listen(m_listener, 0);
        constexpr int retransmitted_by_s = 5;
        set_receive_timeout(m_listener, retransmitted_by_s);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        to.sin_port = htons(m_address.m_port);
        connect(m_filling, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    ~pending_target()
    {
        close(m_accepted);
        close(m_filling);
        close(m_listener);
    }
    pending_target(const pending_target&) = delete;
    pending_target& operator=(const pending_target&) = delete;

    /// Returns once the client is connected, after it sent its SYN again.
    void accept_client()
    {
        close(accept(m_listener, nullptr, nullptr));
        m_accepted = accept(m_listener, nullptr, nullptr);
        CHECK_COMPARE(m_accepted, >=, 0);
    }

    /// All that the client wrote until it closed the connection.
    std::string received() const
    {
        constexpr int closed_by_s = 1;
        set_receive_timeout(m_accepted, closed_by_s);
        return read_http_request(m_accepted);
    }

    const endpoint& address() const { return m_address; }

private:
    endpoint m_address;
    int m_listener = -1; ///< Its initializer sets m_address, which must precede it.
    int m_filling = socket(AF_INET, SOCK_STREAM, 0);
    int m_accepted = -1;
};

} // namespace

// The loop polls between the callbacks of one round, so a connection may be established in between.
TEST_GROUP(not_run)
{
    static constexpr duration early = 10ms;
    static constexpr duration late = 50ms;

    event_loop m_loop;
    pending_target m_target;
    std::vector<event_loop::timer_ptr> m_timers;
    std::string m_verdict = "none";

    http_client::call_id send(http_client & client, duration timeout)
    {
        return client.send(m_target.address(),
                           {.m_method = "POST", .m_path = "/run-start", .m_body = "{}"}, timeout,
                           [this](const outcome<http_response>& answer) {
                               m_verdict =
                                   answer ? "answered" : to_string(answer.error().m_verdict);
                           });
    }

    /// Makes the target accept early in a round of the loop that has the timers up to late to run.
    void accept_in_busy_round()
    {
        m_timers.push_back(m_loop.after(early, [this] { m_target.accept_client(); }));
        constexpr int more_than_between_polls = 32;
        for (int i = 0; i < more_than_between_polls; ++i)
            m_timers.push_back(m_loop.after(2 * early, [] {}));
        std::this_thread::sleep_for(2 * late);
        const auto end = m_loop.after(2 * late, [this] { m_loop.stop(); });
        m_loop.run();
    }
};

// Incident LOST, SHORT: the task was started elsewhere, and 2 ms later here too.
TEST(not_run, a_call_that_timed_out_before_it_was_written_is_not_written_later)
{
    http_client client(m_loop, {.m_connect_timeout = 1h});
    send(client, late);
    accept_in_busy_round();
    STRCMP_EQUAL("not_run", m_verdict.c_str());
    STRCMP_EQUAL("", m_target.received().c_str());
}

TEST(not_run, a_call_whose_connect_timed_out_is_not_written_later)
{
    http_client client(m_loop, {.m_connect_timeout = late});
    send(client, 1h);
    accept_in_busy_round();
    STRCMP_EQUAL("not_run", m_verdict.c_str());
    STRCMP_EQUAL("", m_target.received().c_str());
}

// The connection's events go before the posted work.
TEST(not_run, an_urgent_call_that_timed_out_before_it_was_written_is_not_written_later)
{
    http_client client(m_loop, {.m_urgent = true, .m_connect_timeout = 1h});
    send(client, early * 3 / 2);
    accept_in_busy_round();
    STRCMP_EQUAL("not_run", m_verdict.c_str());
    STRCMP_EQUAL("", m_target.received().c_str());
}

TEST(not_run, a_call_cancelled_before_it_was_written_is_not_written_later)
{
    http_client client(m_loop, {.m_connect_timeout = 1h});
    const auto call = send(client, 1h);
    m_timers.push_back(m_loop.after(late, [&client, call] { client.cancel(call); }));
    accept_in_busy_round();
    STRCMP_EQUAL("none", m_verdict.c_str());
    STRCMP_EQUAL("", m_target.received().c_str());
}
