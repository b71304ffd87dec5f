#include "dragonflygap/net/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace dragonflygap
{

namespace
{

constexpr int keepalive_idle_s = 5;
constexpr int keepalive_interval_s = 2;
constexpr int keepalive_probes = 3;
constexpr int unacknowledged_timeout_ms = 10000;

void set(int socket, int level, int name, int value)
{
    setsockopt(socket, level, name, &value, sizeof value);
}

} // namespace

void set_connection_options(int socket)
{
    set(socket, IPPROTO_TCP, TCP_NODELAY, 1);
    set(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(socket, IPPROTO_TCP, TCP_KEEPIDLE, keepalive_idle_s);
    set(socket, IPPROTO_TCP, TCP_KEEPINTVL, keepalive_interval_s);
    set(socket, IPPROTO_TCP, TCP_KEEPCNT, keepalive_probes);
    set(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, unacknowledged_timeout_ms);
}

void reset_on_close(int socket)
{
    const linger no_linger{.l_onoff = 1, .l_linger = 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
}

} // namespace dragonflygap
