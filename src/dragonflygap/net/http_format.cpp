#include "dragonflygap/net/http_format.hpp"

#include <array>
#include <ctime>
#include <ostream> // Boost.Beast 1.74 needs it, but does not include it
#include <string_view>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>
#include <event2/util.h>

namespace dragonflygap
{

namespace
{

namespace http = boost::beast::http;

bool equal(std::string_view left, std::string_view right)
{
    return boost::beast::iequals({left.data(), left.size()}, {right.data(), right.size()});
}

/// A line break in a header of a forwarded answer would end the header.
bool is_one_line(std::string_view text)
{
    return text.find_first_of("\r\n") == std::string_view::npos;
}

bool has_body(int status)
{
    constexpr int first_final = 200;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status >= first_final && status != no_content && status != not_modified;
}

void append_date(std::string& text)
{
    std::array<char, 64> date{};
    const auto now = std::time(nullptr);
    std::tm utc{};
    gmtime_r(&now, &utc);
    evutil_date_rfc1123(date.data(), date.size(), &utc);
    text.append("Date: ").append(date.data()).append("\r\n");
}

} // namespace

bool closes_connection(const http_response& response)
{
    return equal(response.header("Connection"), "close");
}

std::string format_response(const http_response& response, const response_form& form)
{
    const bool with_body = form.m_with_body && has_body(response.m_status);
    const auto phrase =
        http::obsolete_reason(http::int_to_status(static_cast<unsigned>(response.m_status)));
    std::string text;
    constexpr std::size_t usual_head_bytes = 512;
    text.reserve(usual_head_bytes + (with_body ? response.m_body.size() : 0));
    text.append("HTTP/1.").append(std::to_string(form.m_minor_version));
    text.append(" ").append(std::to_string(response.m_status)).append(" ");
    text.append(phrase.data(), phrase.size()).append("\r\n");
    for (const auto& header : response.m_headers)
    {
        const bool is_framing = equal(header.m_name, "Content-Length") ||
                                equal(header.m_name, "Transfer-Encoding") ||
                                equal(header.m_name, "Connection");
        if (!is_framing && is_one_line(header.m_name) && is_one_line(header.m_value))
            text.append(header.m_name).append(": ").append(header.m_value).append("\r\n");
    }
    if (response.header("Date").empty())
        append_date(text);
    if (has_body(response.m_status))
        text.append("Content-Length: ")
            .append(std::to_string(response.m_body.size()))
            .append("\r\n");
    if (!form.m_keep_alive)
        text.append("Connection: close\r\n");
    else if (form.m_minor_version == 0)
        text.append("Connection: keep-alive\r\n");
    text.append("\r\n");
    if (with_body)
        text.append(response.m_body);
    return text;
}

} // namespace dragonflygap
