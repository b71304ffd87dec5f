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
