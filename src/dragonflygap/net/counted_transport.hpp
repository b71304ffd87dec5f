#pragma once

#include <cstdint>
#include <memory>

#include "dragonflygap/net/transport.hpp"

namespace dragonflygap
{

/// Bytes of requests and answers as HTTP writes them, without the framing below; the head of a
/// request is estimated.
struct call_traffic
{
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
};

/// The same calls, added up in the given counters; for one task.
http_transport make_counted_transport(http_transport inner, std::shared_ptr<call_traffic> traffic);

} // namespace dragonflygap
