#pragma once

#include "dragonflygap/net/transport.hpp"

namespace dragonflygap
{

class event_loop;

namespace emulator
{

class cell;

/// Calls that are answered by a cell within the same process; both must outlive the result.
http_transport make_embedded_transport(event_loop& loop, cell& answering);

} // namespace emulator

} // namespace dragonflygap
