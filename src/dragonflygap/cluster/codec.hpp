#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dragonflygap::cluster
{

struct message;

/// Encodes a message as MessagePack.
std::string encode(const message& value);

/// Inverse of encode(); nullopt if the bytes are not a message of this protocol version.
std::optional<message> decode(std::string_view bytes);

} // namespace dragonflygap::cluster
