#include "dragonflygap/net/http_format.hpp"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace dragonflygap;

namespace
{

std::size_t count(const std::string& text, const std::string& part)
{
    std::size_t result = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++result;
    return result;
}

} // namespace

TEST_GROUP(http_format){};

TEST(http_format, a_response_has_its_status_headers_length_and_body)
{
    const auto text = format_response(json_response(404, "{}"), {});
    CHECK_TRUE(text.starts_with("HTTP/1.1 404 Not Found\r\n"));
    LONGS_EQUAL(1, count(text, "Content-Type: application/json\r\n"));
    LONGS_EQUAL(1, count(text, "Content-Length: 2\r\n"));
    LONGS_EQUAL(1, count(text, "Date: "));
    LONGS_EQUAL(0, count(text, "Connection:"));
    CHECK_TRUE(text.ends_with("\r\n\r\n{}"));
}

TEST(http_format, the_length_is_that_of_the_body_whatever_a_forwarded_answer_says)
{
    const auto text = format_response(
        {.m_headers = {{"content-length", "7"}, {"Transfer-Encoding", "chunked"}}, .m_body = "ok"},
        {});
    LONGS_EQUAL(0, count(text, "chunked"));
    LONGS_EQUAL(0, count(text, ": 7"));
    LONGS_EQUAL(1, count(text, "Content-Length: 2\r\n"));
}

TEST(http_format, says_once_whether_the_connection_stays_open)
{
    const http_response closing{.m_headers = {{"Connection", "close"}}};
    CHECK_TRUE(closes_connection(closing));
    LONGS_EQUAL(1, count(format_response(closing, {.m_keep_alive = false}), "Connection: close"));
    LONGS_EQUAL(1, count(format_response({}, {.m_minor_version = 0}), "Connection: keep-alive"));
}

TEST(http_format, a_response_without_content_has_no_length)
{
    LONGS_EQUAL(0, count(format_response({.m_status = 204}, {}), "Content-Length"));
}

TEST(http_format, a_response_to_head_has_the_length_of_its_body_without_it)
{
    const auto text = format_response({.m_body = "body"}, {.m_with_body = false});
    LONGS_EQUAL(1, count(text, "Content-Length: 4\r\n"));
    CHECK_TRUE(text.ends_with("\r\n\r\n"));
}

TEST(http_format, a_line_break_in_a_header_can_not_add_another)
{
    const auto text = format_response({.m_headers = {{"Name", "x\r\nOther: y"}}}, {});
    LONGS_EQUAL(0, count(text, "Other"));
}
