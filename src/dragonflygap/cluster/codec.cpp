#include "dragonflygap/cluster/codec.hpp"

#include <tuple>
#include <type_traits>
#include <utility>

#include <msgpack.hpp>

#include "dragonflygap/cluster/message.hpp"

namespace dragonflygap::cluster
{

namespace
{

// Messages of another version are dropped rather than misread.
constexpr int protocol_version = 1;

// The fields of each message, in wire order.
template <class T>
auto fields(T& m)
{
    using type = std::remove_const_t<T>;
    if constexpr (std::is_same_v<type, class_load>)
        return std::tie(m.m_class, m.m_queued, m.m_running);
    else if constexpr (std::is_same_v<type, load_digest>)
        return std::tie(m.m_slots, m.m_free_slots, m.m_oldest_wait_ms, m.m_classes);
    else if constexpr (std::is_same_v<type, introduction>)
        return std::tie(m.m_vm, m.m_data_centre, m.m_address);
    else if constexpr (std::is_same_v<type, heartbeat>)
        return std::tie(m.m_sequence, m.m_data_centre, m.m_leaving, m.m_config_version,
                        m.m_groups_owned, m.m_load, m.m_hears_receiver, m.m_address,
                        m.m_introduced);
    else if constexpr (std::is_same_v<type, forwarded_request>)
        return std::tie(m.m_call, m.m_request, m.m_caller, m.m_class, m.m_key, m.m_idempotent,
                        m.m_hops, m.m_deadline_ms, m.m_body);
    else if constexpr (std::is_same_v<type, forwarded_answer>)
        return std::tie(m.m_call, m.m_status, m.m_content_type, m.m_body, m.m_failed, m.m_verdict,
                        m.m_reason, m.m_detail);
    else if constexpr (std::is_same_v<type, forwarded_cancel>)
        return std::tie(m.m_call);
    else if constexpr (std::is_same_v<type, promise_request> || std::is_same_v<type, promise_grant>)
        return std::tie(m.m_incarnation, m.m_count, m.m_sequence);
    else if constexpr (std::is_same_v<type, capacity_request>)
        return std::tie(m.m_part, m.m_job, m.m_spec, m.m_count);
    else if constexpr (std::is_same_v<type, group_capacity>)
        return std::tie(m.m_data_centre, m.m_group, m.m_count);
    else if constexpr (std::is_same_v<type, capacity_reply>)
        return std::tie(m.m_part, m.m_groups);
    else if constexpr (std::is_same_v<type, jobs_updated>)
        return std::tie(m.m_groups);
    else if constexpr (std::is_same_v<type, config_update>)
        return std::tie(m.m_version, m.m_text);
    else if constexpr (std::is_same_v<type, config_request>)
        return std::tie(m.m_known_version);
}

template <class T>
concept with_fields = !std::is_void_v<decltype(fields(std::declval<T&>()))>;

} // namespace

} // namespace dragonflygap::cluster

MSGPACK_ADD_ENUM(dragonflygap::verdict)
MSGPACK_ADD_ENUM(dragonflygap::reason)

namespace msgpack
{
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS)
{
    namespace adaptor
    {

    template <class Tag>
    struct convert<dragonflygap::identifier<Tag>>
    {
        const msgpack::object& operator()(const msgpack::object& from,
                                          dragonflygap::identifier<Tag>& to) const
        {
            from.convert(to.m_value);
            return from;
        }
    };

    template <class Tag>
    struct pack<dragonflygap::identifier<Tag>>
    {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& to,
                                   const dragonflygap::identifier<Tag>& from) const
        {
            return to.pack(from.m_value);
        }
    };

    template <dragonflygap::cluster::with_fields T>
    struct convert<T>
    {
        const msgpack::object& operator()(const msgpack::object& from, T& to) const
        {
            auto references = dragonflygap::cluster::fields(to);
            if (from.type != type::ARRAY ||
                from.via.array.size != std::tuple_size_v<decltype(references)>)
                throw type_error();
            std::apply(
                [&from](auto&... field)
                {
                    std::size_t index = 0;
                    (from.via.array.ptr[index++].convert(field), ...);
                },
                references);
            return from;
        }
    };

    template <dragonflygap::cluster::with_fields T>
    struct pack<T>
    {
        template <class Stream>
        packer<Stream>& operator()(packer<Stream>& to, const T& from) const
        {
            const auto references = dragonflygap::cluster::fields(from);
            to.pack_array(std::tuple_size_v<decltype(references)>);
            std::apply([&to](const auto&... field) { (to.pack(field), ...); }, references);
            return to;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack

namespace dragonflygap::cluster
{

namespace
{

template <std::size_t Index = 0>
bool decode_body(std::size_t kind, const msgpack::object& from, body& to)
{
    if constexpr (Index < std::variant_size_v<body>)
    {
        if (kind != Index)
            return decode_body<Index + 1>(kind, from, to);
        from.convert(to.emplace<Index>());
        return true;
    }
    return false;
}

} // namespace

std::string encode(const message& value)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    constexpr std::size_t envelope_fields = 5;
    packer.pack_array(envelope_fields);
    packer.pack(protocol_version);
    packer.pack(value.m_from);
    packer.pack(value.m_incarnation);
    packer.pack(value.m_body.index());
    std::visit([&packer](const auto& body) { packer.pack(body); }, value.m_body);
    return {buffer.data(), buffer.size()};
}

std::optional<message> decode(std::string_view bytes)
{
    try
    {
        // No element count or size can exceed the size of the message. Without this limit, a
        // corrupt size would make the unpacker allocate gigabytes.
        const auto max_elements = bytes.size();
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), nullptr, nullptr,
                            msgpack::unpack_limit(max_elements, max_elements, max_elements,
                                                  max_elements, max_elements));
        const msgpack::object& root = handle.get();
        constexpr std::size_t envelope_fields = 5;
        if (root.type != msgpack::type::ARRAY || root.via.array.size != envelope_fields)
            return std::nullopt;
        const msgpack::object* part = root.via.array.ptr;
        if (part[0].as<int>() != protocol_version)
            return std::nullopt;
        message result;
        part[1].convert(result.m_from);
        part[2].convert(result.m_incarnation);
        if (!decode_body(part[3].as<std::size_t>(), part[4], result.m_body))
            return std::nullopt;
        return result;
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

} // namespace dragonflygap::cluster
