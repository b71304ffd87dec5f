#include "dragonflygap/net/peer_link.hpp"

#include <arpa/inet.h>
#include <dirent.h>
#include <sys/socket.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

constexpr duration max_wait = 10s;

/// The sockets of this process that were accepted on a port.
std::vector<int> accepted_sockets(std::uint16_t port)
{
    std::vector<int> result;
    DIR* descriptors = opendir("/proc/self/fd");
    while (const dirent* entry = readdir(descriptors))
    {
        const int descriptor = std::atoi(entry->d_name);
        sockaddr_in local{};
        socklen_t size = sizeof local;
        int listening = 1;
        socklen_t option_size = sizeof listening;
        if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size) == 0 &&
            local.sin_family == AF_INET && ntohs(local.sin_port) == port &&
            getsockopt(descriptor, SOL_SOCKET, SO_ACCEPTCONN, &listening, &option_size) == 0 &&
            listening == 0)
            result.push_back(descriptor);
    }
    closedir(descriptors);
    return result;
}

} // namespace

TEST_GROUP(peer_link)
{
    event_loop m_loop;
    std::vector<std::string> m_received;
    std::function<void()> m_on_message = [] {};
    peer_link m_receiver{m_loop,
                         {.m_listen = {"127.0.0.1", 0},
                          .m_on_message = [this](std::string_view message)
                          {
                              m_received.emplace_back(message);
                              m_on_message();
                          }}};
    peer_link m_sender{m_loop, {.m_listen = {"127.0.0.1", 0}, .m_on_message = {}}};
    vm_id m_peer{"receiver"};

    void send(int messages)
    {
        for (int i = 0; i < messages; ++i)
            CHECK_TRUE(m_sender.send(m_peer, std::to_string(i)));
    }

    // Runs the loop until all messages have arrived or max_wait has passed; returns the number of
    // iterations. A long iteration time simulates an overloaded leader.
    int iterations_until(std::size_t messages, duration iteration_time)
    {
        int iterations = 0;
        const auto delay_timer = m_loop.every(1ms,
                                              [&]
                                              {
                                                  ++iterations;
                                                  std::this_thread::sleep_for(iteration_time);
                                                  if (m_received.size() >= messages)
                                                      m_loop.stop();
                                              });
        const auto timeout = m_loop.after(max_wait, [&] { m_loop.stop(); });
        m_loop.run();
        return iterations;
    }
};

// Incident LOST: an overloaded leader received its members' answers seconds late.
TEST(peer_link, a_burst_of_one_peer_is_received_in_few_iterations_of_a_slow_loop)
{
    constexpr int burst = 200;
    m_sender.add(m_peer, {"127.0.0.1", m_receiver.port()});
    send(burst);
    const int iterations = iterations_until(burst, 20ms);
    LONGS_EQUAL(burst, m_received.size());
    CHECK_COMPARE(iterations, <=, 40);
    for (int i = 0; i < burst; ++i)
        STRCMP_EQUAL(std::to_string(i).c_str(), m_received[static_cast<std::size_t>(i)].c_str());
}

// A VM without power closes nothing, and each restart of it would leave one more open pipe.
TEST(peer_link, accepted_pipes_are_probed)
{
    m_sender.add(m_peer, {"127.0.0.1", m_receiver.port()});
    send(1);
    iterations_until(1, 0ms);
    const auto accepted = accepted_sockets(m_receiver.port());
    LONGS_EQUAL(1, accepted.size());
    int probed = 0;
    socklen_t size = sizeof probed;
    getsockopt(accepted.front(), SOL_SOCKET, SO_KEEPALIVE, &probed, &size);
    LONGS_EQUAL(1, probed);
}

TEST(peer_link, a_burst_does_not_delay_timers)
{
    constexpr int burst = 400;
    // A timer that becomes due while an iteration handles its 64 messages may run only after the
    // next 64.
    constexpr int count_limit = 128;
    int count_since_timer = 0;
    int max_count = 0;
    m_on_message = [&]
    {
        max_count = std::max(max_count, ++count_since_timer);
        std::this_thread::sleep_for(1ms);
    };
    m_sender.add(m_peer, {"127.0.0.1", m_receiver.port()});
    send(burst);
    const auto timer = m_loop.every(1ms, [&] { count_since_timer = 0; });
    iterations_until(burst, 0ms);
    LONGS_EQUAL(burst, m_received.size());
    CHECK_COMPARE(max_count, <=, count_limit);
}

// Messages beyond the queue limit of a blocked loop stay in the pipe and arrive in order later.
TEST(peer_link, a_loop_that_was_blocked_receives_all_messages)
{
    constexpr int burst = 3000;
    m_sender.add(m_peer, {"127.0.0.1", m_receiver.port()});
    for (int i = 0; i < burst; ++i)
        while (!m_sender.send(m_peer, std::to_string(i)))
            std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(100ms);
    iterations_until(burst, 0ms);
    LONGS_EQUAL(burst, m_received.size());
    for (int i = 0; i < burst; ++i)
        STRCMP_EQUAL(std::to_string(i).c_str(), m_received[static_cast<std::size_t>(i)].c_str());
}
