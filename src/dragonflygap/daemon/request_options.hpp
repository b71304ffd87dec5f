#pragma once

#include <cstdint>
#include <functional>

#include "dragonflygap/config/settings.hpp"
#include "dragonflygap/daemon/control_task.hpp"
#include "dragonflygap/net/transport.hpp"
#include "dragonflygap/request/request_task.hpp"

namespace dragonflygap::daemon
{

/// The connections of a request task to the other parts of its daemon.
struct request_wiring
{
    std::uint64_t m_incarnation = 0;
    http_transport m_to_executors;
    http_transport m_probes; ///< Opens a new connection for each call.
    std::function<void(control_message message)> m_to_control;
};

/// Makes the options of a request task whose reports go to the control task.
request::request_task_options make_request_options(const config::settings& settings,
                                                   request_wiring wiring);

} // namespace dragonflygap::daemon
