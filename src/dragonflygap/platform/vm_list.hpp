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

/// A process on a worker that serves requests.
struct executor
{
    target_id m_id;
    endpoint m_address;
    int m_slots = 0;
    int m_connections = 0; ///< Limit for all entry VMs together.
};

/// A VM that runs tasks and executors, as in the platform's list, which lags behind.
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

/// Gets the whole list, or nullopt if it hasn't changed since the last answer.
using vm_list_done = std::function<void(outcome<std::optional<std::vector<worker>>>)>;

/// The platform's list of VMs, which may be some seconds old.
struct vm_list_port
{
    std::function<void(vm_list_done done)> m_list;
};

} // namespace dragonflygap::platform
