#pragma once

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/net/transport.hpp"
#include "dragonflygap/platform/table.hpp"
#include "dragonflygap/platform/vm_list.hpp"
#include "dragonflygap/platform/worker_port.hpp"

namespace dragonflygap::platform
{

struct http_platform_options
{
    endpoint m_address;
    http_transport m_transport;
    duration m_timeout = 2s;
};

/// The platform's table over HTTP; see platform/PROTOCOL in docs/ASSUMPTIONS.md.
table_port make_http_table(const http_platform_options& options);

vm_list_port make_http_vm_list(const http_platform_options& options);

/// Workers over HTTP, each at its own address; m_address isn't used.
worker_port make_http_workers(const http_platform_options& options);

} // namespace dragonflygap::platform
