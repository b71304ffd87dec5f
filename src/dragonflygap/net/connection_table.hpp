#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "dragonflygap/core/time.hpp"
#include "dragonflygap/net/http_limits.hpp"

namespace dragonflygap
{

enum class connection_phase
{
    idle,     ///< No byte of a request has arrived.
    head,     ///< Part of the request line and headers has arrived.
    body,     ///< Part of the body has arrived.
    handling, ///< The handler has the request.
    response, ///< The response is being written.
    closing,  ///< The client was refused; what still arrives is discarded.
};

/// A limit that a client has reached. The names are part of the metrics.
enum class http_limit
{
    head_too_large,
    body_too_large,
    memory_refused,     ///< Request refused with 503, as all connections hold too much.
    memory_closed,      ///< Connection closed for the same reason, without a response.
    connection_evicted, ///< Closed to make room for another one.
    connection_refused, ///< No other one could give way.
    head_timeout,
    body_timeout,
    idle_timeout,
    response_timeout,
};
inline constexpr std::size_t http_limit_count = 10;

std::string_view to_string(http_limit value);

/// The connections of an HTTP server, what each holds, and which of them give way to others.
///
/// Answers a load of clients that hold connections and memory without completing requests. Requests
/// that the handler has are never interrupted, since their jobs may run. Does no I/O.
class connection_table
{
public:
    using connection_id = std::uint64_t;

    connection_table(const http_limits& limits, std::size_t max_idle)
        : m_limits(limits), m_max_idle(max_idle)
    {
    }

    connection_id open(instant now);
    void close(connection_id id);
    void enter(connection_id id, connection_phase phase, instant now);
    /// The client has taken a part of its response.
    void progress(connection_id id, instant now);
    /// Sets the bytes that a connection holds.
    void hold(connection_id id, std::size_t bytes);

    std::size_t size() const { return m_entries.size(); }
    std::size_t held_bytes() const { return m_held_bytes; }
    bool full() const { return m_entries.size() >= m_limits.m_max_connections; }
    connection_phase phase(connection_id id) const { return m_entries.at(id).m_phase; }

    /// Those without a request, the longest idle first.
    std::vector<connection_id> longest_idle(std::size_t max_count) const;
    /// Those that are idle or whose clients delay a request or response, the longest first.
    std::vector<connection_id> longest_waiting(std::size_t max_count) const;
    /// Number of idle connections beyond their limit.
    std::size_t excess_idle() const;

    /// The connection that has to give up its bytes to this one, which may be itself; nullopt if
    /// all hold no more than is allowed. The largest gives way, so that ordinary requests outlast
    /// those at the limit. One that holds all by itself is never over the limit.
    std::optional<connection_id> over_limit(connection_id requester) const;

    struct expiry
    {
        connection_id m_connection = 0;
        http_limit m_limit = http_limit::idle_timeout;
    };
    /// Connections past a time limit. Each is reported only if it was past the limit in the
    /// preceding call too, so that bytes which arrived while the process was paused are read first.
    std::vector<expiry> expired(instant now);

private:
    struct entry
    {
        connection_phase m_phase = connection_phase::idle;
        instant m_since{}; ///< Of the phase; of a response, its last progress.
        std::size_t m_bytes = 0;
        bool m_overdue = false;
    };
    using wait_order = std::set<std::pair<instant, connection_id>>;

    void set_since(connection_id id, entry& changed, connection_phase phase, instant since);
    wait_order* order_of(connection_phase phase);
    duration timeout_of(connection_phase phase) const;

    http_limits m_limits;
    std::size_t m_max_idle;
    connection_id m_last_id = 0;
    std::size_t m_held_bytes = 0;
    std::unordered_map<connection_id, entry> m_entries;
    wait_order m_idle;
    wait_order m_delayed; ///< In the phases head, body, response and closing.
};

} // namespace dragonflygap
