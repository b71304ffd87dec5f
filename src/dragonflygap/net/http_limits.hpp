#pragma once

#include <cstddef>

#include "dragonflygap/core/time.hpp"

namespace dragonflygap
{

/// What the clients of an HTTP server may use of it. No client that sends at most 16,384 bytes of
/// headers within 3 s, and isn't idle for more than 15 s, reaches a limit of one connection.
struct http_limits
{
    /// Request line and headers: 8,192 and 16,384 bytes.
    std::size_t m_max_head_bytes = 24576;
    std::size_t m_max_connections = 5000; ///< Of more, the one that waits the longest is closed.
    /// Requests and responses of all connections together. Of more, the largest give way.
    std::size_t m_max_buffered_bytes = 32 << 20;
    duration m_head_timeout = 5s;      ///< From the first byte of a request to its last header.
    duration m_body_timeout = 60s;     ///< From the last header to the end of the body.
    duration m_idle_timeout = 60s;     ///< Between requests, and before the first.
    duration m_response_timeout = 15s; ///< Without progress.
    /// A refused connection is read on for this time and size, so that its client can read why.
    duration m_linger_time = 2s;
    std::size_t m_max_linger_bytes = 4 << 20;
};

/// What a process has for its HTTP servers; 0 in the two last: derived from the others.
struct http_resources
{
    std::size_t m_memory_bytes = 0; ///< Of the process or its machine.
    std::size_t m_descriptors = 0;
    std::size_t m_max_body_bytes = 0;
    std::size_t m_max_connections = 0;    ///< Of callers.
    std::size_t m_max_buffered_bytes = 0; ///< Of all servers together.
};

/// The limits of a process's servers. Each has its own share, so that callers can't use up what
/// operators and the balancer need.
struct http_shares
{
    http_limits m_callers;
    http_limits m_operators;
    http_limits m_readiness;
};

http_shares divide(const http_resources& resources);

} // namespace dragonflygap
