#pragma once

#include <cstdint>
#include <memory>

#include "dragonflygap/net/transport.hpp"

namespace dragonflygap
{

/// Traffic at the HTTP level, without the overhead of TCP and IP. The size of a request's head is
/// an estimate.
struct call_traffic
{
    std::uint64_t m_calls = 0;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
};

/// Wraps a transport and counts its traffic; for use by a single task.
http_transport make_counted_transport(http_transport inner, std::shared_ptr<call_traffic> traffic);

} // namespace dragonflygap
