#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <msgpack.hpp>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"

/// MessagePack encoding of the core types in rows and peer messages.
namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template <class Tag>
    struct pack<dragonflygap::identifier<Tag>>
    {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out,
                                   const dragonflygap::identifier<Tag>& id) const
        {
            return out.pack(id.m_value);
        }
    };

    template <class Tag>
    struct convert<dragonflygap::identifier<Tag>>
    {
        const msgpack::object& operator()(const msgpack::object& from,
                                          dragonflygap::identifier<Tag>& id) const
        {
            from.convert(id.m_value);
            return from;
        }
    };

    template <>
    struct pack<dragonflygap::resources>
    {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& out, const dragonflygap::resources& r) const
        {
            out.pack_array(3);
            out.pack(r.m_millicores);
            out.pack(r.m_memory_mb);
            out.pack(r.m_accelerators);
            return out;
        }
    };

    template <>
    struct convert<dragonflygap::resources>
    {
        const msgpack::object& operator()(const msgpack::object& from,
                                          dragonflygap::resources& r) const
        {
            if (from.type != type::ARRAY || from.via.array.size != 3)
                throw type_error();
            from.via.array.ptr[0].convert(r.m_millicores);
            from.via.array.ptr[1].convert(r.m_memory_mb);
            from.via.array.ptr[2].convert(r.m_accelerators);
            return from;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace dragonflygap::cell
{

/// Encodes a value with MSGPACK_DEFINE.
template <class T>
std::string pack(const T& value)
{
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, value);
    return {buffer.data(), buffer.size()};
}

/// Decodes what pack() encoded; nothing if the bytes don't match the type.
template <class T>
std::optional<T> unpack(std::string_view bytes)
{
    try
    {
        // Each entry takes a byte at least. Without a limit a few bytes that announce billions of
        // entries would take the process's memory.
        constexpr std::size_t max_depth = 16;
        const auto most = bytes.size();
        T value;
        msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                        msgpack::unpack_limit(most, most, most, most, most, max_depth))
            .get()
            .convert(value);
        return value;
    }
    catch (const msgpack::unpack_error&)
    {
        return std::nullopt;
    }
    catch (const msgpack::type_error&)
    {
        return std::nullopt;
    }
}

} // namespace dragonflygap::cell
