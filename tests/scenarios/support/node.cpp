#include "scenarios/support/node.hpp"

#include <utility>

#include "dragonflygap/daemon/request_options.hpp"
#include "scenarios/support/world.hpp"

namespace scenarios
{

http_transport virtual_network::transport()
{
    return {.m_send = [this](const endpoint& to, http_request request, duration timeout,
                             http_transport::done on_done)
            { return send(to, std::move(request), timeout, std::move(on_done)); },
            .m_cancel = [this](http_transport::call_id id) { m_calls.erase(id); },
            .m_close_idle = [this](const endpoint& to) { m_idle_connections.erase(to); }};
}

http_transport::call_id virtual_network::send(const endpoint& to, http_request request,
                                              duration timeout, http_transport::done on_done)
{
    const auto id = ++m_last_call_id;
    auto& idle = m_idle_connections[to];
    if (!m_reuse_connections)
        idle.clear();
    auto connection = static_cast<std::uint16_t>(m_last_connection + 1);
    if (idle.empty())
        m_last_connection = connection;
    else
    {
        connection = idle.back();
        idle.pop_back();
    }
    request.m_headers.push_back({std::string(vm_header), m_vm});
    request.m_peer = {m_vm, connection};
    m_calls[id] = {.m_endpoint = to,
                   .m_connection = connection,
                   .m_on_done = std::move(on_done),
                   .m_timer = m_loop.after(
                       timeout, [this, id]
                       { finish(id, fail(verdict::may_have_run, reason::timeout, "no answer")); })};
    constexpr duration one_way = 500us;
    // A request that was sent arrives even if the sender pauses or dies in the meantime.
    m_world.deliver_after(one_way + m_delay,
                          [this, &simulated_world = m_world, alive = std::weak_ptr(m_alive), id, to,
                           request = std::move(request)]
                          {
                              const auto emulated = simulated_world.cell().handle(
                                  to, request, monotonic_clock::now());
                              if (!alive.expired())
                                  schedule_answer(id, emulated);
                          });
    return id;
}

void virtual_network::schedule_answer(http_transport::call_id id,
                                      const emulator::emulated_answer& emulated)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || emulated.m_lost)
        return;
    m_loop.defer(emulated.m_delay,
                 [this, id, response = emulated.m_response] { finish(id, response); });
}

void virtual_network::finish(http_transport::call_id id, outcome<http_response> result)
{
    auto extracted = m_calls.extract(id);
    if (extracted.empty())
        return;
    auto& finished_call = extracted.mapped();
    constexpr std::size_t max_body_bytes = 1 << 20;
    if (result && result->m_body.size() > max_body_bytes)
        result = fail(verdict::ran, reason::answer_too_large, "the answer is too large");
    else if (result && !result->header("Content-Length").empty())
        result = fail(verdict::may_have_run, reason::target_failed, "the answer was cut short");
    else if (result)
        m_idle_connections[finished_call.m_endpoint].push_back(finished_call.m_connection);
    finished_call.m_on_done(std::move(result));
}

node::node(world& simulated_world, config::settings settings, std::uint64_t incarnation)
    : m_loop(m_timers),
      m_network(simulated_world, m_loop, settings.m_vm.m_value, true),
      m_probes(simulated_world, m_loop, settings.m_vm.m_value, false)
{
    const auto vm = settings.m_vm;
    m_requests = std::make_unique<request::request_task>(
        m_loop, m_metrics,
        daemon::make_request_options(settings, {.m_incarnation = incarnation,
                                                .m_to_executors = m_network.transport(),
                                                .m_probes = m_probes.transport(),
                                                .m_to_control = [this](auto message)
                                                { post_to_control(std::move(message)); }}));
    m_control = std::make_unique<daemon::control_task>(
        m_loop, m_network.transport(), m_metrics,
        daemon::control_task_options{
            .m_settings = std::move(settings),
            .m_incarnation = incarnation,
            .m_platform = emulator::cell_options{}.m_platform,
            .m_to_requests = [this](request::request_message message)
            { m_loop.post([this, message = std::move(message)] { m_requests->handle(message); }); },
            .m_on_stopped = [this] { m_stopped = true; },
            .m_send_override =
                [&simulated_world, vm](const vm_id& peer, std::string_view bytes) {
                    return simulated_world.send_message(vm.m_value, peer.m_value,
                                                        std::string(bytes));
                }});
}

void node::post_to_control(daemon::control_message message)
{
    m_loop.post([this, message = std::move(message)] { m_control->handle(message); });
}

} // namespace scenarios
