#include <string>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/timer_queue.hpp"
#include "node/support/worker_connections.hpp"

#include <CppUTest/TestHarness.h>

using namespace stand_in;

namespace
{

const endpoint target{"10.1.0.1", 9000};

instant g_pool_now;

instant pool_now()
{
    return g_pool_now;
}

/// One VM's pools and a worker that answers at once while it is reachable.
class pool_world
{
public:
    explicit pool_world(connection_options options)
        : m_worker(options.m_max_per_worker),
          m_pools(m_loop, options, 1,
                  {.m_connect =
                       [this](const endpoint& to, connection_id connection,
                              const connection_network::connected& done)
                   {
                       if (m_reachable)
                           m_loop.post([this, to, connection, done]
                                       { done(m_worker.accept(to.m_ip, connection)); });
                   },
                   .m_close = [this](const endpoint& to, connection_id connection)
                   { m_worker.close(to.m_ip, connection); },
                   .m_reset =
                       [this](const endpoint& to, connection_id connection)
                   {
                       if (m_reachable)
                           m_worker.close(to.m_ip, connection);
                   },
                   .m_send =
                       [this](const endpoint&, connection_id, const http_request&,
                              const http_transport::done& done)
                   {
                       if (m_reachable)
                           m_loop.post([done] { done(json_response(200, "{}")); });
                   }})
    {
        g_pool_now = instant(1s);
        monotonic_clock::set_source(&pool_now);
    }
    ~pool_world() { monotonic_clock::set_source(nullptr); }

    void send(int count)
    {
        for (int i = 0; i < count; ++i)
            m_pools.send(target, {}, 300ms,
                         [this](const outcome<http_response>& result) {
                             m_verdicts.push_back(result ? verdict::ran : result.error().m_verdict);
                         });
    }
    void run(duration length)
    {
        const auto until = g_pool_now + length;
        for (auto due = m_timers.next(); due && *due <= until; due = m_timers.next())
        {
            g_pool_now = std::max(g_pool_now, *due);
            m_timers.run_next(g_pool_now);
        }
        g_pool_now = until;
    }
    std::size_t open() const { return m_worker.of_process(1).size(); }

    bool m_reachable = true;
    std::vector<verdict> m_verdicts;
    worker_connections m_worker;

private:
    timer_queue m_timers;
    event_loop m_loop{m_timers};
    connection_pools m_pools;
};

} // namespace

TEST_GROUP(worker_connections){};

TEST(worker_connections, a_worker_resets_connections_over_its_limit)
{
    pool_world world({.m_max_per_vm = 16, .m_max_per_worker = 2});
    world.send(3);
    world.run(1s);
    LONGS_EQUAL(2, world.open());
    LONGS_EQUAL(1, world.m_worker.resets());
    LONGS_EQUAL(
        1, std::count(world.m_verdicts.begin(), world.m_verdicts.end(), verdict::may_have_run));
}

TEST(worker_connections, calls_beyond_the_pool_wait_for_a_free_connection)
{
    pool_world world({.m_max_per_vm = 2});
    world.send(5);
    world.run(1s);
    LONGS_EQUAL(2, world.open());
    LONGS_EQUAL(5, world.m_verdicts.size());
}

TEST(worker_connections, idle_connections_stay_open_or_are_closed_as_set)
{
    {
        pool_world kept({.m_max_per_vm = 16});
        kept.send(16);
        kept.run(60s);
        LONGS_EQUAL(16, kept.open());
        kept.send(1);
        kept.run(1s);
        LONGS_EQUAL(1, kept.open());
    }
    pool_world closed({.m_max_per_vm = 16, .m_close_idle_after = 3s});
    closed.send(16);
    closed.run(2s);
    LONGS_EQUAL(16, closed.open());
    closed.run(2s);
    LONGS_EQUAL(0, closed.open());
}

TEST(worker_connections, a_connection_reset_out_of_reach_stays_open_at_the_worker)
{
    pool_world world({.m_max_per_vm = 4, .m_close_idle_after = 3s});
    world.send(4);
    world.run(1s);
    world.m_reachable = false;
    world.send(1);
    world.run(10s);
    world.m_reachable = true;
    world.run(10s);
    LONGS_EQUAL(1, world.open());
}

TEST(worker_connections, a_call_that_never_connects_has_not_run)
{
    pool_world world({});
    world.m_reachable = false;
    world.send(1);
    world.run(1s);
    LONGS_EQUAL(1, world.m_verdicts.size());
    CHECK_TRUE(world.m_verdicts.front() == verdict::not_run);
}
