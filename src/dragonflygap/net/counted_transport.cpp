#include "dragonflygap/net/counted_transport.hpp"

#include <utility>

namespace dragonflygap
{

namespace
{

// Estimate for the method, version, Host, Content-Length and empty line that the client adds.
constexpr std::uint64_t request_head_bytes = 70;
// Status line and empty line; all headers of a response are known.
constexpr std::uint64_t response_head_bytes = 19;
constexpr std::uint64_t header_framing_bytes = 4;

std::uint64_t header_bytes(const std::vector<http_header>& headers)
{
    std::uint64_t sum = 0;
    for (const auto& header : headers)
        sum += header.m_name.size() + header.m_value.size() + header_framing_bytes;
    return sum;
}

} // namespace

http_transport make_counted_transport(http_transport inner, std::shared_ptr<call_traffic> traffic)
{
    http_transport result = inner;
    result.m_send = [send = std::move(inner.m_send),
                     traffic = std::move(traffic)](const endpoint& to, http_request request,
                                                   duration timeout, http_transport::done on_done)
    {
        ++traffic->m_calls;
        traffic->m_bytes_sent += request_head_bytes + header_bytes(request.m_headers) +
                                 request.m_path.size() + request.m_query.size() +
                                 request.m_body.size();
        return send(to, std::move(request), timeout,
                    [traffic, done = std::move(on_done)](outcome<http_response> answer)
                    {
                        if (answer)
                            traffic->m_bytes_received += response_head_bytes +
                                                         header_bytes(answer->m_headers) +
                                                         answer->m_body.size();
                        done(std::move(answer));
                    });
    };
    return result;
}

} // namespace dragonflygap
