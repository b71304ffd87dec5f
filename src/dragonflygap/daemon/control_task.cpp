#include "dragonflygap/daemon/control_task.hpp"

#include <map>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

#include "dragonflygap/daemon/client_limits.hpp"
#include "dragonflygap/daemon/config_driver.hpp"
#include "dragonflygap/daemon/control_meter.hpp"
#include "dragonflygap/daemon/job_driver.hpp"
#include "dragonflygap/daemon/key_driver.hpp"
#include "dragonflygap/daemon/member_driver.hpp"
#include "dragonflygap/daemon/operator_api.hpp"
#include "dragonflygap/daemon/ownership_driver.hpp"
#include "dragonflygap/daemon/worker_directory.hpp"
#include "dragonflygap/net/counted_transport.hpp"
#include "dragonflygap/net/event_loop.hpp"
#include "dragonflygap/net/http_server.hpp"
#include "dragonflygap/net/http_server_report.hpp"
#include "dragonflygap/observe/history.hpp"
#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"
#include "dragonflygap/platform/guarded_table.hpp"
#include "dragonflygap/platform/http_platform.hpp"

namespace dragonflygap::daemon
{

namespace
{

constexpr duration vm_list_interval = 1s;

} // namespace

class control_task::state
{
public:
    state(event_loop& loop, const http_transport& to_platform, metrics& registry,
          control_task_options options)
        : m_loop(loop),
          m_options(std::move(options)),
          m_traffic(std::make_shared<call_traffic>()),
          m_platform{.m_address = m_options.m_platform,
                     .m_transport = make_counted_transport(to_platform, m_traffic)},
          m_vm_list(platform::make_http_vm_list(m_platform)),
          m_table(loop, platform::make_http_table(m_platform), {.m_seed = m_options.m_incarnation},
                  registry),
          m_workers(m_options.m_settings.m_data_centre, m_options.m_settings.m_history),
          m_members(loop, member_options()),
          m_meter(loop, registry, m_members.link(), m_traffic),
          m_config(loop, m_table.port(platform::call_priority::normal), config_options()),
          m_ownership(
              loop, m_table.port(platform::call_priority::lease), lease_manager_options(),
              [this](const auto& epochs) { on_groups_changed(epochs); },
              [this](const vm_id& peer, cluster::body body)
              { m_members.send(peer, std::move(body)); }),
          m_jobs(loop, m_table.port(platform::call_priority::normal),
                 platform::make_http_workers(m_platform), job_options()),
          m_keys(loop, m_table.port(platform::call_priority::normal), key_options(),
                 m_options.m_to_requests),
          m_api(api_options(registry)),
          m_server(loop, {.m_listen = m_options.m_settings.m_operator_listen,
                          .m_limits = client_limits(m_options.m_settings).m_operators,
                          .m_handler =
                              [this](const http_request& request, const http_exchange_ptr& exchange)
                          { serve(request, exchange); }}),
          m_server_report(loop, registry, m_server, "operators")
    {
        m_vm_timer = m_loop.every(vm_list_interval, [this] { poll_vms(); });
        m_loop.post([this] { poll_vms(); });
    }

    std::uint16_t operator_port() const { return m_server.port(); }

    void serve(const http_request& request, const http_exchange_ptr& exchange)
    {
        handle_operator_request(m_api, request, exchange);
    }

    void handle(control_message message)
    {
        std::visit([this](auto& alternative) { on(std::move(alternative)); }, message);
    }

private:
    member_driver_options member_options()
    {
        return {.m_settings = &m_options.m_settings,
                .m_incarnation = m_options.m_incarnation,
                .m_fill_heartbeat = [this](cluster::heartbeat& beat) { fill_heartbeat(beat); },
                .m_on_members_changed = [this] { on_members_changed(); },
                .m_send_override = m_options.m_send_override,
                .m_on_message = [this](cluster::message message)
                { on_message(std::move(message)); }};
    }

    ownership::lease_manager_options lease_manager_options() const
    {
        return {.m_vm = m_options.m_settings.m_vm,
                .m_data_centre = m_options.m_settings.m_data_centre,
                .m_incarnation = m_options.m_incarnation};
    }

    request::key_claims_options key_options() const
    {
        return {.m_vm = m_options.m_settings.m_vm,
                .m_incarnation = m_options.m_incarnation,
                .m_is_holder_alive = [this](const vm_id& vm, std::uint64_t incarnation)
                { return is_alive(vm, incarnation); }};
    }

    bool is_alive(const vm_id& vm, std::uint64_t incarnation) const
    {
        if (vm == m_options.m_settings.m_vm)
            return incarnation == m_options.m_incarnation;
        const auto& members = m_members.members().members();
        const auto found = members.find(vm);
        return found != members.end() && found->second.m_incarnation == incarnation &&
               found->second.m_status != cluster::member_status::dead;
    }

    config_driver_options config_options()
    {
        return {
            .m_change_prefix =
                m_options.m_settings.m_vm.m_value + "." + std::to_string(m_options.m_incarnation),
            .m_on_changed = [this](const auto& changed) { on_config(changed); },
            .m_request_document =
                [this](const vm_id& peer)
            {
                m_members.send(peer, cluster::config_request{m_config.active_document().m_version});
            },
            .m_publish =
                [this](const auto& accepted)
            {
                m_members.send_to_all(cluster::config_update{accepted.m_version, accepted.m_text});
            }};
    }

    job_driver_options job_options()
    {
        return {.m_vm = m_options.m_settings.m_vm,
                .m_data_centre = m_options.m_settings.m_data_centre,
                .m_incarnation = m_options.m_incarnation,
                .m_history = m_options.m_settings.m_history,
                .m_to_peer = [this](const vm_id& peer, cluster::body body)
                { m_members.send(peer, std::move(body)); },
                .m_to_all_peers = [this](const cluster::body& body)
                { m_members.send_to_all(body); }};
    }

    operator_api_options api_options(const metrics& registry)
    {
        return {.m_vm = m_options.m_settings.m_vm,
                .m_metrics = &registry,
                .m_config = &m_config,
                .m_jobs = &m_jobs,
                .m_members = &m_members,
                .m_ready = [this] { return ready(); },
                .m_status = [this] { return status(); },
                .m_workers = [this] { return m_workers.to_json(m_jobs.manager().placements()); },
                .m_drain = [this] { begin_stop(); }};
    }

    bool ready() const
    {
        return !m_stopping && m_workers.has_list() && m_config.has_active_document();
    }

    void fill_heartbeat(cluster::heartbeat& beat) const
    {
        beat.m_leaving = m_stopping;
        beat.m_config_version = m_config.active_document().m_version;
        beat.m_groups_owned = static_cast<std::uint32_t>(m_workers.owned_groups().size());
        beat.m_load = m_load;
    }

    void on_members_changed()
    {
        request::peers_changed changed;
        for (const auto& [vm, member] : m_members.members().members())
        {
            m_config.on_peer_version(vm, member.m_config_version);
            report_process(member);
            if (member.m_status != cluster::member_status::alive)
                continue;
            changed.m_peers.push_back({.m_vm = vm,
                                       .m_data_centre = member.m_data_centre,
                                       .m_free_slots = member.m_load.m_free_slots,
                                       .m_updated_at = member.m_last_heard});
        }
        // Counts silent peers too: they may be partitioned from us and still call the platform.
        constexpr int this_vm = 1;
        m_table.set_vm_count(this_vm + static_cast<int>(m_members.members().members().size()));
        m_options.m_to_requests(std::move(changed));
    }

    void on_message(cluster::message message)
    {
        if (const auto* update = std::get_if<cluster::config_update>(&message.m_body))
            return m_config.update_if_newer(update->m_version, update->m_text);
        if (const auto* query = std::get_if<cluster::config_request>(&message.m_body))
            return answer_config_request(message.m_from, *query);
        if (const auto* query = std::get_if<cluster::promise_request>(&message.m_body))
            return m_ownership.on_message(message.m_from, *query);
        if (const auto* grant = std::get_if<cluster::promise_grant>(&message.m_body))
            return m_ownership.on_message(message.m_from, *grant);
        if (const auto* query = std::get_if<cluster::capacity_request>(&message.m_body))
            return m_jobs.on_message(message.m_from, *query);
        if (const auto* reply = std::get_if<cluster::capacity_reply>(&message.m_body))
            return m_jobs.on_message(message.m_from, *reply);
        if (const auto* updated = std::get_if<cluster::jobs_updated>(&message.m_body))
            return m_jobs.on_message(message.m_from, *updated);
        m_options.m_to_requests(
            request::from_peer{message.m_from, message.m_incarnation, std::move(message.m_body)});
    }

    void answer_config_request(const vm_id& peer, const cluster::config_request& query)
    {
        const auto& active = m_config.active_document();
        if (active.m_version > query.m_known_version)
            m_members.send(peer, cluster::config_update{active.m_version, active.m_text});
    }

    void on_config(const config::versioned_document& changed)
    {
        m_jobs.set_teams(changed.m_document.m_teams);
        m_options.m_to_requests(
            request::classes_changed{changed.m_document.m_classes, changed.m_document.m_callers});
        if (m_options.m_settings.m_history)
            history::record(history::config_in_force{changed.m_version});
    }

    void on_groups_changed(const std::map<ownership::group_index, std::uint64_t>& epochs)
    {
        m_workers.set_owned_groups(epochs);
        publish_workers();
    }

    void poll_vms()
    {
        m_vm_list.m_list(
            [this](outcome<std::optional<std::vector<platform::worker>>> list)
            {
                if (!list || !*list)
                    return;
                m_workers.set_listed(std::move(**list));
                publish_workers();
            });
    }

    void publish_workers()
    {
        if (m_workers.has_list())
            m_jobs.set_workers(m_workers.owned());
        m_options.m_to_requests(request::targets_changed{m_workers.targets()});
    }

    void on(load_changed message) { m_load = std::move(message.m_load); }

    void report_process(const cluster::member& member)
    {
        const request::peer_process_changed seen{.m_vm = member.m_vm,
                                                 .m_incarnation = member.m_incarnation,
                                                 .m_dead = member.m_status ==
                                                           cluster::member_status::dead};
        auto& reported = m_reported_processes[member.m_vm];
        if (reported.m_incarnation == seen.m_incarnation && reported.m_dead == seen.m_dead)
            return;
        reported = seen;
        m_options.m_to_requests(seen);
    }

    void on(to_peer message)
    {
        const auto* request = std::get_if<cluster::forwarded_request>(&message.m_body);
        const auto call = request == nullptr ? 0 : request->m_call;
        const bool sent = m_members.send(message.m_peer, std::move(message.m_body));
        if (!sent && call != 0)
            m_options.m_to_requests(request::forward_not_sent{call});
    }

    void on(request::claim_message message) { m_keys.handle(std::move(message)); }

    void on(const peer_bytes& message) { m_members.receive(message.m_bytes); }

    void on(const stop_requested& /*message*/) { begin_stop(); }

    void begin_stop()
    {
        if (std::exchange(m_stopping, true))
            return;
        log_event(log_level::info, "draining", {});
        m_members.announce();
        if (m_options.m_settings.m_history)
            history::record(history::node_draining{});
        m_options.m_to_requests(request::start_draining{});
        m_drain_timer =
            m_loop.after(m_options.m_settings.m_drain_timeout, [this] { finish_stop(); });
    }

    void on(const requests_drained& /*message*/)
    {
        if (m_stopping)
            finish_stop();
    }

    void finish_stop()
    {
        if (std::exchange(m_stopped, true))
            return;
        m_ownership.leave();
        // Allows for handing over the groups and writing the remaining responses.
        constexpr duration handover_time = 1500ms;
        m_drain_timer = m_loop.after(handover_time, m_options.m_on_stopped);
    }

    std::string status() const
    {
        return nlohmann::json{{"vm", m_options.m_settings.m_vm.m_value},
                              {"data_centre", m_options.m_settings.m_data_centre.m_value},
                              {"ready", ready()},
                              {"draining", m_stopping},
                              {"config_version", m_config.active_document().m_version},
                              {"groups_owned", m_workers.owned_groups().size()},
                              {"slots", m_load.m_slots},
                              {"free_slots", m_load.m_free_slots},
                              {"jobs", m_jobs.manager().jobs().size()}}
            .dump();
    }

    event_loop& m_loop;
    control_task_options m_options;
    std::shared_ptr<call_traffic> m_traffic;
    platform::http_platform_options m_platform;
    platform::vm_list_port m_vm_list;
    platform::guarded_table m_table;
    cluster::load_digest m_load;
    std::map<vm_id, request::peer_process_changed> m_reported_processes;
    worker_directory m_workers;
    bool m_stopping = false;
    bool m_stopped = false;
    member_driver m_members;
    control_meter m_meter;
    config_driver m_config;
    ownership_driver m_ownership;
    job_driver m_jobs;
    key_driver m_keys;
    operator_api_options m_api;
    http_server m_server;
    http_server_report m_server_report;
    event_loop::timer_ptr m_vm_timer;
    event_loop::timer_ptr m_drain_timer;
};

control_task::control_task(event_loop& loop, const http_transport& to_platform, metrics& registry,
                           control_task_options options)
    : m_state(std::make_unique<state>(loop, to_platform, registry, std::move(options)))
{
}

control_task::~control_task() = default;

void control_task::handle(control_message message)
{
    m_state->handle(std::move(message));
}

void control_task::serve(const http_request& request, const http_exchange_ptr& exchange)
{
    m_state->serve(request, exchange);
}

std::uint16_t control_task::operator_port() const
{
    return m_state->operator_port();
}

} // namespace dragonflygap::daemon
