#include "dragonflygap/request/caller_api.hpp"

#include <algorithm>
#include <charconv>

namespace dragonflygap::request
{

namespace
{

constexpr std::string_view path_prefix = "/v1/requests/";
constexpr std::string_view all_path = "/v1/requests";
constexpr std::size_t max_name_bytes = 64;
constexpr std::size_t max_key_bytes = 128;
constexpr long long max_deadline_ms = 3600000;

bool is_plain_name(std::string_view text, std::size_t max_bytes)
{
    return !text.empty() && text.size() <= max_bytes &&
           std::ranges::all_of(text, [](unsigned char c) { return c > ' ' && c < 127; });
}

tl::unexpected<failure> bad(std::string detail)
{
    return fail(verdict::not_run, reason::bad_request, std::move(detail));
}

outcome<std::optional<duration>> read_deadline(std::string_view text)
{
    if (text.empty())
        return std::optional<duration>();
    long long ms = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
    if (error != std::errc() || end != text.data() + text.size() || ms < 1 || ms > max_deadline_ms)
        return bad(std::string(deadline_header) + " must be a number from 1 to 3600000");
    return std::optional<duration>(std::chrono::milliseconds(ms));
}

outcome<std::optional<bool>> read_idempotent(std::string_view text)
{
    if (text.empty())
        return std::optional<bool>();
    if (text != "true" && text != "false")
        return bad(std::string(idempotent_header) + " must be true or false");
    return std::optional<bool>(text == "true");
}

outcome<caller_id> read_caller(const http_request& request)
{
    const auto caller = request.header(caller_header);
    if (!caller.empty() && !is_plain_name(caller, max_name_bytes))
        return bad(std::string(caller_header) + " must have 1 to 64 visible characters");
    return caller_id(std::string(caller.empty() ? "anonymous" : caller));
}

} // namespace

outcome<cancel_request> read_cancel_request(const http_request& request)
{
    const bool all = request.m_path == all_path;
    if (!all && !request.m_path.starts_with(path_prefix))
        return fail(verdict::not_run, reason::not_found, "requests are cancelled at /v1/requests");
    if (all && request.header(caller_header).empty())
        return bad("all requests are cancelled only for the caller in " +
                   std::string(caller_header));
    const auto caller = read_caller(request);
    if (!caller)
        return tl::make_unexpected(caller.error());
    cancel_request result{.m_caller = *caller};
    if (!all)
        result.m_request = request_id(request.m_path.substr(path_prefix.size()));
    return result;
}

outcome<caller_request> parse_caller_request(const http_request& request)
{
    if (!request.m_path.starts_with(path_prefix))
        return fail(verdict::not_run, reason::not_found, "callers use /v1/requests/CLASS");
    if (request.m_method != "POST")
        return bad("requests are made with POST");
    caller_request result;
    result.m_class = class_id(request.m_path.substr(path_prefix.size()));
    if (!is_plain_name(result.m_class.m_value, max_name_bytes))
        return bad("the class in the path must have 1 to 64 visible characters");
    const auto caller = read_caller(request);
    if (!caller)
        return tl::make_unexpected(caller.error());
    result.m_caller = *caller;
    const auto key = request.header(key_header);
    if (!key.empty() && !is_plain_name(key, max_key_bytes))
        return bad(std::string(key_header) + " must have 1 to 128 visible characters");
    result.m_key = idempotency_key(std::string(key));
    const auto deadline = read_deadline(request.header(deadline_header));
    if (!deadline)
        return tl::make_unexpected(deadline.error());
    result.m_deadline = *deadline;
    const auto idempotent = read_idempotent(request.header(idempotent_header));
    if (!idempotent)
        return tl::make_unexpected(idempotent.error());
    result.m_idempotent = *idempotent;
    return result;
}

} // namespace dragonflygap::request
