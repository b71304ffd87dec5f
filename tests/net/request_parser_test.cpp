#include "dragonflygap/net/request_parser.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

using status = request_parser::status;

constexpr std::size_t max_head_bytes = 1000;
constexpr std::size_t max_body_bytes = 100;
const std::string get = "GET /a%20b?x=1 HTTP/1.1\r\nHost: mill\r\n\r\n";
const std::string post = "POST /q HTTP/1.1\r\nHost: mill\r\n";

} // namespace

TEST_GROUP(request_parser)
{
    request_parser m_parser{max_head_bytes, max_body_bytes};
    std::string m_input;

    void check(status expected, const std::string& bytes)
    {
        m_input += bytes;
        CHECK(expected == m_parser.parse(m_input));
    }

    /// Gives the parser one byte after the other.
    status parse_slowly(const std::string& bytes)
    {
        auto result = status::head;
        for (const char byte : bytes)
        {
            m_input += byte;
            result = m_parser.parse(m_input);
        }
        return result;
    }
};

TEST(request_parser, reads_method_path_query_and_headers)
{
    check(status::complete, get);
    CHECK_TRUE(m_parser.keep_alive());
    const auto request = m_parser.take();
    STRCMP_EQUAL("GET", request.m_method.c_str());
    STRCMP_EQUAL("/a b", request.m_path.c_str());
    STRCMP_EQUAL("x=1", request.m_query.c_str());
    CHECK("mill" == request.header("host"));
}

TEST(request_parser, leaves_the_next_request_in_the_input)
{
    check(status::complete, get + get);
    CHECK(m_input == get);
}

TEST(request_parser, reads_a_request_that_arrives_byte_by_byte)
{
    CHECK(status::complete == parse_slowly(post + "Content-Length: 4\r\n\r\nbody"));
    STRCMP_EQUAL("body", m_parser.take().m_body.c_str());
}

TEST(request_parser, reads_chunks_that_arrive_byte_by_byte_and_ignores_trailers)
{
    CHECK(status::complete ==
          parse_slowly(post + "Transfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n2\r\nde\r\n0\r\n"
                              "Trailer: x\r\n\r\n"));
    const auto request = m_parser.take();
    STRCMP_EQUAL("abcde", request.m_body.c_str());
    CHECK(request.header("Trailer").empty());
}

TEST(request_parser, refuses_an_announced_body_before_it_arrives)
{
    check(status::body_too_large, post + "Content-Length: 101\r\n\r\n");
}

TEST(request_parser, accepts_a_body_at_the_limit)
{
    check(status::body, post + "Content-Length: 100\r\n\r\n");
    check(status::complete, std::string(100, 'x'));
}

TEST(request_parser, refuses_chunks_beyond_the_limit)
{
    check(status::body,
          post + "Transfer-Encoding: chunked\r\n\r\n40\r\n" + std::string(64, 'x') + "\r\n");
    check(status::body_too_large, "40\r\n" + std::string(64, 'x') + "\r\n");
}

// Such a line was buffered however long it grew.
TEST(request_parser, refuses_a_chunk_size_without_end)
{
    check(status::body, post + "Transfer-Encoding: chunked\r\n\r\n1;");
    check(status::body, std::string(max_head_bytes - 10, 'x'));
    check(status::malformed, std::string(max_head_bytes, 'x'));
}

TEST(request_parser, refuses_trailers_without_end)
{
    check(status::body, post + "Transfer-Encoding: chunked\r\n\r\n0\r\n");
    auto result = status::body;
    for (std::size_t i = 0; i < max_head_bytes && result == status::body; ++i)
    {
        m_input += "name: value\r\n";
        result = m_parser.parse(m_input);
    }
    CHECK(result == status::malformed || result == status::head_too_large);
}

TEST(request_parser, refuses_headers_beyond_the_limit)
{
    check(status::head, get.substr(0, get.size() - 2));
    auto result = status::head;
    for (std::size_t i = 0; i < max_head_bytes && result == status::head; ++i)
    {
        m_input += "name: value\r\n";
        result = m_parser.parse(m_input);
    }
    CHECK(result == status::head_too_large);
    CHECK_COMPARE(m_input.size(), <, 2 * max_head_bytes);
}

TEST(request_parser, refuses_what_is_not_http)
{
    check(status::malformed, "hello\r\n\r\n");
}

TEST(request_parser, refuses_a_length_beside_chunks)
{
    check(status::malformed,
          post + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
}

// Short headers took many times their length in memory.
TEST(request_parser, holds_no_more_than_has_arrived)
{
    std::string headers;
    for (int i = 0; i < 200; ++i)
        headers += "a:\r\n";
    check(status::head, post + headers);
    LONGS_EQUAL(0, m_parser.held_bytes());
    check(status::body, "Content-Length: 4\r\n\r\nbo");
    CHECK_COMPARE(m_parser.held_bytes(), <, post.size() + headers.size() + 30);
    check(status::complete, "dy");
    LONGS_EQUAL(202, m_parser.take().m_headers.size());
}

TEST(request_parser, accepts_lines_without_carriage_returns)
{
    CHECK(status::complete ==
          parse_slowly("POST /q HTTP/1.1\nHost: mill\nContent-Length: 2\n\nab"));
    const auto request = m_parser.take();
    CHECK("mill" == request.header("Host"));
    STRCMP_EQUAL("ab", request.m_body.c_str());
}

TEST(request_parser, accepts_a_head_at_the_limit_and_no_longer_one)
{
    const std::string start = "GET / HTTP/1.1\r\nname: ";
    const std::string end = "\r\n\r\n";
    const std::string fill(max_head_bytes - start.size() - end.size(), 'x');
    check(status::complete, start + fill + end);
    m_parser = request_parser(max_head_bytes, max_body_bytes);
    check(status::head_too_large, start + fill + "x" + end);
}

TEST(request_parser, a_client_may_close_the_connection_or_wait_before_its_body)
{
    check(status::body, "POST /q HTTP/1.1\r\nConnection: close\r\nExpect: 100-continue\r\n"
                        "Content-Length: 4\r\n\r\n");
    CHECK_TRUE(m_parser.awaits_continue());
    check(status::complete, "body");
    CHECK_FALSE(m_parser.keep_alive());
}

TEST(request_parser, http_1_0_closes_the_connection_unless_told_otherwise)
{
    check(status::complete, "GET / HTTP/1.0\r\n\r\n");
    CHECK_FALSE(m_parser.keep_alive());
    LONGS_EQUAL(0, m_parser.minor_version());
}
