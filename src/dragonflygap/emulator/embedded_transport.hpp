#pragma once

#include "dragonflygap/net/transport.hpp"

namespace dragonflygap
{

class event_loop;

namespace emulator
{

class cell;

/// Creates a transport whose calls a cell in the same process answers; the loop and the cell must
/// outlive it.
http_transport make_embedded_transport(event_loop& loop, cell& emulated_cell);

} // namespace emulator

} // namespace dragonflygap
