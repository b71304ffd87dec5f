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

/// What a caller asked for; where it is silent, the class decides.
struct caller_request
{
    class_id m_class;
    caller_id m_caller;
    idempotency_key m_key;
    std::optional<duration> m_deadline;
    std::optional<bool> m_idempotent;
};

/// What a caller wants to cancel: one request, or all of its requests if the id is empty.
struct cancel_request
{
    caller_id m_caller;
    request_id m_request;
};

/// Reads DELETE /v1/requests/ID, or DELETE /v1/requests for all requests of the named caller.
outcome<cancel_request> read_cancel_request(const http_request& request);

/// Reads POST /v1/requests/CLASS; the failure names the header or the part that is wrong.
outcome<caller_request> parse_caller_request(const http_request& request);

} // namespace dragonflygap::request
