#include "scenarios/support/node.hpp"

#include <utility>

#include "scenarios/support/world.hpp"

namespace scenarios
{

http_transport virtual_network::transport()
{
    return {.m_send = [this](const endpoint& to, http_request request, duration timeout,
                             http_transport::done on_done)
            { return send(to, std::move(request), timeout, std::move(on_done)); },
            .m_cancel = [this](http_transport::call_id id) { m_calls.erase(id); },
            .m_forget = [this](const endpoint& to) { m_idle.erase(to); }};
}

http_transport::call_id virtual_network::send(const endpoint& to, http_request request,
                                              duration timeout, http_transport::done on_done)
{
    const auto id = ++m_last;
    auto& idle = m_idle[to];
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
    m_calls[id] = {.m_to = to,
                   .m_connection = connection,
                   .m_done = std::move(on_done),
                   .m_timer = m_loop.after(
                       timeout, [this, id]
                       { finish(id, fail(verdict::may_have_run, reason::timeout, "no answer")); })};
    constexpr duration one_way = 500us;
    // What was sent arrives even if the sender is paused or dies meanwhile.
    m_world.arrive(one_way + m_delay,
                   [&around = m_world, vm = m_vm, id, to, request = std::move(request)]
                   {
                       const auto made = around.cell().handle(to, request, monotonic_clock::now());
                       if (auto* sender = around.find(vm))
                           sender->network().answer(id, made);
                   });
    return id;
}

void virtual_network::answer(http_transport::call_id id, const emulator::emulated_answer& made)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end() || made.m_lost)
        return;
    m_loop.defer(made.m_delay, [this, id, response = made.m_response] { finish(id, response); });
}

void virtual_network::finish(http_transport::call_id id, outcome<http_response> result)
{
    auto node = m_calls.extract(id);
    if (node.empty())
        return;
    auto& ended = node.mapped();
    constexpr std::size_t max_body_bytes = 1 << 20;
    if (result && result->m_body.size() > max_body_bytes)
        result = fail(verdict::ran, reason::answer_too_large, "the answer is too large");
    else if (result && !result->header("Content-Length").empty())
        result = fail(verdict::may_have_run, reason::target_failed, "the answer was cut short");
    else if (result)
        m_idle[ended.m_to].push_back(ended.m_connection);
    ended.m_done(std::move(result));
}

node::node(world& around, config::settings settings, std::uint64_t incarnation)
    : m_loop(m_timers), m_network(around, m_loop, settings.m_vm.m_value)
{
    const auto vm = settings.m_vm;
    m_requests = std::make_unique<request::request_task>(
        m_loop, m_network.transport(), m_metrics,
        request::request_task_options{
            .m_vm = vm,
            .m_data_centre = settings.m_data_centre,
            .m_incarnation = incarnation,
            .m_listen = settings.m_caller_listen,
            .m_max_body_bytes = settings.m_max_body_bytes,
            .m_history = true,
            .m_to_peer =
                [this](vm_id peer, cluster::body body)
            {
                m_loop.post(
                    [this, peer = std::move(peer), body = std::move(body)] {
                        m_control->handle(daemon::to_peer{peer, body});
                    });
            },
            .m_on_load = [this](cluster::load_digest load)
            { m_loop.post([this, load] { m_control->handle(daemon::load_changed{load}); }); },
            .m_on_drained = [this]
            { m_loop.post([this] { m_control->handle(daemon::requests_drained{}); }); }});
    m_control = std::make_unique<daemon::control_task>(
        m_loop, m_network.transport(), m_metrics,
        daemon::control_task_options{
            .m_settings = std::move(settings),
            .m_incarnation = incarnation,
            .m_platform = emulator::cell_options{}.m_platform,
            .m_to_requests = [this](request::request_message message)
            { m_loop.post([this, message = std::move(message)] { m_requests->handle(message); }); },
            .m_on_stopped = [this] { m_stopped = true; },
            .m_carry = [&around, vm](const vm_id& peer, std::string_view bytes)
            { return around.carry(vm.m_value, peer.m_value, std::string(bytes)); }});
}

} // namespace scenarios
