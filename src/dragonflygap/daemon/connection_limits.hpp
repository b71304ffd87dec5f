#pragma once

#include "dragonflygap/net/http_client.hpp"

namespace dragonflygap::daemon
{

/// Connections of a leader to each worker: one for a renewal, the others for reports and orders.
///
/// A worker has 64 for all VMs. Former leaders share them until their idle connections are closed,
/// and those that are frozen or have lost power for longer.
constexpr http_client_options worker_client_options{
    .m_max_connections_per_endpoint = 3, .m_delay_refused = true, .m_idle_timeout = 3s};

/// A response that is lost occupies a connection until the call's timeout.
constexpr http_client_options store_client_options{
    .m_max_body_bytes = 4 << 20, // the store sends at most 1 MB of rows
    .m_max_connections_per_endpoint = 16,
    .m_urgent = true}; // a leader that knows neither the store's workers nor its own row does harm

} // namespace dragonflygap::daemon
