#pragma once

#include <functional>

#include "dragonflygap/net/http_server.hpp"

namespace dragonflygap
{

class metrics;

namespace node
{

class node;

/// Handler for operators' calls on an entry VM of a cell: status, members, workers, jobs,
/// configuration, health and metrics. Jobs and workers are told by the leader only.
std::function<void(http_request, http_exchange_ptr)>
make_operator_handler(std::function<const node*()> served, const metrics& counted);

} // namespace node

} // namespace dragonflygap
