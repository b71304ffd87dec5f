#include "dragonflygap/net/http_limits.hpp"

#include <algorithm>

namespace dragonflygap
{

namespace
{

// A third of a VM's memory is for jobs, and parsing one large body takes many times its size.
constexpr std::size_t memory_share = 10;
constexpr std::size_t max_derived_bytes = 256 << 20;
// The other descriptors are for calls to workers, the store and peers.
constexpr std::size_t caller_descriptor_share = 2;
constexpr std::size_t operator_descriptor_share = 16;
constexpr std::size_t max_operator_connections = 64;
// Of the bytes: callers have what operators and the balancer don't have.
constexpr std::size_t operator_byte_share = 8;

} // namespace

http_shares divide(const http_resources& resources)
{
    const http_limits defaults;
    const auto bytes = resources.m_max_buffered_bytes > 0
                           ? resources.m_max_buffered_bytes
                           : std::min(resources.m_memory_bytes / memory_share, max_derived_bytes);
    // One request within the limits is served however little memory there is.
    const auto one_request = resources.m_max_body_bytes + 2 * defaults.m_max_head_bytes;
    const auto operator_bytes = std::max(bytes / operator_byte_share, one_request);
    const auto operator_connections = std::clamp<std::size_t>(
        resources.m_descriptors / operator_descriptor_share, 1, max_operator_connections);

    http_shares shares;
    shares.m_callers.m_max_buffered_bytes =
        std::max(bytes - 2 * (bytes / operator_byte_share), one_request);
    shares.m_callers.m_max_connections =
        resources.m_max_connections > 0
            ? resources.m_max_connections
            : std::clamp<std::size_t>(resources.m_descriptors / caller_descriptor_share, 1,
                                      defaults.m_max_connections);
    shares.m_operators.m_max_buffered_bytes = operator_bytes;
    shares.m_operators.m_max_connections = operator_connections;
    shares.m_readiness = shares.m_operators;
    return shares;
}

} // namespace dragonflygap
