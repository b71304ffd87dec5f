#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/identifier.hpp"
#include "dragonflygap/core/resources.hpp"
#include "dragonflygap/core/verdict.hpp"

namespace dragonflygap::platform
{

/// A running program on a worker that answers requests.
struct executor
{
    target_id m_id;
    endpoint m_address;
    int m_slots = 0;
    int m_connections = 0; ///< Most connections it accepts from all entry VMs together.
};

/// A VM that runs tasks and executors, as the platform's lagging list has it.
struct worker
{
    worker_id m_id;
    data_centre_id m_data_centre;
    rack_id m_rack;
    endpoint m_address;
    bool m_leaving = false;
    resources m_capacity;
    std::vector<executor> m_executors;
};

/// The whole list, or nothing if it is as it was at the last answer.
using vm_list_done = std::function<void(outcome<std::optional<std::vector<worker>>>)>;

/// The platform's list of VMs; it may be some seconds old.
struct vm_list_port
{
    std::function<void(vm_list_done done)> m_list;
};

} // namespace dragonflygap::platform
