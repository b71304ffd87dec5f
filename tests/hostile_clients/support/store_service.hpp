#pragma once

#include <memory>
#include <random>
#include <string>
#include <thread>

#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "node/support/stand_in_store.hpp"

namespace hostile
{

using namespace dragonflygap;

/// The simulated store of tests/node, served over HTTP on loopback by a thread of its own.
class store_service
{
public:
    /// Serves a configuration with this document.
    explicit store_service(const std::string& config);
    ~store_service();
    store_service(const store_service&) = delete;
    store_service& operator=(const store_service&) = delete;

    endpoint address() const { return {"127.0.0.1", m_server.port()}; }

private:
    std::mt19937_64 m_random{1};
    event_loop m_loop;
    stand_in::store m_store;
    http_server m_server;
    std::thread m_thread;
};

} // namespace hostile
