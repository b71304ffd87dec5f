#include "dragonflygap/net/evhttp_message.hpp"

#include <event2/buffer.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

namespace dragonflygap
{

evhttp_cmd_type method_type(std::string_view method)
{
    if (method == "POST")
        return EVHTTP_REQ_POST;
    if (method == "PUT")
        return EVHTTP_REQ_PUT;
    if (method == "DELETE")
        return EVHTTP_REQ_DELETE;
    return EVHTTP_REQ_GET;
}

void fill_request(evhttp_request* filled, const http_request& request, const std::string& host,
                  bool reuse)
{
    evkeyvalq* headers = evhttp_request_get_output_headers(filled);
    evhttp_add_header(headers, "Host", host.c_str());
    if (!reuse)
        evhttp_add_header(headers, "Connection", "close");
    for (const auto& header : request.m_headers)
        evhttp_add_header(headers, header.m_name.c_str(), header.m_value.c_str());
    evbuffer_add(evhttp_request_get_output_buffer(filled), request.m_body.data(),
                 request.m_body.size());
}

http_response read_response(evhttp_request* request)
{
    http_response result{.m_status = evhttp_request_get_response_code(request)};
    for (const evkeyval* pair = evhttp_request_get_input_headers(request)->tqh_first;
         pair != nullptr; pair = pair->next.tqe_next)
        result.m_headers.push_back({pair->key, pair->value});
    evbuffer* buffer = evhttp_request_get_input_buffer(request);
    result.m_body.resize(evbuffer_get_length(buffer));
    evbuffer_remove(buffer, result.m_body.data(), result.m_body.size());
    return result;
}

std::string encoded_target(const http_request& request)
{
    // Encodes only the characters that would break the request line; the paths of this project
    // contain no others that need encoding.
    std::string target;
    for (const char c : request.m_path)
    {
        if (c == ' ' || c == '?' || c == '#' || c == '%')
        {
            constexpr char digits[] = "0123456789ABCDEF";
            const auto byte = static_cast<unsigned char>(c);
            target += {'%', digits[byte / 16], digits[byte % 16]};
            continue;
        }
        target += c;
    }
    if (!request.m_query.empty())
        target += "?" + request.m_query;
    return target;
}

bool has_framed_body(evhttp_request* request)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    const int status = evhttp_request_get_response_code(request);
    if (status == no_content || status == not_modified)
        return true;
    const evkeyvalq* headers = evhttp_request_get_input_headers(request);
    return evhttp_find_header(headers, "Content-Length") != nullptr ||
           evhttp_find_header(headers, "Transfer-Encoding") != nullptr;
}

} // namespace dragonflygap
