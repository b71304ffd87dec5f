#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

#include "dragonflygap/config/schema_check.hpp"
#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/time.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::config
{

struct peer_settings
{
    vm_id m_vm;
    data_centre_id m_data_centre;
    endpoint m_address;
};

/// Platform services and limits of an entry VM that serves a cell.
struct cell_settings
{
    endpoint m_store;
    std::optional<endpoint> m_approvals;
    endpoint m_ready_listen;
    double m_processor_share = 1;   ///< Share of one core that this process may use.
    std::int64_t m_memory_mb = 256; ///< That this process may use.
    duration m_max_lease = 10s;     ///< Workers shorten longer leases to this.
    /// A worker that leaves runs its tasks for as long at least after it said so.
    duration m_worker_notice = 2s;
    duration m_stop_timeout = 6s; ///< Time from SIGTERM until the platform kills the process.
};

/// Start-up settings of a daemon; schemas/settings.schema.json describes the document.
struct settings
{
    vm_id m_vm{"entry-1"};
    data_centre_id m_data_centre{"local"};
    endpoint m_caller_listen{"127.0.0.1", 8080};
    endpoint m_operator_listen{"127.0.0.1", 8081};
    endpoint m_peer_listen{"127.0.0.1", 8082};
    std::vector<peer_settings> m_peers;
    std::optional<endpoint> m_platform;  ///< Absent: use the embedded platform.
    std::optional<cell_settings> m_cell; ///< Absent: serve requests and jobs through m_platform.
    log_level m_log_level = log_level::info;
    bool m_history = false; ///< Log the events that the history checker reads.
    std::size_t m_max_body_bytes = 1 << 20;
    std::size_t m_max_connections = 0;    ///< Of callers; 0: by the limit of descriptors.
    std::size_t m_max_buffered_bytes = 0; ///< Of all HTTP servers together; 0: by the memory.
    duration m_drain_timeout = 30s;
};

/// Parses and validates settings; reports all errors, each with its path.
tl::expected<settings, std::vector<validation_error>> parse_settings(std::string_view text);

} // namespace dragonflygap::config
