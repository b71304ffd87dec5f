#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflygap
{

/// An IPv4 address and port to bind or connect to; host names are never resolved.
struct endpoint
{
    std::string m_ip;
    std::uint16_t m_port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Parses "127.0.0.1:8080"; nullopt if the text is not an IPv4 address and port.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Formats an endpoint the way parse_endpoint() expects it.
std::string to_string(const endpoint& value);

} // namespace dragonflygap
