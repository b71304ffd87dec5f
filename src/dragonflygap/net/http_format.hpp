#pragma once

#include <string>

#include "dragonflygap/net/http_message.hpp"

namespace dragonflygap
{

/// What a request says about the form of its response.
struct response_form
{
    int m_minor_version = 1; ///< Of HTTP/1.
    bool m_keep_alive = true;
    bool m_with_body = true; ///< False: the response to a HEAD request.
};

/// True if the response asks for the connection to be closed.
bool closes_connection(const http_response& response);

/// The bytes of a response; adds its length, the date and whether the connection stays open.
std::string format_response(const http_response& response, const response_form& form);

} // namespace dragonflygap
