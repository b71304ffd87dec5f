#include "dragonflygap/net/peer_link.hpp"

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

constexpr duration patience = 10s;

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

    // Runs the loop until all have come; its turns are as long as an overloaded leader's.
    int turns_until(std::size_t messages, duration turn)
    {
        int turns = 0;
        const auto slow = m_loop.every(1ms,
                                       [&]
                                       {
                                           ++turns;
                                           std::this_thread::sleep_for(turn);
                                           if (m_received.size() >= messages)
                                               m_loop.stop();
                                       });
        const auto limit = m_loop.after(patience, [&] { m_loop.stop(); });
        m_loop.run();
        return turns;
    }
};

// Incident LOST: an overloaded leader read its members' answers seconds late.
TEST(peer_link, a_burst_of_one_peer_is_read_in_few_turns_of_a_slow_loop)
{
    constexpr int burst = 200;
    m_sender.add(m_peer, {"127.0.0.1", m_receiver.port()});
    send(burst);
    const int turns = turns_until(burst, 20ms);
    LONGS_EQUAL(burst, m_received.size());
    CHECK_COMPARE(turns, <=, 40);
    for (int i = 0; i < burst; ++i)
        STRCMP_EQUAL(std::to_string(i).c_str(), m_received[static_cast<std::size_t>(i)].c_str());
}

TEST(peer_link, a_burst_does_not_hold_timers_up)
{
    constexpr int burst = 400;
    // A timer that comes due while one turn's 64 are read is run after the next turn's.
    constexpr int most_between = 128;
    int since_turn = 0;
    int most = 0;
    m_on_message = [&]
    {
        most = std::max(most, ++since_turn);
        std::this_thread::sleep_for(1ms);
    };
    m_sender.add(m_peer, {"127.0.0.1", m_receiver.port()});
    send(burst);
    const auto timer = m_loop.every(1ms, [&] { since_turn = 0; });
    turns_until(burst, 0ms);
    LONGS_EQUAL(burst, m_received.size());
    CHECK_COMPARE(most, <=, most_between);
}

// More than may wait at a loop that reads nothing stays in the pipe, and comes in order afterwards.
TEST(peer_link, a_loop_that_read_nothing_for_long_gets_all_that_was_sent)
{
    constexpr int burst = 3000;
    m_sender.add(m_peer, {"127.0.0.1", m_receiver.port()});
    for (int i = 0; i < burst; ++i)
        while (!m_sender.send(m_peer, std::to_string(i)))
            std::this_thread::sleep_for(1ms);
    std::this_thread::sleep_for(100ms);
    turns_until(burst, 0ms);
    LONGS_EQUAL(burst, m_received.size());
    for (int i = 0; i < burst; ++i)
        STRCMP_EQUAL(std::to_string(i).c_str(), m_received[static_cast<std::size_t>(i)].c_str());
}
