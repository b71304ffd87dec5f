#include "dragonflygap/cell/peer_messages.hpp"

#include <utility>

namespace dragonflygap::cell
{

namespace
{

// Messages of other versions are rejected instead of being misread.
constexpr int protocol_version = 1;

struct frame
{
    int m_version = 0;
    int m_kind = 0;
    vm_id m_from;
    std::string m_body;

    MSGPACK_DEFINE(m_version, m_kind, m_from, m_body)
};

template <std::size_t Kind>
std::optional<peer_message> decode_kind(int kind, const std::string& body)
{
    if constexpr (Kind < std::variant_size_v<peer_message>)
    {
        if (kind != static_cast<int>(Kind))
            return decode_kind<Kind + 1>(kind, body);
        auto message = unpack<std::variant_alternative_t<Kind, peer_message>>(body);
        if (!message)
            return std::nullopt;
        return std::move(*message);
    }
    return std::nullopt;
}

} // namespace

std::string encode(const vm_id& from, const peer_message& message)
{
    return pack(frame{protocol_version, static_cast<int>(message.index()), from,
                      std::visit([](const auto& body) { return pack(body); }, message)});
}

std::optional<peer_envelope> decode_peer(std::string_view bytes)
{
    const auto read = unpack<frame>(bytes);
    if (!read || read->m_version != protocol_version)
        return std::nullopt;
    auto message = decode_kind<0>(read->m_kind, read->m_body);
    if (!message)
        return std::nullopt;
    return peer_envelope{read->m_from, std::move(*message)};
}

} // namespace dragonflygap::cell
