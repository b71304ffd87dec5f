#include "dragonflygap/core/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace dragonflygap
{

std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    endpoint result{.m_ip = std::string(text.substr(0, colon))};
    in_addr ignored{};
    if (inet_pton(AF_INET, result.m_ip.c_str(), &ignored) != 1)
        return std::nullopt;
    const auto port = text.substr(colon + 1);
    const auto [end, error] =
        std::from_chars(port.data(), port.data() + port.size(), result.m_port);
    if (error != std::errc() || end != port.data() + port.size())
        return std::nullopt;
    return result;
}

std::string to_string(const endpoint& value)
{
    return value.m_ip + ":" + std::to_string(value.m_port);
}

} // namespace dragonflygap
