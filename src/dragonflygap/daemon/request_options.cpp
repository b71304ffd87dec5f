#include "dragonflygap/daemon/request_options.hpp"

#include <utility>

#include "dragonflygap/daemon/client_limits.hpp"

namespace dragonflygap::daemon
{

request::request_task_options make_request_options(const config::settings& settings,
                                                   request_wiring wiring)
{
    const auto& to_control = wiring.m_to_control;
    return {.m_vm = settings.m_vm,
            .m_data_centre = settings.m_data_centre,
            .m_incarnation = wiring.m_incarnation,
            .m_listen = settings.m_caller_listen,
            .m_max_body_bytes = settings.m_max_body_bytes,
            .m_limits = client_limits(settings).m_callers,
            .m_history = settings.m_history,
            .m_to_executors = std::move(wiring.m_to_executors),
            .m_probes = std::move(wiring.m_probes),
            .m_to_peer =
                [to_control](vm_id peer, cluster::body body) {
                    to_control(to_peer{std::move(peer), std::move(body)});
                },
            .m_to_claims = [to_control](request::claim_message message)
            { to_control(std::move(message)); },
            .m_on_load = [to_control](cluster::load_digest load)
            { to_control(load_changed{std::move(load)}); },
            .m_on_drained = [to_control] { to_control(requests_drained{}); }};
}

} // namespace dragonflygap::daemon
