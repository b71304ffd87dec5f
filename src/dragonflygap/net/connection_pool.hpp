#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/client_connection.hpp"
#include "dragonflygap/net/connect_backoff.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"

namespace dragonflygap
{

/// A client's connections to one endpoint, and the calls that wait for one.
struct connection_pool
{
    /// Bytes still in the kernel don't reach the target after the call was abandoned.
    void abort(std::unique_ptr<client_connection> aborted, http_client_counts& counts);

    /// Without a reset, which would be lost if the path is interrupted.
    void close(std::unique_ptr<client_connection> closed, http_client_counts& counts);

    /// The idle connection used last, so that those not needed reach the idle timeout.
    std::unique_ptr<client_connection> take_idle();

    /// Closes idle connections without an answer since then, and those that the server closed.
    void close_unused_since(instant since, http_client_counts& counts);

    void close_oldest_idle(http_client_counts& counts);

    std::vector<std::unique_ptr<client_connection>> m_idle; ///< Used last: at the end.
    std::deque<http_client::call_id> m_waiting;
    int m_open_count = 0;
    connect_backoff m_backoff;
    instant m_next_attempt_at{}; ///< When m_retry_timer starts waiting calls.
    event_loop::timer_ptr m_retry_timer;
};

} // namespace dragonflygap
