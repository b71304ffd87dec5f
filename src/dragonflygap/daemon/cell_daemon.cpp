#include "dragonflygap/daemon/cell_daemon.hpp"

#include <chrono>
#include <csignal>
#include <memory>
#include <utility>

#include "dragonflygap/daemon/client_limits.hpp"
#include "dragonflygap/daemon/connection_limits.hpp"
#include "dragonflygap/daemon/connection_report.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_client.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/net/http_server_report.hpp"
#include "dragonflygap/net/peer_link.hpp"
#include "dragonflygap/net/transport.hpp"
#include "dragonflygap/node/node.hpp"
#include "dragonflygap/node/operator_view.hpp"
#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "platform/caller_server.hpp"
#include "platform/directory_client.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"

namespace dragonflygap::daemon
{

namespace
{

std::uint64_t new_incarnation()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

node::node_options make_options(const config::settings& settings, peer_link& link,
                                const http_transport& to_store, const http_transport& to_workers,
                                const http_transport& to_approvals)
{
    const auto& cell = *settings.m_cell;
    node::node_options options{.m_vm = settings.m_vm,
                               .m_data_centre = settings.m_data_centre,
                               .m_incarnation = new_incarnation(),
                               .m_processor_share = cell.m_processor_share,
                               .m_peer_address = settings.m_peer_listen,
                               .m_store = wire::make_store(to_store, cell.m_store),
                               .m_directory = wire::make_directory(to_store, cell.m_store),
                               .m_workers = wire::make_workers(to_workers)};
    if (cell.m_approvals)
        options.m_approvals = wire::make_approvals(to_approvals, *cell.m_approvals);
    options.m_peers = {.m_add = [&link](const vm_id& peer, const endpoint& address)
                       { link.add(peer, address); },
                       .m_remove = [&link](const vm_id& peer) { link.remove(peer); },
                       .m_send = [&link](const vm_id& peer, std::string_view bytes)
                       { return link.send(peer, bytes); },
                       .m_redial = [&link](const vm_id& peer) { link.redial(peer); }};
    auto& leases = options.m_coordinator.m_workers;
    leases.m_max_lease = cell.m_max_lease;
    leases.m_lease_duration = std::min(leases.m_lease_duration, cell.m_max_lease);
    options.m_coordinator.m_memory_mb = cell.m_memory_mb;
    options.m_coordinator.m_min_notice = cell.m_worker_notice;
    constexpr duration exit_margin = 800ms;
    options.m_max_stop_time = std::max<duration>(cell.m_stop_timeout - exit_margin, 500ms);
    options.m_min_stop_time = std::min(options.m_min_stop_time, options.m_max_stop_time);
    return options;
}

} // namespace

int run_cell_daemon(const config::settings& settings)
{
    start_logging(settings.m_log_level, settings.m_vm.m_value);
    std::signal(SIGPIPE, SIG_IGN);
    metrics registry;
    event_loop loop;
    http_client store_client(loop, store_client_options);
    http_client worker_client(loop, worker_client_options);
    http_client approval_client(loop, {});
    const connection_report store_report(loop, registry, store_client, "store");
    const connection_report worker_report(loop, registry, worker_client, "workers");
    const connection_report approval_report(loop, registry, approval_client, "approvals");
    const auto to_store = make_transport(store_client);
    const auto to_workers = make_transport(worker_client);
    const auto to_approvals = make_transport(approval_client);
    std::unique_ptr<node::node> entry_node;
    peer_link link(loop, {.m_listen = settings.m_peer_listen,
                          .m_on_message = [&entry_node](std::string_view bytes)
                          {
                              if (entry_node)
                                  entry_node->on_peer_message(bytes);
                          }});
    auto options = make_options(settings, link, to_store, to_workers, to_approvals);
    std::unique_ptr<http_server> caller_server;
    options.m_on_closing = [&caller_server]
    {
        if (caller_server)
            caller_server->drain();
    };
    options.m_on_stopped = [&loop] { loop.stop(); };
    entry_node = std::make_unique<node::node>(loop, registry, std::move(options));

    const auto limits = client_limits(settings);
    caller_server = std::make_unique<http_server>(
        loop,
        http_server_options{
            .m_listen = settings.m_caller_listen,
            .m_max_body_bytes = settings.m_max_body_bytes,
            .m_limits = limits.m_callers,
            .m_handler = wire::make_caller_handler(
                {.m_config = [&entry_node] { return entry_node->config(); },
                 .m_call = [&entry_node](cell::caller_call call,
                                         std::function<void(const cell::caller_answer&)> done)
                 { entry_node->callers().call(std::move(call), std::move(done)); },
                 .m_stopping = [&entry_node] { return entry_node->stopping(); }}),
            .m_refusal = wire::make_refusal});
    const http_server readiness_server(loop, {.m_listen = settings.m_cell->m_ready_listen,
                                              .m_limits = limits.m_readiness,
                                              .m_handler = wire::make_ready_handler(
                                                  [&entry_node] { return entry_node->ready(); })});
    const http_server operator_server(
        loop, {.m_listen = settings.m_operator_listen,
               .m_limits = limits.m_operators,
               .m_handler = node::make_operator_handler([&entry_node] { return entry_node.get(); },
                                                        registry)});
    const http_server_report callers_report(loop, registry, *caller_server, "callers");
    const http_server_report readiness_report(loop, registry, readiness_server, "readiness");
    const http_server_report operators_report(loop, registry, operator_server, "operators");
    const auto on_terminate = loop.on_signal(SIGTERM, [&entry_node] { entry_node->stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&entry_node] { entry_node->stop(); });
    const auto on_hangup =
        loop.on_signal(SIGHUP, [] { log_event(log_level::info, "reload_ignored", {}); });
    log_event(log_level::info, "started", {{"data_centre", settings.m_data_centre.m_value}});
    loop.run();
    log_event(log_level::info, "stopped", {});
    return 0;
}

} // namespace dragonflygap::daemon
