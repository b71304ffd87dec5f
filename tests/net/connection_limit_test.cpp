#include <memory>
#include <vector>

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
