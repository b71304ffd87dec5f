#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace dragonflygap
{

/// An IP number and a port to bind or to connect to; names are never resolved.
struct endpoint
{
    std::string m_ip;
    std::uint16_t m_port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Reads "127.0.0.1:8080"; nothing if the text is no IPv4 number and port.
std::optional<endpoint> parse_endpoint(std::string_view text);

/// Writes what parse_endpoint reads.
std::string to_string(const endpoint& value);

} // namespace dragonflygap
