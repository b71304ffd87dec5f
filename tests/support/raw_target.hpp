#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>

#include "dragonflygap/core/endpoint.hpp"

namespace dragonflygap::test
{

/// A target on loopback that does with each connection what a test says, byte by byte.
class raw_target
{
public:
    /// The script gets a connected socket, one after the other; the socket is closed after it.
    explicit raw_target(std::function<void(int socket)> script);
    ~raw_target();
    raw_target(const raw_target&) = delete;
    raw_target& operator=(const raw_target&) = delete;

    endpoint address() const { return m_address; }

private:
    void serve();

    std::function<void(int)> m_script;
    endpoint m_address;
    int m_listener = -1; ///< Its making sets the address.
    std::atomic<int> m_current = -1;
    std::thread m_thread;
};

/// Reads up to the empty line and the body that Content-Length announces.
std::string read_http_request(int socket);

void write_all(int socket, const std::string& bytes);

/// Waits until the other side closes.
void wait_for_close(int socket);

/// An address on loopback where nothing listens.
endpoint closed_address();

} // namespace dragonflygap::test
