#include "dragonflygap/net/http_message.hpp"

#include <algorithm>
#include <cctype>
#include <utility>

#include <nlohmann/json.hpp>

namespace dragonflygap
{

namespace
{

bool same_name(std::string_view left, std::string_view right)
{
    return std::ranges::equal(left, right,
                              [](unsigned char a, unsigned char b)
                              { return std::tolower(a) == std::tolower(b); });
}

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name)
{
    for (const auto& header : headers)
        if (same_name(header.m_name, name))
            return header.m_value;
    return {};
}

} // namespace

std::string_view http_request::header(std::string_view name) const
{
    return find_header(m_headers, name);
}

std::string http_request::query_value(std::string_view name) const
{
    std::string_view rest = m_query;
    while (!rest.empty())
    {
        const auto pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name)
            return std::string(pair.substr(equals + 1));
    }
    return {};
}

std::string_view http_response::header(std::string_view name) const
{
    return find_header(m_headers, name);
}

http_response json_response(int status, std::string body)
{
    return {.m_status = status,
            .m_headers = {{"Content-Type", "application/json"}},
            .m_body = std::move(body)};
}

http_response failure_response(const failure& error)
{
    const nlohmann::json body{{"verdict", to_string(error.m_verdict)},
                              {"reason", to_string(error.m_reason)},
                              {"detail", error.m_detail}};
    auto response =
        json_response(http_status(error.m_reason),
                      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    response.m_headers.push_back(
        {std::string(verdict_header), std::string(to_string(error.m_verdict))});
    response.m_headers.push_back(
        {std::string(reason_header), std::string(to_string(error.m_reason))});
    return response;
}

failure failure_of_response(const http_response& response)
{
    failure result{.m_verdict = verdict_from_string(response.header(verdict_header)),
                   .m_reason = reason_from_string(response.header(reason_header)),
                   .m_detail = "status " + std::to_string(response.m_status)};
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    if (body.is_object() && body.contains("detail") && body["detail"].is_string())
        result.m_detail = body["detail"].get<std::string>();
    return result;
}

} // namespace dragonflygap
