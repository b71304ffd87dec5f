#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/verdict.hpp"

namespace dragonflygap
{

struct http_header
{
    std::string m_name;
    std::string m_value;
};

struct http_request
{
    std::string m_method = "GET";
    std::string m_path = "/"; ///< Decoded path, without the query.
    std::string m_query;      ///< What follows the question mark, as sent.
    std::vector<http_header> m_headers;
    std::string m_body;
    endpoint m_peer; ///< The caller's end of the connection, where a server got the request.

    /// Value of a header, its name compared without case; empty if there is none.
    std::string_view header(std::string_view name) const;

    /// Value of a parameter of the query; empty if there is none.
    std::string query_value(std::string_view name) const;
};

struct http_response
{
    int m_status = 200;
    std::vector<http_header> m_headers;
    std::string m_body;

    /// Value of a header, its name compared without case; empty if there is none.
    std::string_view header(std::string_view name) const;
};

/// An answer with a JSON body.
http_response json_response(int status, std::string body);

/// The answer that reports a failure: its status, verdict, reason and detail.
http_response failure_response(const failure& error);

/// Reads back what failure_response wrote; falls back on the status where it can't.
failure failure_of_response(const http_response& response);

inline constexpr std::string_view verdict_header = "X-Dragonflygap-Verdict";
inline constexpr std::string_view vm_header = "X-Dragonflygap-Vm"; ///< The calling entry VM.
inline constexpr std::string_view reason_header = "X-Dragonflygap-Reason";

} // namespace dragonflygap
