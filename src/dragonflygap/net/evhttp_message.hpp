#pragma once

#include <string>
#include <string_view>

#include "dragonflygap/net/http_message.hpp"
#include <event2/http.h>

/// Translation between this project's HTTP messages and libevent's.
namespace dragonflygap
{

/// GET for a method that isn't known.
evhttp_cmd_type method_type(std::string_view method);

/// Path and query as they appear in the request line.
std::string encoded_target(const http_request& request);

/// Adds the headers and the body of a request; without reuse, the connection closes after it.
void fill_request(evhttp_request* filled, const http_request& request, const std::string& host,
                  bool reuse);

/// Takes the body out of the request.
http_response read_response(evhttp_request* request);

/// False if the response ends when the connection closes, so that truncation can't be detected.
bool has_framed_body(evhttp_request* request);

} // namespace dragonflygap
