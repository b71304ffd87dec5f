#include "node/support/cell_world.hpp"

#include <algorithm>
#include <utility>

#include <nlohmann/json.hpp>

#include "platform/caller_server.hpp"
#include "platform/directory_client.hpp"
#include "platform/names.hpp"
#include "platform/store_client.hpp"
#include "platform/worker_client.hpp"

namespace stand_in
{

namespace
{

using nlohmann::json;

constexpr std::int64_t store_clock_ahead_ms = 50000;

instant g_now; // virtual time; only one cell_world exists at a time

instant world_now()
{
    return g_now;
}

/// A caller's end of a connection.
class caller_exchange : public http_exchange
{
public:
    explicit caller_exchange(std::function<void(const http_response&)> done)
        : m_done(std::move(done))
    {
    }
    void reply(const http_response& response) override
    {
        if (const auto done = std::exchange(m_done, nullptr))
            done(response);
    }
    void on_hangup(std::function<void()>) override {}

private:
    std::function<void(const http_response&)> m_done;
};

} // namespace

cell_world::cell_world(world_options options)
    : m_options(options),
      m_random(options.m_seed),
      m_store(
          m_random,
          [this](duration delay, std::function<void()> work) { schedule(delay, std::move(work)); },
          [this] { return now_ms() + store_clock_ahead_ms; }),
      m_worker_connections(options.m_connections ? options.m_connections->m_max_per_worker : 0)
{
    g_now = instant(1s);
    monotonic_clock::set_source(&world_now);
    m_checker.m_now_ms = [this] { return now_ms(); };
    m_checker.m_find_spec = [this](const std::string& job, int number) -> const task_spec*
    {
        const auto found = m_jobs.find(job);
        if (found == m_jobs.end() || number >= static_cast<int>(found->second.size()))
            return nullptr;
        return &found->second[static_cast<std::size_t>(number)];
    };
    for (int i = 0; i < options.m_workers; ++i)
        m_workers.push_back(
            std::make_unique<worker>("w" + std::to_string(i), m_random, m_checker,
                                     [this](duration delay, std::function<void()> work)
                                     { schedule(delay, std::move(work)); }));
    for (int i = 0; i < options.m_customers; ++i)
    {
        const auto customer = "c" + std::to_string(i);
        m_keys[customer] = {"key-of-" + customer};
        m_caller_keys[customer] = m_keys[customer].front();
    }
    change_config();
    publish_workers();
    for (int i = 0; i < options.m_vms; ++i)
        start("vm" + std::to_string(i));
}

cell_world::~cell_world()
{
    m_processes.clear();
    monotonic_clock::set_source(nullptr);
}

std::int64_t cell_world::now_ms() const
{
    return to_ms(g_now.time_since_epoch());
}

std::string cell_world::address_of(int number)
{
    constexpr int per_subnet = 250;
    return "10.1." + std::to_string(number / per_subnet) + "." +
           std::to_string(number % per_subnet + 1);
}

void cell_world::schedule(duration delay, std::function<void()> work)
{
    m_network.add(g_now + delay, {}, std::move(work));
}

void cell_world::run(duration length)
{
    const auto until = g_now + length;
    while (step(until))
    {
    }
    g_now = until;
}

duration cell_world::delay_of(std::string_view message)
{
    const auto decoded = cell::decode_peer(message);
    if (decoded && std::holds_alternative<cell::caller_answer>(decoded->m_message))
        return network_delay + m_answer_delay;
    if (decoded && std::holds_alternative<cell::config_inquiry>(decoded->m_message))
        ++m_inquiries_sent;
    if (!decoded || !std::holds_alternative<cell::config_update>(decoded->m_message))
        return network_delay;
    ++m_configs_sent;
    return network_delay + m_config_delay;
}

bool cell_world::step(instant until)
{
    timer_queue* first = nullptr;
    instant due = until + duration(1);
    auto check_queue = [&](timer_queue& queue, std::optional<instant> next)
    {
        if (next && *next < due)
        {
            first = &queue;
            due = *next;
        }
    };
    check_queue(m_network, m_network.next());
    for (auto& [vm, process] : m_processes)
        if (!process->m_frozen)
            check_queue(process->m_timers, process->next_due());
    if (first == nullptr || due > until)
        return false;
    g_now = std::max(g_now, due);
    first->run_next(g_now);
    return true;
}

std::string cell_world::queue_config(int version) const
{
    json route{{"name", "q"},          {"host", "mill.example"},
               {"path_prefix", "/q/"}, {"service", "looms"},
               {"priority", 1},        {"max_attempts", 2},
               {"stretch", 2.0},       {"target_latency_ms", 1000}};
    if (m_options.m_approvals)
        route["advice"] = {{"decision_ms", 10.0}, {"period_ms", 0.1}, {"validity_ms", 2000}};
    json document{{"version", version}, {"routes", {route}}, {"services", json::array()}};
    if (m_options.m_customers == 0)
        return document.dump();
    auto open = route;
    open["name"] = "open";
    open["path_prefix"] = "/open/";
    open["allow_anonymous"] = true;
    document["routes"].push_back(open);
    document["tenants"] = json::array();
    for (const auto& [customer, keys] : m_keys)
        document["tenants"].push_back({{"name", customer}, {"api_keys", keys}, {"weight", 1.0}});
    return document.dump();
}

void cell_world::set_config(int version, const std::string& body)
{
    m_config_version = std::max(m_config_version, version);
    m_store.put("op", "config", body);
}

void cell_world::change_config()
{
    const int version = m_config_version + 1;
    set_config(version, queue_config(version));
}

// Simulates the workers' heartbeats: the store lists reachable workers only.
void cell_world::publish_workers()
{
    constexpr duration interval = 500ms;
    for (std::size_t i = 0; i < m_workers.size(); ++i)
    {
        const auto address = address_of(static_cast<int>(i)) + ":" + std::to_string(worker_port);
        if (m_workers[i]->m_faults.m_unreachable)
            m_store.drop("servers", m_workers[i]->id());
        else
        {
            const auto entry = m_workers[i]->entry("looms", address);
            const auto* stored = m_store.find("servers", m_workers[i]->id());
            if (m_options.m_heartbeats || stored == nullptr || stored->m_value != entry)
                m_store.put("servers", m_workers[i]->id(), entry);
            if (m_workers[i]->m_draining)
                m_workers[i]->notice_accepted();
        }
    }
    schedule(interval, [this] { publish_workers(); });
}

void cell_world::start(const std::string& vm)
{
    auto process = std::make_unique<vm_process>();
    auto& started = *process;
    started.m_incarnation = ++m_last_incarnation;
    m_processes[vm] = std::move(process);
    started.m_transport = transport_of(vm, started);
    if (m_options.m_connections)
        started.m_connections = std::make_unique<connection_pools>(
            started.m_loop, *m_options.m_connections, started.m_incarnation,
            network_of(vm, started.m_incarnation));
    const auto number = static_cast<std::uint16_t>(7000 + std::stoi(vm.substr(2)));
    node::node_options options{
        .m_vm = vm_id(vm),
        .m_data_centre = data_centre_id("a"),
        .m_incarnation = started.m_incarnation,
        .m_peer_address = {"10.2.0.1", number},
        .m_store = wire::make_store(started.m_transport, store_address),
        .m_directory = wire::make_directory(started.m_transport, store_address),
        .m_workers = wire::make_workers(started.m_transport),
        .m_approvals = wire::make_approvals(started.m_transport, approval_address)};
    if (const auto share = m_options.m_processor_shares.find(vm);
        share != m_options.m_processor_shares.end())
        options.m_processor_share = share->second;
    options.m_peers = {
        .m_add = [&started](const vm_id& peer, const endpoint&) { started.m_dialled.insert(peer); },
        .m_remove = [&started](const vm_id& peer) { started.m_dialled.erase(peer); },
        .m_send =
            [this, vm, &started](const vm_id& peer, std::string_view bytes)
        {
            if (started.m_dialled.count(peer) == 0 || m_processes.count(peer.m_value) == 0)
                return false;
            if (!is_cut(vm, peer.m_value) && m_silenced.count({vm, peer.m_value}) == 0)
                schedule(delay_of(bytes),
                         [this, peer, text = std::string(bytes)]
                         {
                             const auto found = m_processes.find(peer.m_value);
                             if (found != m_processes.end())
                                 found->second->m_loop.post(
                                     [node = found->second->m_node.get(), text]
                                     { node->on_peer_message(text); });
                         });
            return true;
        },
        .m_redial =
            [this, vm](const vm_id& peer) {
                m_silenced.erase({vm, peer.m_value});
            }};
    options.m_keys_expire = m_options.m_keys_expire;
    options.m_on_stopped = [this, vm] { schedule({}, [this, vm] { kill(vm); }); };
    started.m_node =
        std::make_unique<node::node>(started.m_loop, started.m_metrics, std::move(options));
    started.m_handler = wire::make_caller_handler(
        {.m_config = [&started] { return started.m_node->config(); },
         .m_check_key =
             [&started](const cell::queue_rules& queue, std::optional<std::string_view> key)
         { return started.m_node->check_key(queue, key); },
         .m_call = [&started](cell::caller_call call,
                              std::function<void(const cell::caller_answer&)> done)
         { started.m_node->callers().call(std::move(call), std::move(done)); },
         .m_stopping = [&started] { return started.m_node->stopping(); }});
}

void cell_world::stop(const std::string& vm)
{
    if (const auto found = m_processes.find(vm); found != m_processes.end())
        found->second->m_loop.post([node = found->second->m_node.get()] { node->stop(); });
}

std::optional<instant> cell_world::vm_process::next_due() const
{
    const auto next = m_timers.next();
    if (!next || m_round == duration{})
        return next;
    const auto since_round = next->time_since_epoch() % m_round;
    return since_round == duration{} ? *next : *next + (m_round - since_round);
}

duration cell_world::vm_process::reading_time(const outcome<http_response>& response) const
{
    if (!response || m_round == duration{})
        return {};
    return m_round * static_cast<int>(response->m_body.size() / m_bytes_per_round);
}

void cell_world::slow_down(const std::string& vm, duration round, std::size_t bytes_per_round)
{
    m_processes.at(vm)->m_round = round;
    m_processes.at(vm)->m_bytes_per_round = bytes_per_round;
}

void cell_world::freeze(const std::string& vm, bool frozen)
{
    m_processes.at(vm)->m_frozen = frozen;
}

bool cell_world::is_frozen(const std::string& vm) const
{
    const auto found = m_processes.find(vm);
    return found != m_processes.end() && found->second->m_frozen;
}

node::node* cell_world::find(const std::string& vm)
{
    const auto found = m_processes.find(vm);
    return found == m_processes.end() ? nullptr : found->second->m_node.get();
}

std::string cell_world::metrics_of(const std::string& vm) const
{
    return m_processes.at(vm)->m_metrics.text();
}

std::string cell_world::leader() const
{
    std::string found;
    for (const auto& [vm, process] : m_processes)
        if (process->m_node->leading() != nullptr)
        {
            if (!found.empty())
                return {};
            found = vm;
        }
    return found;
}

void cell_world::send(const std::string& vm, http_request request,
                      std::function<void(const http_response&)> done)
{
    request.m_headers.push_back({"Host", "mill.example"});
    schedule(network_delay,
             [this, vm, request = std::move(request), done = std::move(done)]
             {
                 const auto found = m_processes.find(vm);
                 if (found == m_processes.end())
                     return;
                 found->second->m_loop.post(
                     [this, vm, request, done, incarnation = found->second->m_incarnation]
                     {
                         const auto process = m_processes.find(vm);
                         if (process != m_processes.end() &&
                             process->second->m_incarnation == incarnation)
                             process->second->m_handler(request,
                                                        std::make_shared<caller_exchange>(done));
                     });
             });
}

} // namespace stand_in
