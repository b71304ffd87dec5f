#pragma once

namespace dragonflygap
{

/// Disables Nagle's algorithm; enables keepalive and a limit for unacknowledged data, so that the
/// kernel closes dead connections.
/// Connections accepted by a listening socket inherit its options.
void set_connection_options(int socket);

/// Makes close() reset the connection and discard unsent data.
void reset_on_close(int socket);

} // namespace dragonflygap
