#pragma once

#include <functional>
#include <span>
#include <string>
#include <unordered_map>

#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/net/http_server_report.hpp"
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
    http_limits m_limits;
    /// Starts a request that was added to the requests in flight.
    std::function<void(const request_id& id)> m_on_request;
    /// Called when the last waiter has disconnected or the caller has cancelled the request.
    std::function<void(const request_id& id)> m_on_cancel;
};

/// Accepts the requests of callers: parses them, refuses invalid ones and attaches duplicates to
/// the request already in flight.
class caller_server
{
public:
    /// Throws std::runtime_error if the address can't be bound.
    caller_server(event_loop& loop, metrics& registry, in_flight_requests& in_flight,
                  caller_server_options options);

    void set_classes(std::span<const config::request_class> classes);

    /// Refuses new requests from now on.
    void drain() { m_draining = true; }

    /// Handles a request as if the HTTP server had received it.
    void serve(http_request request, const http_exchange_ptr& exchange);

    std::uint16_t port() const { return m_server.port(); }

private:
    outcome<caller_request> parse(const http_request& request) const;
    in_flight_request make_request(const caller_request& parsed, std::string body);
    bool answer_duplicate(const in_flight_request& entry, const http_exchange_ptr& exchange);
    void on_cancel(const http_request& request, const http_exchange_ptr& exchange);
    void listen_for_hangup(const request_id& id, std::uint64_t waiter,
                           const http_exchange_ptr& exchange);
    void refuse(const failure& error, const http_exchange_ptr& exchange);

    metrics& m_metrics;
    in_flight_requests& m_in_flight;
    caller_server_options m_options;
    std::unordered_map<class_id, config::request_class> m_classes;
    std::uint64_t m_last_request = 0;
    bool m_draining = false;
    http_server m_server;
    http_server_report m_server_report;
};

} // namespace request

} // namespace dragonflygap
