#include <string>
#include <thread>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"
#include "support/raw_target.hpp"

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;
using namespace dragonflygap::test;

TEST_GROUP(urgent_client){};

// Incident DRAIN of serra-la-tear-grown: a busy leader read 4 KB of the list of workers a round.
TEST(urgent_client, a_busy_loop_reads_a_long_response_before_it_handles_other_events)
{
    const std::string body(400000, 'x');
    raw_target target(
        [&body](int socket)
        {
            read_http_request(socket);
            write_all(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                  "\r\n\r\n" + body);
            wait_for_close(socket);
        });
    event_loop loop;
    http_client client(loop, {.m_urgent = true});
    constexpr int busy_timers = 100;
    int callbacks = 0;
    std::vector<event_loop::timer_ptr> timers;
    for (int i = 0; i < busy_timers; ++i)
        timers.push_back(loop.every(100us,
                                    [&callbacks]
                                    {
                                        ++callbacks;
                                        std::this_thread::sleep_for(1ms);
                                    }));
    std::size_t received = 0;
    client.send(target.address(), {}, 20s,
                [&](const outcome<http_response>& response)
                {
                    received = response ? response->m_body.size() : 0;
                    loop.stop();
                });
    loop.run();
    LONGS_EQUAL(body.size(), received);
    CHECK_COMPARE(callbacks, <, 2 * busy_timers);
}
