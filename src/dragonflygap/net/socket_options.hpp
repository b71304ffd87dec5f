#pragma once

namespace dragonflygap
{

/// Sends without delay, and lets the kernel give up a connection whose path has gone silent.
/// Connections accepted by a listening socket inherit its options.
void set_connection_options(int socket);

/// Lets close() reset the connection and drop what was not sent yet.
void discard_on_close(int socket);

} // namespace dragonflygap
