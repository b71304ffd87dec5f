#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "dragonflygap/core/endpoint.hpp"
#include "dragonflygap/core/time.hpp"

namespace hostile
{

using namespace dragonflygap;

/// What each connection of a crowd sends: a text, and then another one again and again.
struct traffic
{
    std::string m_first;
    std::string m_repeated;
    std::size_t m_repeated_bytes = 0; ///< Sent of the repeated text; its last copy may be cut.
};

/// Connections that send without ever reading a response.
class client_crowd
{
public:
    /// Connects at most this number; those that the server doesn't accept yet count as well.
    client_crowd(const endpoint& to, int connections);
    ~client_crowd();
    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    /// Sends on all connections at the same time. Ends when all is sent, when the server has taken
    /// nothing for a second, or after 10 s.
    void send(const traffic& sent);

private:
    struct connection
    {
        int m_socket = -1;
        std::size_t m_sent = 0;
        bool m_failed = false;
    };

    std::vector<connection> m_connections;
};

/// Sends a request on a new connection, up to 20 s long again and again as an ordinary caller does;
/// returns whether a response with this status came.
bool answered(const endpoint& to, std::string_view request, int status);

} // namespace hostile
