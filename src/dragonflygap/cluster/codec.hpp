#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace dragonflygap::cluster
{

struct message;

/// Bytes of a message, as MessagePack.
std::string encode(const message& value);

/// Reads what encode wrote; nothing if the bytes are no message of this version.
std::optional<message> decode(std::string_view bytes);

} // namespace dragonflygap::cluster
