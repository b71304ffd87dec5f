#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/net/http_server.hpp"

namespace dragonflygap
{

class metrics;

namespace daemon
{

class config_driver;
class job_driver;
class member_driver;

/// Dependencies of the operator API, which must outlive it.
struct operator_api_options
{
    vm_id m_vm;
    const metrics* m_metrics = nullptr;
    config_driver* m_config = nullptr;
    job_driver* m_jobs = nullptr;
    const member_driver* m_members = nullptr;
    std::function<bool()> m_ready;
    std::function<std::string()> m_status;  ///< JSON text.
    std::function<std::string()> m_workers; ///< JSON text.
    std::function<void()> m_drain;
};

/// Handles a request to the operator API; the response may be sent later.
void handle_operator_request(const operator_api_options& api, const http_request& request,
                             const http_exchange_ptr& exchange);

} // namespace daemon

} // namespace dragonflygap
