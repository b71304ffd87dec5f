#pragma once

#include <atomic>
#include <string>
#include <thread>

#include "dragonflygap/core/endpoint.hpp"

namespace dragonflygap::test
{

/// An HTTP server on loopback that resets connections above its limit, as workers do. It answers
/// each request with 200 and an empty body after the milliseconds that the path names ("/20").
class capped_target
{
public:
    explicit capped_target(int max_connections);
    ~capped_target();
    capped_target(const capped_target&) = delete;
    capped_target& operator=(const capped_target&) = delete;

    endpoint address() const { return m_address; }
    int open() const { return m_open; }
    int refused() const { return m_refused; }

private:
    void serve();

    int m_max_connections;
    endpoint m_address;
    int m_listener = -1; ///< Its initializer sets m_address, which must precede it.
    std::atomic<int> m_open = 0;
    std::atomic<int> m_refused = 0;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

} // namespace dragonflygap::test
