#include <map>
#include <optional>
#include <set>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "support/raw_target.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::test;

namespace
{

/// A server whose open connections can go silent for good, without a reset, while new ones work.
class silent_target
{
public:
    explicit silent_target(event_loop& loop)
        : m_server(loop, {.m_listen = m_address,
                          .m_handler =
                              [this](const http_request& request, const http_exchange_ptr& exchange)
                          { handle(request, exchange); }})
    {
    }

    void go_silent() { m_silent = m_seen; }
    const endpoint& address() const { return m_address; }

private:
    void handle(const http_request& request, const http_exchange_ptr& exchange)
    {
        m_seen.insert(request.m_peer);
        if (m_silent.count(request.m_peer) != 0)
            m_unanswered.push_back(exchange);
        else
            exchange->reply(json_response(200, "{}"));
    }

    endpoint m_address = closed_address();
    std::set<endpoint> m_seen;
    std::set<endpoint> m_silent;
    std::vector<http_exchange_ptr> m_unanswered;
    http_server m_server;
};

} // namespace

TEST_GROUP(silent_connections)
{
    event_loop m_loop;
    silent_target m_target{m_loop};
    http_client m_client{m_loop, {}};

    /// Sends requests at the same time; returns how many were answered.
    int send(int count, duration timeout, bool new_connection = false)
    {
        int open = count;
        int answered = 0;
        for (int i = 0; i < count; ++i)
            m_client.send(m_target.address(), {.m_new_connection = new_connection}, timeout,
                          [&](const outcome<http_response>& answer)
                          {
                              answered += answer ? 1 : 0;
                              if (--open == 0)
                                  m_loop.stop();
                          });
        m_loop.run();
        return_connections();
        return answered;
    }

    /// Lets the loop put the connections of answered calls back into the pool.
    void return_connections()
    {
        const auto timer = m_loop.after(10ms, [this] { m_loop.stop(); });
        m_loop.run();
    }
};

// Found on a day on which all connections to the store went silent at once: the reads that followed
// the first one without an answer used another silent connection of the pool, for 3.3 s more.
TEST(silent_connections, after_a_timeout_the_other_idle_connections_are_not_used)
{
    LONGS_EQUAL(3, send(3, 5s));
    LONGS_EQUAL(3, m_client.counts().m_open);
    m_target.go_silent();
    LONGS_EQUAL(0, send(1, 100ms));
    LONGS_EQUAL(1, send(1, 2s));
}

TEST(silent_connections, a_connection_that_answered_meanwhile_is_used_again)
{
    LONGS_EQUAL(1, send(1, 5s));
    m_target.go_silent();
    int answered = 0;
    m_client.send(m_target.address(), {}, 300ms, [this](const auto&) { m_loop.stop(); });
    m_client.send(m_target.address(), {}, 5s,
                  [&](const auto& answer) { answered += answer ? 1 : 0; });
    m_loop.run();
    return_connections();
    LONGS_EQUAL(1, answered);
    const auto opened = m_client.counts().m_opened;
    LONGS_EQUAL(1, send(1, 2s));
    LONGS_EQUAL(opened, m_client.counts().m_opened);
}

TEST(silent_connections, a_call_may_ask_for_a_new_connection)
{
    LONGS_EQUAL(2, send(2, 5s));
    m_target.go_silent();
    LONGS_EQUAL(1, send(1, 2s, true));
}

// The limit of connections doesn't keep such a call behind silent ones.
TEST(silent_connections, a_new_connection_replaces_the_oldest_idle_one_at_the_limit)
{
    const int limit = http_client_options{}.m_max_connections_per_endpoint;
    LONGS_EQUAL(limit, send(limit, 5s));
    m_target.go_silent();
    LONGS_EQUAL(1, send(1, 2s, true));
    CHECK(m_client.counts().m_max_per_endpoint <= static_cast<std::size_t>(limit));
}
