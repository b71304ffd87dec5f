#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "dragonflygap/core/endpoint.hpp"

namespace dragonflygap::test
{

/// A TCP server on loopback that leaves each connection to the test, which exchanges raw bytes.
class raw_target
{
public:
    /// Calls the handler with each accepted socket, one connection at a time, and closes the
    /// socket when the handler returns.
    explicit raw_target(std::function<void(int socket)> on_connection);
    ~raw_target();
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    endpoint address() const { return m_address; }

private:
    void serve();

    std::function<void(int)> m_on_connection;
    endpoint m_address;
    int m_listener = -1;                ///< Its initializer sets m_address, which must precede it.
    std::atomic<int> m_connection = -1; ///< The socket being handled, or -1.
    std::thread m_thread;
};

/// Reads the headers and a body of Content-Length bytes; returns early if the peer closes.
std::string read_http_request(int socket);

void write_all(int socket, const std::string& bytes);

/// Blocks until the peer closes the connection, discarding what it sends.
void wait_for_close(int socket);

/// Binds a socket to a free loopback port and sets the address; listen() is left to the caller.
int bind_to_loopback(endpoint& address);

/// Returns a loopback address on which nothing listens.
endpoint closed_address();

} // namespace dragonflygap::test
