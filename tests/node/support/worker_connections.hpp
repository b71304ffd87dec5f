#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/transport.hpp"

namespace stand_in
{

using namespace dragonflygap;

/// Names a connection; the upper half is the incarnation of the VM process that opened it.
using connection_id = std::uint64_t;

struct connection_options
{
    int m_max_per_vm = 16;             ///< Of one VM to one worker; further calls wait.
    std::size_t m_max_per_worker = 64; ///< Of all VMs; the worker resets further ones.
    /// Idle connections are closed after this time; zero: only when the VM calls the worker again.
    duration m_close_idle_after{};
};

/// The connections that the workers have accepted. One that its VM resets while it can't reach the
/// worker stays open there, as does that of a VM without power.
class worker_connections
{
public:
    explicit worker_connections(std::size_t max_per_worker) : m_max_per_worker(max_per_worker) {}

    bool accept(const std::string& worker, connection_id connection); ///< False: it is reset.
    void close(const std::string& worker, connection_id connection);
    bool is_open(const std::string& worker, connection_id connection) const;
    /// Closes all connections of a worker and returns them.
    std::set<connection_id> close_all(const std::string& worker);
    /// The workers and connections of one VM process.
    std::vector<std::pair<std::string, connection_id>> of_process(std::uint64_t incarnation) const;

    std::size_t resets() const { return m_resets; }
    std::size_t most_open() const { return m_most_open; }

private:
    std::size_t m_max_per_worker;
    std::size_t m_resets = 0;
    std::size_t m_most_open = 0;
    std::map<std::string, std::set<connection_id>> m_open;
};

/// What a connection pool needs of the network; callbacks run in the pool's event loop.
struct connection_network
{
    using connected = std::function<void(bool accepted)>;

    std::function<void(const endpoint&, connection_id, connected)> m_connect;
    std::function<void(const endpoint&, connection_id)> m_close; ///< Arrives at last.
    std::function<void(const endpoint&, connection_id)> m_reset; ///< Lost out of reach.
    std::function<void(const endpoint&, connection_id, http_request, http_transport::done)> m_send;
};

/// Simulates how the http_client of one VM process uses connections.
class connection_pools
{
public:
    connection_pools(event_loop& loop, connection_options options, std::uint64_t incarnation,
                     connection_network network);

    void send(const endpoint& to, http_request request, duration timeout,
              http_transport::done on_done);
    /// The worker has closed or reset a connection.
    void on_reset(connection_id connection);

private:
    using call_id = std::uint64_t;

    struct call
    {
        endpoint m_to;
        http_request m_request;
        http_transport::done m_done;
        connection_id m_connection = 0; ///< 0: waits for a free one.
        bool m_written = false;
    };
    struct idle_connection
    {
        connection_id m_id = 0;
        instant m_since{};
    };
    struct pool
    {
        std::vector<idle_connection> m_idle;
        std::deque<call_id> m_waiting;
        int m_open_count = 0;
    };

    void start(call_id id);
    void write(call_id id);
    void on_connected(call_id id, connection_id connection, bool accepted);
    void on_answer(call_id id, outcome<http_response> result);
    void fail_call(call_id id, verdict result_verdict, reason cause);
    void release(const endpoint& to, connection_id connection);
    void close_if_idle(const endpoint& to, connection_id connection, instant since);
    void abort(const endpoint& to, connection_id connection);
    void start_next_waiting(const endpoint& to);

    event_loop& m_loop;
    connection_options m_options;
    connection_network m_network;
    connection_id m_last_connection;
    call_id m_last_call = 0;
    std::map<endpoint, pool> m_pools;
    std::map<call_id, call> m_calls;
};

} // namespace stand_in
