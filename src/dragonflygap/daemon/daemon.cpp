#include "dragonflygap/daemon/daemon.hpp"

#include <chrono>
#include <csignal>
#include <optional>
#include <thread>
#include <utility>

#include "dragonflygap/daemon/control_task.hpp"
#include "dragonflygap/daemon/request_options.hpp"
#include "dragonflygap/emulator/cell.hpp"
#include "dragonflygap/emulator/embedded_transport.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"
#include "dragonflygap/net/mailbox.hpp"
#include "dragonflygap/observe/history.hpp"
#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/request/request_task.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr int platform_connections = 16;
// An executor allows about 60 connections, which two owners share during a change of ownership.
constexpr int executor_connections = 24;
constexpr int probe_connections = 4;

std::uint64_t new_incarnation()
{
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch).count());
}

emulator::cell_options embedded_cell(const config::settings& settings)
{
    return {.m_data_centres = {settings.m_data_centre}};
}

/// Adds a header with the name of this entry VM to every request.
http_transport with_vm_header(const vm_id& vm, http_transport transport)
{
    transport.m_send =
        [vm, send = std::move(transport.m_send)](const endpoint& to, http_request request,
                                                 duration timeout, http_transport::done on_done)
    {
        request.m_headers.push_back({std::string(vm_header), vm.m_value});
        return send(to, std::move(request), timeout, std::move(on_done));
    };
    return transport;
}

/// Outgoing calls of a task: over the network, or to the embedded cell.
class outgoing
{
public:
    outgoing(event_loop& loop, std::optional<emulator::cell>& cell,
             const http_client_options& options, const vm_id& vm)
    {
        if (cell)
            m_transport = emulator::make_embedded_transport(loop, *cell);
        else
        {
            m_client.emplace(loop, options);
            m_transport = with_vm_header(vm, make_transport(*m_client));
        }
    }

    const http_transport& transport() const { return m_transport; }

private:
    std::optional<http_client> m_client;
    http_transport m_transport;
};

} // namespace

int run_daemon(const config::settings& settings)
{
    start_logging(settings.m_log_level, settings.m_vm.m_value);
    std::signal(SIGPIPE, SIG_IGN);
    const auto incarnation = new_incarnation();
    metrics registry;
    std::optional<emulator::cell> cell;
    if (!settings.m_platform)
        cell.emplace(embedded_cell(settings));

    event_loop control_loop;
    event_loop request_loop;
    const outgoing to_platform(control_loop, cell,
                               {.m_max_connections_per_endpoint = platform_connections},
                               settings.m_vm);
    const outgoing to_executors(request_loop, cell,
                                {.m_max_body_bytes = settings.m_max_body_bytes,
                                 .m_max_connections_per_endpoint = executor_connections},
                                settings.m_vm);
    const outgoing probes(request_loop, cell,
                          {.m_max_connections_per_endpoint = probe_connections, .m_reuse = false},
                          settings.m_vm);

    std::unique_ptr<control_task> control;
    std::unique_ptr<request::request_task> requests;
    mailbox<control_message> to_control(control_loop, [&control](control_message message)
                                        { control->handle(std::move(message)); });
    mailbox<request::request_message> to_requests(request_loop,
                                                  [&requests](request::request_message message)
                                                  { requests->handle(std::move(message)); });

    requests = std::make_unique<request::request_task>(
        request_loop, registry,
        make_request_options(settings, {.m_incarnation = incarnation,
                                        .m_to_executors = to_executors.transport(),
                                        .m_probes = probes.transport(),
                                        .m_to_control = [&to_control](control_message message)
                                        { to_control.send(std::move(message)); }}));
    control = std::make_unique<control_task>(
        control_loop, to_platform.transport(), registry,
        control_task_options{.m_settings = settings,
                             .m_incarnation = incarnation,
                             .m_platform =
                                 settings.m_platform.value_or(emulator::cell_options{}.m_platform),
                             .m_to_requests = [&to_requests](request::request_message message)
                             { to_requests.send(std::move(message)); },
                             .m_on_stopped = [&control_loop] { control_loop.stop(); }});

    const auto on_terminate =
        control_loop.on_signal(SIGTERM, [&to_control] { to_control.send(stop_requested{}); });
    const auto on_interrupt =
        control_loop.on_signal(SIGINT, [&to_control] { to_control.send(stop_requested{}); });
    if (settings.m_history)
        history::record(history::node_started{incarnation});
    log_event(log_level::info, "started",
              {{"data_centre", settings.m_data_centre.m_value},
               {"callers", settings.m_caller_listen.m_ip + ":" + std::to_string(requests->port())},
               {"operators",
                settings.m_operator_listen.m_ip + ":" + std::to_string(control->operator_port())},
               {"platform", settings.m_platform ? "http" : "embedded"}});

    std::thread request_thread([&request_loop] { request_loop.run(); });
    control_loop.run();
    request_loop.stop();
    request_thread.join();
    if (settings.m_history)
        history::record(history::node_stopped{});
    log_event(log_level::info, "stopped", {});
    return 0;
}

} // namespace dragonflygap::daemon
