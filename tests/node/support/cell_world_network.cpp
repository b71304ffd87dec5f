#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "node/support/cell_world.hpp"

namespace stand_in
{

namespace
{

using nlohmann::json;

} // namespace

http_transport cell_world::transport_of(const std::string& vm, vm_process& process)
{
    http_transport transport;
    transport.m_send = [this, vm, &process](const endpoint& to, http_request request,
                                            duration timeout, http_transport::done on_done)
    {
        const auto call = ++m_last_call;
        if (process.m_connections != nullptr && worker_at(to) != nullptr)
        {
            process.m_connections->send(to, std::move(request), timeout, std::move(on_done));
            return call;
        }
        auto open = std::make_shared<http_transport::done>(std::move(on_done));
        auto finish =
            [this, vm, open, incarnation = process.m_incarnation](outcome<http_response> result)
        {
            const auto found = m_processes.find(vm);
            const auto reading =
                found == m_processes.end() ? duration{} : found->second->reading_time(result);
            auto deliver = [this, vm, incarnation, open, result = std::move(result)]
            {
                post_to(vm, incarnation,
                        [open, result]
                        {
                            if (const auto done = std::exchange(*open, nullptr))
                                done(result);
                        });
            };
            if (reading > duration{})
                schedule(reading, deliver);
            else
                deliver();
        };
        process.m_loop.defer(timeout,
                             [open]
                             {
                                 if (const auto done = std::exchange(*open, nullptr))
                                     done(fail(verdict::may_have_run, reason::target_silent, ""));
                             });
        schedule(network_delay,
                 [this, vm, to, request = std::move(request), finish]
                 {
                     route(vm, to, request,
                           [this, finish](outcome<http_response> response)
                           { schedule(network_delay, [finish, response] { finish(response); }); });
                 });
        return call;
    };
    transport.m_cancel = [](http_transport::call_id) {};
    transport.m_close_idle = [](const endpoint&) {};
    return transport;
}

connection_network cell_world::network_of(const std::string& vm, std::uint64_t incarnation)
{
    connection_network network;
    network.m_connect = [this, vm, incarnation](const endpoint& to, connection_id connection,
                                                connection_network::connected done)
    {
        schedule(network_delay,
                 [this, vm, incarnation, to, connection, done = std::move(done)]
                 {
                     if (!reaches_worker(vm, to))
                         return;
                     const bool accepted = m_worker_connections.accept(to.m_ip, connection);
                     schedule(network_delay, [this, vm, incarnation, done, accepted]
                              { post_to(vm, incarnation, [done, accepted] { done(accepted); }); });
                 });
    };
    network.m_close = [this, vm](const endpoint& to, connection_id connection)
    { schedule(network_delay, [this, vm, to, connection] { close(vm, to, connection); }); };
    // A reset that is lost isn't sent again.
    network.m_reset = [this, vm](const endpoint& to, connection_id connection)
    {
        schedule(network_delay,
                 [this, vm, to, connection]
                 {
                     if (reaches_worker(vm, to))
                         m_worker_connections.close(to.m_ip, connection);
                 });
    };
    network.m_send = [this, vm, incarnation](const endpoint& to, connection_id connection,
                                             http_request request, http_transport::done done)
    {
        auto answer =
            [this, vm, incarnation, to, done = std::move(done)](outcome<http_response> result)
        {
            if (!reaches_worker(vm, to))
                return;
            schedule(network_delay, [this, vm, incarnation, done, result = std::move(result)]
                     { post_to(vm, incarnation, [done, result] { done(result); }); });
        };
        schedule(network_delay,
                 [this, vm, to, connection, request = std::move(request), answer]
                 {
                     if (!reaches_worker(vm, to))
                         return;
                     if (m_worker_connections.is_open(to.m_ip, connection))
                         route(vm, to, request, answer);
                     else
                         answer(fail(verdict::may_have_run, reason::target_failed, ""));
                 });
    };
    return network;
}

worker* cell_world::worker_at(const endpoint& address)
{
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        if (address_of(static_cast<int>(i)) == address.m_ip)
            return m_workers[i].get();
    return nullptr;
}

bool cell_world::reaches_worker(const std::string& vm, const endpoint& address)
{
    const auto* target = worker_at(address);
    return target != nullptr && !target->m_faults.m_unreachable && !is_cut(vm, address.m_ip);
}

// Work of a VM runs in the VM's own event loop, which ends with its process.
void cell_world::post_to(const std::string& vm, std::uint64_t incarnation,
                         std::function<void()> work)
{
    const auto found = m_processes.find(vm);
    if (found != m_processes.end() && found->second->m_incarnation == incarnation)
        found->second->m_loop.post(std::move(work));
}

void cell_world::route(const std::string& vm, const endpoint& to, const http_request& request,
                       const worker::reply& done)
{
    if (to == store_address)
    {
        // A cut drops the answers to calls from before as well.
        if (!is_cut(vm, "store"))
            m_store.handle(request,
                           [this, vm, done](const http_response& response)
                           {
                               if (!is_cut(vm, "store"))
                                   done(response);
                           });
        return;
    }
    if (to == approval_address)
        return approve(request, done);
    if (auto* target = worker_at(to); target != nullptr && !is_cut(vm, to.m_ip))
        target->handle(request, done);
}

// Denies each step a quarter of the workers, always the same ones.
void cell_world::approve(const http_request& request, const worker::reply& done)
{
    constexpr duration decision = 15ms;
    const auto body = json::parse(request.m_body);
    const auto step = body.at("step").get<std::string>();
    json approved = json::array();
    for (const auto& name : body.at("workers"))
        if ((std::hash<std::string>()(step) + std::stoull(name.get<std::string>().substr(1))) % 4 !=
            0)
            approved.push_back({name, "ticket"});
    auto response = json_response(200, json{{"approved", approved}, {"validity_ms", 2000}}.dump());
    schedule(decision, [done, response = std::move(response)] { done(response); });
}

bool cell_world::is_cut(const std::string& left, const std::string& right) const
{
    return m_cuts.count({left, right}) != 0 || m_cuts.count({right, left}) != 0;
}

void cell_world::cut(const std::string& left, const std::string& right)
{
    m_cuts.insert({left, right});
}

void cell_world::cut_off(const std::string& vm)
{
    cut(vm, "store");
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        cut(vm, address_of(static_cast<int>(i)));
    for (int i = 0; i < m_options.m_vms; ++i)
        cut(vm, "vm" + std::to_string(i));
}

void cell_world::heal(const std::string& party)
{
    std::erase_if(m_cuts,
                  [&](const auto& pair) { return pair.first == party || pair.second == party; });
}

void cell_world::heal(const std::string& left, const std::string& right)
{
    m_cuts.erase({left, right});
    m_cuts.erase({right, left});
}

bool cell_world::is_cut(const std::string& party) const
{
    return std::any_of(m_cuts.begin(), m_cuts.end(),
                       [&](const auto& pair)
                       { return pair.first == party || pair.second == party; });
}

void cell_world::kill(const std::string& vm)
{
    const auto found = m_processes.find(vm);
    if (found == m_processes.end())
        return;
    const auto incarnation = found->second->m_incarnation;
    m_processes.erase(found);
    for (const auto& [worker, connection] : m_worker_connections.of_process(incarnation))
        close(vm, {worker, worker_port}, connection);
}

void cell_world::cut_power(const std::string& vm)
{
    m_processes.erase(vm);
}

// The VM's system repeats the end of a connection until the worker has received it.
void cell_world::close(const std::string& vm, const endpoint& to, connection_id connection)
{
    constexpr duration retry_interval = 1s;
    if (reaches_worker(vm, to))
        m_worker_connections.close(to.m_ip, connection);
    else if (m_worker_connections.is_open(to.m_ip, connection))
        schedule(retry_interval, [this, vm, to, connection] { close(vm, to, connection); });
}

void cell_world::crash_worker(int number, const std::string& new_id)
{
    at(number).crash(new_id);
    const endpoint address{address_of(number), worker_port};
    for (const auto connection : m_worker_connections.close_all(address.m_ip))
        for (auto& [vm, process] : m_processes)
            if (process->m_connections != nullptr && reaches_worker(vm, address))
                process->m_loop.post([pools = process->m_connections.get(), connection]
                                     { pools->on_reset(connection); });
}

} // namespace stand_in
