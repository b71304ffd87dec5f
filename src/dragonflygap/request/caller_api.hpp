#pragma once

#include "dragonflygap/core/verdict.hpp"
#include "dragonflygap/net/http_message.hpp"
#include "dragonflygap/request/request.hpp"

namespace dragonflygap::request
{

inline constexpr std::string_view caller_header = "X-Dragonflygap-Caller";
inline constexpr std::string_view deadline_header = "X-Dragonflygap-Deadline-Ms";
inline constexpr std::string_view idempotent_header = "X-Dragonflygap-Idempotent";
inline constexpr std::string_view request_header = "X-Dragonflygap-Request";
inline constexpr std::string_view class_header = "X-Dragonflygap-Class";
inline constexpr std::string_view key_header = "Idempotency-Key";

/// A parsed caller request. The class provides the defaults for values not given.
struct caller_request
{
    class_id m_class;
    caller_id m_caller;
    idempotency_key m_key;
    std::optional<duration> m_deadline;
    std::optional<bool> m_idempotent;
};

/// Cancels one request of a caller, or all of them if the request id is empty.
struct cancel_request
{
    caller_id m_caller;
    request_id m_request;
};

/// Parses DELETE /v1/requests/ID, or DELETE /v1/requests for all requests of the named caller.
outcome<cancel_request> parse_cancel_request(const http_request& request);

/// Parses POST /v1/requests/CLASS. The failure names the invalid header or part of the request.
outcome<caller_request> parse_caller_request(const http_request& request);

} // namespace dragonflygap::request
