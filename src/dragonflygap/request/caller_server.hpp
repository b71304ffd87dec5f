#pragma once

#include <functional>
#include <span>
#include <string>
#include <unordered_map>

#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/request/caller_api.hpp"
#include "dragonflygap/request/in_flight.hpp"

namespace dragonflygap
{

class event_loop;
class metrics;

namespace request
{

struct caller_server_options
{
    vm_id m_vm;
    std::uint64_t m_incarnation = 0;
    endpoint m_listen;
    std::size_t m_max_body_bytes = 1 << 20;
    /// A request was put among those in flight and is to be started.
    std::function<void(const request_id& id)> m_on_request;
    /// Nobody waits for a request any more, or its caller cancelled it.
    std::function<void(const request_id& id)> m_on_cancel;
};

/// The side of the callers: reads what they ask, refuses what is wrong, and lets repeated requests
/// wait for the answer of the one in flight.
class caller_server
{
public:
    /// Throws std::runtime_error if the address can't be bound.
    caller_server(event_loop& loop, metrics& counted, in_flight_requests& in_flight,
                  caller_server_options options);

    void set_classes(std::span<const config::request_class> classes);

    /// Refuses new requests from now on.
    void drain() { m_draining = true; }

    /// Serves one request, as the server does.
    void serve(http_request request, const http_exchange_ptr& exchange);

    std::uint16_t port() const { return m_server.port(); }

private:
    outcome<caller_request> read(const http_request& request) const;
    in_flight_request make_request(const caller_request& read, std::string body);
    bool answered_by_earlier(const in_flight_request& made, const http_exchange_ptr& exchange);
    void on_cancel(const http_request& request, const http_exchange_ptr& exchange);
    void listen_for_hangup(const request_id& id, std::uint64_t waiter,
                           const http_exchange_ptr& exchange);
    void refuse(const failure& why, const http_exchange_ptr& exchange);

    metrics& m_metrics;
    in_flight_requests& m_in_flight;
    caller_server_options m_options;
    std::unordered_map<class_id, config::request_class> m_classes;
    std::uint64_t m_last_request = 0;
    bool m_draining = false;
    http_server m_server;
};

} // namespace request

} // namespace dragonflygap
