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
    std::string m_path = "/"; ///< Decoded, without the query.
    std::string m_query;      ///< Part after the question mark, not decoded.
    std::vector<http_header> m_headers;
    std::string m_body;
    endpoint m_peer; ///< Remote address; set by the server.
    /// The client doesn't use a connection that is open already.
    bool m_new_connection = false;

    /// Value of a header, empty if there is none; compares names case-insensitively.
    std::string_view header(std::string_view name) const;

    /// Value of a query parameter, not decoded; empty if there is none.
    std::string query_value(std::string_view name) const;
};

struct http_response
{
    int m_status = 200;
    std::vector<http_header> m_headers;
    std::string m_body;

    /// Value of a header, empty if there is none; compares names case-insensitively.
    std::string_view header(std::string_view name) const;
};

/// Makes a response with a JSON body.
http_response json_response(int status, std::string body);

/// Makes the response for a failure: status, verdict, reason and detail.
http_response failure_response(const failure& error);

/// Inverse of failure_response(); the detail falls back to the status.
failure failure_of_response(const http_response& response);

inline constexpr std::string_view verdict_header = "X-Dragonflygap-Verdict";
inline constexpr std::string_view vm_header =
    "X-Dragonflygap-Vm"; ///< Name of the calling entry VM.
inline constexpr std::string_view reason_header = "X-Dragonflygap-Reason";

} // namespace dragonflygap
