#include "dragonflygap/request/caller_api.hpp"

#include <algorithm>
#include <charconv>

namespace dragonflygap::request
{

namespace
{

constexpr std::string_view request_path_prefix = "/v1/requests/";
constexpr std::string_view all_requests_path = "/v1/requests";
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_key_bytes = 128;
constexpr long long max_deadline_ms = 3600000;

bool is_visible_ascii(std::string_view text, std::size_t max_bytes)
{
    return !text.empty() && text.size() <= max_bytes &&
           std::ranges::all_of(text, [](unsigned char c) { return c > ' ' && c < 127; });
}

tl::unexpected<failure> bad_request_failure(std::string detail)
{
    return fail(verdict::not_run, reason::bad_request, std::move(detail));
}

outcome<std::optional<duration>> parse_deadline(std::string_view text)
{
    if (text.empty())
        return std::optional<duration>();
    long long ms = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc() || end != text.data() + text.size() || ms < 1 || ms > max_deadline_ms)
        return bad_request_failure(std::string(deadline_header) +
                                   " must be a number from 1 to 3600000");
    return std::optional<duration>(std::chrono::milliseconds(ms));
}

outcome<std::optional<bool>> parse_idempotent(std::string_view text)
{
    if (text.empty())
        return std::optional<bool>();
    if (text != "true" && text != "false")
        return bad_request_failure(std::string(idempotent_header) + " must be true or false");
    return std::optional<bool>(text == "true");
}

outcome<caller_id> parse_caller(const http_request& request)
{
    const auto caller = request.header(caller_header);
    if (!caller.empty() && !is_visible_ascii(caller, max_name_bytes))
        return bad_request_failure(std::string(caller_header) +
                                   " must have 1 to 64 visible characters");
    return caller_id(std::string(caller.empty() ? "anonymous" : caller));
}

} // namespace

outcome<cancel_request> parse_cancel_request(const http_request& request)
{
    const bool all = request.m_path == all_requests_path;
    if (!all && !request.m_path.starts_with(request_path_prefix))
        return fail(verdict::not_run, reason::not_found, "requests are cancelled at /v1/requests");
    if (all && request.header(caller_header).empty())
        return bad_request_failure("all requests can be cancelled only for a caller named in " +
                                   std::string(caller_header));
    const auto caller = parse_caller(request);
    if (!caller)
        return tl::make_unexpected(caller.error());
    cancel_request result{.m_caller = *caller};
    if (!all)
        result.m_request = request_id(request.m_path.substr(request_path_prefix.size()));
    return result;
}

outcome<caller_request> parse_caller_request(const http_request& request)
{
    if (!request.m_path.starts_with(request_path_prefix))
        return fail(verdict::not_run, reason::not_found,
                    "callers send requests to /v1/requests/CLASS");
    if (request.m_method != "POST")
        return bad_request_failure("requests must use POST");
    caller_request result;
    result.m_class = class_id(request.m_path.substr(request_path_prefix.size()));
    if (!is_visible_ascii(result.m_class.m_value, max_name_bytes))
        return bad_request_failure("the class in the path must have 1 to 64 visible characters");
    const auto caller = parse_caller(request);
    if (!caller)
        return tl::make_unexpected(caller.error());
    result.m_caller = *caller;
    const auto key = request.header(key_header);
    if (!key.empty() && !is_visible_ascii(key, max_key_bytes))
        return bad_request_failure(std::string(key_header) +
                                   " must have 1 to 128 visible characters");
    result.m_key = idempotency_key(std::string(key));
    const auto deadline = parse_deadline(request.header(deadline_header));
    if (!deadline)
        return tl::make_unexpected(deadline.error());
    result.m_deadline = *deadline;
    const auto idempotent = parse_idempotent(request.header(idempotent_header));
    if (!idempotent)
        return tl::make_unexpected(idempotent.error());
    result.m_idempotent = *idempotent;
    return result;
}

} // namespace dragonflygap::request
