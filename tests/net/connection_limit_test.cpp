#include <memory>
#include <thread>
#include <vector>

#include "dragonflygap/daemon/connection_limits.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"
#include "support/capped_target.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::test;

// A worker resets connections above its limit, which all VMs share.
TEST_GROUP(connection_limit)
{
    event_loop m_loop;

    /// Runs the loop until the condition holds; fails if it never does.
    void run_until(const std::function<bool()>& holds)
    {
        constexpr duration patience = 20s;
        bool held = false;
        const auto check = m_loop.every(5ms,
                                        [&]
                                        {
                                            held = holds();
                                            if (held)
                                                m_loop.stop();
                                        });
        const auto give_up = m_loop.after(patience, [this] { m_loop.stop(); });
        m_loop.run();
        CHECK_TRUE(held);
    }

    static http_request respond_after(int delay_ms)
    {
        return {.m_method = "POST", .m_path = "/" + std::to_string(delay_ms), .m_body = "{}"};
    }
};

// Former leaders made no further calls to their workers, and their idle connections used up the
// workers' limit.
TEST(connection_limit, a_client_without_further_calls_closes_its_idle_connections)
{
    capped_target target(12);
    std::vector<std::unique_ptr<http_client>> former;
    int answered = 0;
    for (int i = 0; i < 3; ++i)
    {
        former.push_back(std::make_unique<http_client>(
            m_loop,
            http_client_options{.m_max_connections_per_endpoint = 4, .m_idle_timeout = 100ms}));
        for (int k = 0; k < 4; ++k)
            former.back()->send(target.address(), respond_after(50), 10s,
                                [&](const auto& answer) { answered += answer ? 1 : 0; });
    }
    run_until([&] { return answered == 12; });
    run_until([&] { return target.open() == 0; });
    http_client next(m_loop, {});
    bool served = false;
    next.send(target.address(), respond_after(0), 10s,
              [&](const auto& answer) { served = answer.has_value(); });
    run_until([&] { return served; });
    LONGS_EQUAL(0, target.refused());
}

// Leaders that were frozen or lost power keep their connections open at a worker.
TEST(connection_limit, a_worker_has_connections_left_after_many_leaders)
{
    constexpr int worker_limit = 64;
    constexpr int former_leaders = 20;
    capped_target worker(worker_limit);
    std::vector<std::unique_ptr<http_client>> leaders;
    int served = 0;
    for (int i = 0; i <= former_leaders; ++i)
    {
        auto options = daemon::worker_client_options;
        options.m_idle_timeout = 1h;
        leaders.push_back(std::make_unique<http_client>(m_loop, options));
        constexpr int calls = 20;
        served = 0;
        for (int k = 0; k < calls; ++k)
            leaders.back()->send(worker.address(), respond_after(5), 10s,
                                 [&](const auto& answer) { served += answer ? 1 : 0; });
        run_until([&] { return served == calls; });
    }
    LONGS_EQUAL(0, worker.refused());
}

TEST(connection_limit, connections_are_counted)
{
    capped_target target(1);
    http_client client(m_loop, {.m_max_connections_per_endpoint = 2});
    int ended = 0;
    for (int i = 0; i < 3; ++i)
        client.send(target.address(), respond_after(50), 10s, [&](const auto&) { ++ended; });
    run_until([&] { return ended == 3 && client.counts().m_idle == 1; });
    const auto counts = client.counts();
    LONGS_EQUAL(1, counts.m_open);
    LONGS_EQUAL(1, counts.m_endpoints);
    LONGS_EQUAL(1, counts.m_max_per_endpoint);
    LONGS_EQUAL(1, counts.m_calls_queued);
    CHECK_COMPARE(counts.m_failed, >=, 1);
    LONGS_EQUAL(counts.m_opened, counts.m_failed + counts.m_open);
}

// A stop was sent on a new connection each time, which the worker reset, while a renewal's
// connection was open.
TEST(connection_limit, calls_use_an_open_connection_while_new_ones_are_reset)
{
    capped_target target(1);
    http_client client(m_loop, {.m_delay_refused = true});
    constexpr int rounds = 20;
    int ended = 0;
    int served = 0;
    std::function<void(int)> call = [&](int delay_ms)
    {
        client.send(target.address(), respond_after(delay_ms), 10s,
                    [&, delay_ms](const auto& answer)
                    {
                        ++ended;
                        served += answer ? 1 : 0;
                        if (ended < rounds)
                            m_loop.post([&, delay_ms] { call(delay_ms); });
                    });
    };
    constexpr int renewal_ms = 20;
    call(renewal_ms);
    run_until([&] { return served > 0; });
    call(0);
    run_until([&] { return ended >= rounds; });
    // A call may still meet the limit when the client tries a new connection.
    CHECK_COMPARE(served, >, rounds / 2);
    LONGS_EQUAL(ended - served, target.refused());
}

// The endpoint accepts no connection for a while; calls must get through as soon as it does.
TEST(connection_limit, calls_that_waited_are_sent_once_connections_are_accepted)
{
    capped_target target(1);
    http_client other(m_loop, {.m_idle_timeout = 50ms});
    bool taken = false;
    other.send(target.address(), respond_after(0), 10s, [&](const auto&) { taken = true; });
    run_until([&] { return taken; });
    http_client client(m_loop, {.m_delay_refused = true});
    int served = 0;
    std::function<void()> order = [&]
    {
        client.send(target.address(), respond_after(0), 10s,
                    [&](const auto& answer)
                    {
                        served += answer ? 1 : 0;
                        if (!answer)
                            m_loop.post(order);
                    });
    };
    for (int i = 0; i < 3; ++i)
        order();
    run_until([&] { return served == 3; });
}

// A call that waited for the delay was never started by it: timers count from the begin of the
// loop's turn, so the timer fired early and wasn't set again. The call waited for the end of the
// long poll.
TEST(connection_limit, a_call_that_waited_for_the_delay_does_not_wait_for_a_long_poll)
{
    constexpr int long_poll_ms = 3000;
    constexpr duration work_in_turn = 5ms;
    capped_target target(2);
    http_client other(m_loop, {});
    http_client client(m_loop, {.m_delay_refused = true});
    bool polled = false;
    bool taken = false;
    bool served = false;
    client.send(target.address(), respond_after(long_poll_ms), 10s,
                [&](const auto&) { polled = true; });
    other.send(target.address(), respond_after(0), 10s, [&](const auto&) { taken = true; });
    run_until([&] { return taken && target.open() == 2; });
    client.send(target.address(), respond_after(0), 10s,
                [&](const auto& answer)
                {
                    CHECK_FALSE(answer.has_value());
                    other.close_idle(target.address());
                    std::this_thread::sleep_for(work_in_turn);
                    client.send(target.address(), respond_after(0), 10s,
                                [&](const auto& second) { served = second.has_value(); });
                });
    run_until([&] { return served || polled; });
    CHECK_TRUE(served);
    CHECK_FALSE(polled);
}
