#pragma once

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "dragonflygap/daemon/control_task.hpp"
#include "dragonflygap/emulator/cell.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/timer_queue.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/request/request_task.hpp"

namespace scenarios
{

using namespace dragonflygap;

class world;

/// Carries one node's HTTP calls to the emulator, over connections that can go silent.
class virtual_network
{
public:
    virtual_network(world& simulated_world, event_loop& loop, std::string vm,
                    bool reuse_connections)
        : m_world(simulated_world),
          m_loop(loop),
          m_vm(std::move(vm)),
          m_reuse_connections(reuse_connections)
    {
    }

    http_transport transport();
    void set_delay(duration delay) { m_delay = delay; }

private:
    struct call
    {
        endpoint m_endpoint;
        std::uint16_t m_connection = 0;
        http_transport::done m_on_done;
        event_loop::timer_ptr m_timer; ///< Fires at the timeout.
    };

    http_transport::call_id send(const endpoint& to, http_request request, duration timeout,
                                 http_transport::done on_done);
    void schedule_answer(http_transport::call_id id, const emulator::emulated_answer& emulated);
    void finish(http_transport::call_id id, outcome<http_response> result);

    world& m_world;
    event_loop& m_loop;
    std::string m_vm;
    bool m_reuse_connections; ///< If false, each call opens a new connection.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    duration m_delay{};
    http_transport::call_id m_last_call_id = 0;
    std::uint16_t m_last_connection = 0;
    std::unordered_map<http_transport::call_id, call> m_calls;
    std::map<endpoint, std::vector<std::uint16_t>> m_idle_connections;
};

/// One daemon: its control task and its request task, run on the world's virtual clock.
class node
{
public:
    node(world& simulated_world, config::settings settings, std::uint64_t incarnation);

    timer_queue& timers() { return m_timers; }
    request::request_task& requests() { return *m_requests; }
    daemon::control_task& control() { return *m_control; }
    virtual_network& network() { return m_network; }

    /// Runs work on the node's event loop; a paused node runs it after it resumes.
    void post(std::function<void()> work) { m_loop.post(std::move(work)); }

    bool m_paused = false;
    bool m_stopped = false;

private:
    void post_to_control(daemon::control_message message);

    timer_queue m_timers;
    event_loop m_loop;
    metrics m_metrics;
    virtual_network m_network;
    virtual_network m_probes;
    std::unique_ptr<request::request_task> m_requests;
    std::unique_ptr<daemon::control_task> m_control;
};

} // namespace scenarios
