#pragma once

#include <functional>

#include "dragonflygap/net/http_server.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

class node;

/// Handler for operators' calls on an entry VM of a cell: status, workers, jobs, configuration,
/// settings schema, health and metrics. Only the leader reports jobs and workers.
std::function<void(http_request, http_exchange_ptr)>
make_operator_handler(std::function<const node*()> get_node, const metrics& registry);

} // namespace node

} // namespace dragonflygap
