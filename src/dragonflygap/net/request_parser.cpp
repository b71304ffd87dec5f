#include "dragonflygap/net/request_parser.hpp"

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <event2/http.h>

namespace dragonflygap
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string to_string(beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Sets path and query; false if the target of a request line isn't a URI.
bool read_target(const std::string& target, http_request& request)
{
    evhttp_uri* uri = evhttp_uri_parse_with_flags(target.c_str(), EVHTTP_URI_NONCONFORMANT);
    if (uri == nullptr)
        return false;
    request.m_path.clear();
    if (const char* path = evhttp_uri_get_path(uri))
    {
        std::size_t size = 0;
        char* decoded = evhttp_uridecode(path, 0, &size);
        request.m_path.assign(decoded == nullptr ? "" : decoded, decoded == nullptr ? 0 : size);
        std::free(decoded);
    }
    if (const char* query = evhttp_uri_get_query(uri))
        request.m_query = query;
    evhttp_uri_free(uri);
    return true;
}

/// Position after the empty line that ends a head, searched from a position; npos: none yet.
std::size_t end_of_head(std::string_view input, std::size_t from)
{
    for (auto at = input.find('\n', from); at != std::string_view::npos;
         at = input.find('\n', at + 1))
    {
        const auto rest = input.substr(at + 1, 2);
        if (rest.starts_with('\n'))
            return at + 2;
        if (rest == "\r\n")
            return at + 3;
    }
    return std::string_view::npos;
}

bool has_bare_line_break(std::string_view head)
{
    for (auto at = head.find('\n'); at != std::string_view::npos; at = head.find('\n', at + 1))
        if (at == 0 || head[at - 1] != '\r')
            return true;
    return false;
}

/// A server may accept lines that end without a carriage return (RFC 9112); Beast does not.
std::string with_carriage_returns(std::string_view head)
{
    std::string result;
    for (std::size_t i = 0; i < head.size(); ++i)
    {
        if (head[i] == '\n' && (i == 0 || head[i - 1] != '\r'))
            result += '\r';
        result += head[i];
    }
    return result;
}

class message_parser : public http::basic_parser<true>
{
public:
    http_request m_request;
    /// Names and values of the headers, each followed by a line break. A header takes several
    /// times its length once it is expanded.
    std::string m_headers;
    bool m_http_1_1 = true;
    bool m_is_head = false;
    bool m_awaits_continue = false;

private:
    void on_request_impl(http::verb verb, beast::string_view method, beast::string_view target,
                         int version, beast::error_code& error) override
    {
        constexpr int http_1_1 = 11;
        m_http_1_1 = version >= http_1_1;
        m_is_head = verb == http::verb::head;
        m_request.m_method = to_string(method);
        if (!read_target(to_string(target), m_request))
            error = http::error::bad_target;
    }

    void on_response_impl(int /*code*/, beast::string_view /*reason*/, int /*version*/,
                          beast::error_code& /*error*/) override
    {
    }

    void on_field_impl(http::field name, beast::string_view text, beast::string_view value,
                       beast::error_code& /*error*/) override
    {
        if (m_body_started) // a trailer
            return;
        m_headers.append(text.data(), text.size()).append("\n");
        m_headers.append(value.data(), value.size()).append("\n");
        if (name == http::field::expect && beast::iequals(value, "100-continue"))
            m_awaits_continue = m_http_1_1;
    }

    void on_header_impl(beast::error_code& /*error*/) override {}

    void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                           beast::error_code& /*error*/) override
    {
        m_body_started = true;
        // A client that announces a large body and sends none must not reserve memory for it.
        constexpr std::uint64_t max_reserved_bytes = 65536;
        if (length)
            m_request.m_body.reserve(
                static_cast<std::size_t>(std::min(*length, max_reserved_bytes)));
    }

    std::size_t on_body_impl(beast::string_view body, beast::error_code& /*error*/) override
    {
        m_request.m_body.append(body.data(), body.size());
        return body.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, beast::string_view /*extensions*/,
                              beast::error_code& /*error*/) override
    {
    }

    std::size_t on_chunk_body_impl(std::uint64_t /*remain*/, beast::string_view body,
                                   beast::error_code& error) override
    {
        return on_body_impl(body, error);
    }

    void on_finish_impl(beast::error_code& /*error*/) override {}

    bool m_body_started = false;
};

} // namespace

struct request_parser::state
{
    message_parser m_parser;
    std::size_t m_max_head_bytes = 0;
    std::size_t m_searched = 0; ///< Of the input, in which no head ends.
    bool m_head_complete = false;

    // A client that sends the head in many parts must not make each of them cost a search of all.
    status complete_head(std::string& input)
    {
        const auto end = end_of_head(input, m_searched);
        if (std::min(end, input.size()) > m_max_head_bytes)
            return status::head_too_large;
        if (end == std::string::npos)
        {
            constexpr std::size_t longest_end = 3;
            m_searched = input.size() - std::min(input.size(), longest_end);
            return status::head;
        }
        m_head_complete = true;
        const auto head = std::string_view(input).substr(0, end);
        if (has_bare_line_break(head))
            input.replace(0, end, with_carriage_returns(head));
        return status::complete;
    }

    // A line that gives the size of a chunk is parsed once it is complete; so are trailers.
    status need_more(const std::string& input) const
    {
        return input.size() > m_max_head_bytes ? status::malformed : status::body;
    }
};

request_parser::request_parser(std::size_t max_head_bytes, std::size_t max_body_bytes)
    : m_state(std::make_unique<state>())
{
    m_state->m_max_head_bytes = max_head_bytes;
    // The limit was checked before the parser gets the head, whose lines may become longer.
    m_state->m_parser.header_limit(static_cast<std::uint32_t>(2 * max_head_bytes));
    m_state->m_parser.body_limit(max_body_bytes);
    m_state->m_parser.eager(true);
}

request_parser::~request_parser() = default;
request_parser::request_parser(request_parser&&) noexcept = default;
request_parser& request_parser::operator=(request_parser&&) noexcept = default;

request_parser::status request_parser::parse(std::string& input)
{
    if (!m_state->m_head_complete)
        if (const auto head = m_state->complete_head(input); head != status::complete)
            return head;
    auto& parser = m_state->m_parser;
    std::size_t parsed = 0;
    beast::error_code error;
    while (!parser.is_done() && parsed < input.size() && !error)
        parsed += parser.put(
            boost::asio::const_buffer(input.data() + parsed, input.size() - parsed), error);
    input.erase(0, parsed);
    if (error == http::error::need_more)
        return m_state->need_more(input);
    if (error == http::error::header_limit)
        return status::head_too_large;
    if (error == http::error::body_limit)
        return status::body_too_large;
    if (error)
        return status::malformed;
    return parser.is_done() ? status::complete : status::body;
}

std::size_t request_parser::held_bytes() const
{
    return m_state->m_parser.m_headers.size() + m_state->m_parser.m_request.m_body.size();
}

bool request_parser::awaits_continue() const
{
    return m_state->m_parser.m_awaits_continue;
}

bool request_parser::keep_alive() const
{
    return m_state->m_parser.keep_alive();
}

int request_parser::minor_version() const
{
    return m_state->m_parser.m_http_1_1 ? 1 : 0;
}

bool request_parser::is_head() const
{
    return m_state->m_parser.m_is_head;
}

http_request request_parser::take()
{
    auto& parser = m_state->m_parser;
    std::string_view rest = parser.m_headers;
    const auto next = [&rest]
    {
        const auto line = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(line.size() + 1);
        return std::string(line);
    };
    while (!rest.empty())
    {
        auto name = next();
        parser.m_request.m_headers.push_back({std::move(name), next()});
    }
    return std::move(parser.m_request);
}

} // namespace dragonflygap
