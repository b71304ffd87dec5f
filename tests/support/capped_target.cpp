#include "support/capped_target.hpp"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "dragonflygap/net/socket_options.hpp"
#include "support/raw_target.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace dragonflygap::test
{

namespace
{

using steady = std::chrono::steady_clock;

struct client_connection
{
    std::string m_input;
    std::optional<steady::time_point> m_answer_at;
};

// False if the peer has closed the connection.
bool read_input(int socket, client_connection& from)
{
    char buffer[4096];
    const auto count = recv(socket, buffer, sizeof buffer, MSG_DONTWAIT);
    if (count <= 0)
        return false;
    from.m_input.append(buffer, static_cast<std::size_t>(count));
    if (from.m_input.find("\r\n\r\n") == std::string::npos)
        return true;
    const auto path = from.m_input.find('/');
    const auto delay_ms = std::stoi(from.m_input.substr(path + 1));
    from.m_answer_at = steady::now() + std::chrono::milliseconds(delay_ms);
    from.m_input.clear();
    return true;
}

} // namespace

capped_target::capped_target(int max_connections)
    : m_max_connections(max_connections), m_listener(bind_to_loopback(m_address))
{
    constexpr int backlog = 128;
    listen(m_listener, backlog);
    m_thread = std::thread([this] { serve(); });
}

capped_target::~capped_target()
{
    m_stopped = true;
    m_thread.join();
    close(m_listener);
}

void capped_target::serve()
{
    constexpr int poll_ms = 2;
    std::map<int, client_connection> connections;
    while (!m_stopped)
    {
        std::vector<pollfd> polled{{m_listener, POLLIN, 0}};
        for (const auto& [socket, state] : connections)
            polled.push_back({socket, POLLIN, 0});
        poll(polled.data(), polled.size(), poll_ms);
        for (const auto& ready : polled)
        {
            if (ready.revents == 0)
                continue;
            if (ready.fd == m_listener)
            {
                const int socket = accept(m_listener, nullptr, nullptr);
                if (static_cast<int>(connections.size()) < m_max_connections)
                    connections[socket];
                else
                {
                    ++m_refused;
                    reset_on_close(socket);
                    close(socket);
                }
            }
            else if (!read_input(ready.fd, connections[ready.fd]))
            {
                close(ready.fd);
                connections.erase(ready.fd);
            }
        }
        for (auto& [socket, state] : connections)
            if (state.m_answer_at && steady::now() >= *state.m_answer_at)
            {
                state.m_answer_at.reset();
                write_all(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        m_open = static_cast<int>(connections.size());
    }
    for (const auto& [socket, state] : connections)
        close(socket);
}

} // namespace dragonflygap::test
