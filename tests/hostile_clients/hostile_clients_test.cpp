// Clients that exceed the limits must neither end a daemon nor keep ordinary callers from being
// served. Uncontrolled clients made a process run out of memory. The bounds follow from the limits
// in the settings, and no check depends on the speed of the machine.

#include "hostile_clients/support/subject.hpp"

#include <CppUTest/TestHarness.h>

using namespace hostile;

namespace
{

constexpr std::size_t mb = 1 << 20;
const std::string unserved_request = "GET /nobody/serves/this HTTP/1.1\r\nHost: x\r\n\r\n";

/// Requests sent ahead, whose responses nobody reads.
void check_pipelined_requests(subject& served, const endpoint& to)
{
    served.check({.m_to = to,
                  .m_connections = 8,
                  .m_traffic = {.m_repeated = unserved_request, .m_repeated_bytes = 16 * mb}});
}

void check_announced_body(subject& served, std::size_t announced_bytes, std::size_t sent_bytes,
                          int connections)
{
    served.check({.m_to = served.callers(),
                  .m_connections = connections,
                  .m_traffic = {.m_first = served.ordinary_head() + "Content-Length: " +
                                           std::to_string(announced_bytes) + "\r\n\r\n",
                                .m_repeated = "x",
                                .m_repeated_bytes = sent_bytes}});
}

/// A body far over the limit, of which everything is sent that the server takes.
void check_body_far_over_the_limit(subject& served)
{
    check_announced_body(served, 1024 * mb, 8 * mb, 16);
}

/// A body of almost twice the limit, without its last byte.
void check_body_of_twice_the_limit(subject& served)
{
    constexpr std::size_t announced_bytes = 2 * mb - 1024;
    check_announced_body(served, announced_bytes, announced_bytes - 1, 96);
}

void check_chunked_body(subject& served, const std::string& first, const std::string& repeated,
                        std::size_t repeated_bytes)
{
    served.check({.m_to = served.callers(),
                  .m_connections = 8,
                  .m_traffic = {.m_first = served.ordinary_head() +
                                           "Transfer-Encoding: chunked\r\n\r\n" + first,
                                .m_repeated = repeated,
                                .m_repeated_bytes = repeated_bytes}});
}

void check_chunks_without_end(subject& served)
{
    check_chunked_body(served, "", "400\r\n" + std::string(0x400, 'x') + "\r\n", 16 * mb);
}

void check_chunk_size_without_end(subject& served)
{
    check_chunked_body(served, "1;", "x", 8 * mb);
}

/// Headers that are in progress when the crowd stops sending.
void check_short_headers_without_end(subject& served)
{
    constexpr std::size_t repeated_bytes = 28000; // 7,000 headers of one character
    served.check({.m_to = served.callers(),
                  .m_connections = 96,
                  .m_traffic = {.m_first = "GET / HTTP/1.1\r\n",
                                .m_repeated = "a:\r\n",
                                .m_repeated_bytes = repeated_bytes}});
}

void check_long_headers_without_end(subject& served)
{
    served.check({.m_to = served.callers(),
                  .m_connections = 16,
                  .m_traffic = {.m_first = "GET / HTTP/1.1\r\n",
                                .m_repeated = "name: " + std::string(1000, 'x') + "\r\n",
                                .m_repeated_bytes = 4 * mb}});
}

constexpr std::size_t few_descriptors = 256;
constexpr std::size_t reserved_descriptors = 16; ///< That a daemon keeps for calls of its own.

/// More connections than the daemon has descriptors, of which every second one sends a part of a
/// request and the others nothing.
void check_silent_connections(subject& served)
{
    const client_crowd silent(served.callers(), 150);
    served.check({.m_to = served.callers(),
                  .m_connections = 150,
                  .m_traffic = {.m_first = "GET / HTTP/1.1\r\nHost: "},
                  .m_max_descriptors = few_descriptors - reserved_descriptors});
}

} // namespace

TEST_GROUP(plain_daemon){};

TEST(plain_daemon, body_announced_far_over_the_limit)
{
    check_body_far_over_the_limit(*subject::make_plain({}));
}

// Bodies of up to twice the limit were read on every connection.
TEST(plain_daemon, body_announced_at_twice_the_limit)
{
    check_body_of_twice_the_limit(*subject::make_plain({.m_max_body_bytes = mb}));
}

TEST(plain_daemon, chunked_body_without_end)
{
    check_chunks_without_end(*subject::make_plain({}));
}

// The line with the size of a chunk was buffered however long it grew.
TEST(plain_daemon, chunk_size_without_end)
{
    check_chunk_size_without_end(*subject::make_plain({}));
}

// While a response waited to be written, everything that arrived was buffered.
TEST(plain_daemon, pipelined_requests_with_unread_responses)
{
    const auto served = subject::make_plain({});
    check_pipelined_requests(*served, served->callers());
}

TEST(plain_daemon, pipelined_requests_to_operators_with_unread_responses)
{
    const auto served = subject::make_plain({});
    check_pipelined_requests(*served, served->operators());
}

TEST(plain_daemon, many_parts_of_bodies)
{
    check_announced_body(*subject::make_plain({}), 65536, 65535, 200);
}

// A connection that never sent a request kept its descriptor for 600 s, and none was left.
TEST(plain_daemon, silent_connections_and_slow_headers)
{
    check_silent_connections(*subject::make_plain({.m_max_descriptors = few_descriptors}));
}

// Short headers took many times their length in memory.
TEST(plain_daemon, short_headers_without_end)
{
    check_short_headers_without_end(*subject::make_plain({}));
}

TEST(plain_daemon, long_headers_without_end)
{
    check_long_headers_without_end(*subject::make_plain({}));
}

TEST_GROUP(cell_daemon){};

TEST(cell_daemon, body_announced_far_over_the_limit)
{
    check_body_far_over_the_limit(*subject::make_cell({}));
}

TEST(cell_daemon, body_announced_at_twice_the_limit)
{
    check_body_of_twice_the_limit(*subject::make_cell({.m_max_body_bytes = mb}));
}

TEST(cell_daemon, chunked_body_without_end)
{
    check_chunks_without_end(*subject::make_cell({}));
}

TEST(cell_daemon, chunk_size_without_end)
{
    check_chunk_size_without_end(*subject::make_cell({}));
}

TEST(cell_daemon, pipelined_requests_with_unread_responses)
{
    const auto served = subject::make_cell({});
    check_pipelined_requests(*served, served->callers());
}

TEST(cell_daemon, pipelined_requests_to_operators_with_unread_responses)
{
    const auto served = subject::make_cell({});
    check_pipelined_requests(*served, served->operators());
}

TEST(cell_daemon, pipelined_readiness_checks_with_unread_responses)
{
    const auto served = subject::make_cell({});
    check_pipelined_requests(*served, served->readiness());
}

// Each within the limits of one request, and together more than the process may use.
TEST(cell_daemon, many_parts_of_bodies)
{
    check_announced_body(*subject::make_cell({.m_max_body_bytes = mb}), mb, mb - 1024, 200);
}

TEST(cell_daemon, silent_connections_and_slow_headers)
{
    check_silent_connections(*subject::make_cell({.m_max_descriptors = few_descriptors}));
}

TEST(cell_daemon, short_headers_without_end)
{
    check_short_headers_without_end(*subject::make_cell({}));
}

TEST(cell_daemon, long_headers_without_end)
{
    check_long_headers_without_end(*subject::make_cell({}));
}
