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

const endpoint store_address{"10.0.0.1", 80};
const endpoint approval_address{"10.0.0.2", 80};
constexpr duration way = 1ms;
constexpr std::uint16_t worker_port = 9000;

instant g_now; // the world's clock; tests run one world at a time

instant world_now()
{
    return g_now;
}

bool is_answer(std::string_view bytes)
{
    const auto read = cell::decode_peer(bytes);
    return read && std::holds_alternative<cell::caller_answer>(read->m_message);
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
      m_store(m_random,
              [this](duration delay, std::function<void()> work) { later(delay, std::move(work)); })
{
    g_now = instant(1s);
    monotonic_clock::set_source(&world_now);
    m_referee.m_now_ms = [this] { return now_ms(); };
    m_referee.m_nature = [this](const std::string& job, int number) -> const task_nature*
    {
        const auto found = m_jobs.find(job);
        if (found == m_jobs.end() || number >= static_cast<int>(found->second.size()))
            return nullptr;
        return &found->second[static_cast<std::size_t>(number)];
    };
    for (int i = 0; i < options.m_workers; ++i)
        m_workers.push_back(std::make_unique<worker>(
            "w" + std::to_string(i), m_random, m_referee,
            [this](duration delay, std::function<void()> work) { later(delay, std::move(work)); }));
    set_config(1, queue_config(1));
    beat();
    for (int i = 0; i < options.m_vms; ++i)
        start("vm" + std::to_string(i));
}

cell_world::~cell_world()
{
    m_boxes.clear();
    monotonic_clock::set_source(nullptr);
}

std::int64_t cell_world::now_ms() const
{
    return to_ms(g_now.time_since_epoch());
}

std::string cell_world::address_of(int number)
{
    return "10.1.0." + std::to_string(number + 1);
}

void cell_world::later(duration delay, std::function<void()> work)
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

bool cell_world::step(instant until)
{
    timer_queue* first = nullptr;
    instant due = until + duration(1);
    auto consider = [&](timer_queue& queue)
    {
        const auto next = queue.next();
        if (next && *next < due)
        {
            first = &queue;
            due = *next;
        }
    };
    consider(m_network);
    for (auto& [vm, owner] : m_boxes)
        if (!owner->m_frozen)
            consider(owner->m_timers);
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
    return json{{"version", version}, {"routes", {route}}, {"services", json::array()}}.dump();
}

void cell_world::set_config(int, const std::string& body)
{
    m_store.put("op", "config", body);
}

// The workers' heartbeats: entries of those that are heard, none of those that are silent.
void cell_world::beat()
{
    constexpr duration interval = 500ms;
    for (std::size_t i = 0; i < m_workers.size(); ++i)
    {
        const auto address = address_of(static_cast<int>(i)) + ":" + std::to_string(worker_port);
        if (m_workers[i]->m_faults.m_dark)
            m_store.drop("servers", m_workers[i]->id());
        else
            m_store.put("servers", m_workers[i]->id(), m_workers[i]->entry("looms", address));
    }
    later(interval, [this] { beat(); });
}

http_transport cell_world::transport_of(const std::string& vm, box& owner)
{
    http_transport transport;
    transport.m_send = [this, vm, &owner](const endpoint& to, http_request request,
                                          duration timeout, http_transport::done on_done)
    {
        const auto call = ++m_last_call;
        auto open = std::make_shared<http_transport::done>(std::move(on_done));
        // Both run in the VM's own loop, which is gone when the VM is.
        auto finish = [this, vm, open, life = owner.m_life](outcome<http_response> result)
        {
            const auto found = m_boxes.find(vm);
            if (found == m_boxes.end() || found->second->m_life != life || !*open)
                return;
            found->second->m_loop.post(
                [open, result = std::move(result)]
                {
                    if (const auto done = std::exchange(*open, nullptr))
                        done(result);
                });
        };
        owner.m_loop.defer(timeout,
                           [open]
                           {
                               if (const auto done = std::exchange(*open, nullptr))
                                   done(fail(verdict::may_have_run, reason::target_silent, ""));
                           });
        later(way,
              [this, vm, to, request = std::move(request), finish]
              {
                  route(vm, to, request,
                        [this, finish](http_response response)
                        { later(way, [finish, response] { finish(response); }); });
              });
        return call;
    };
    transport.m_cancel = [](http_transport::call_id) {};
    transport.m_close_idle = [](const endpoint&) {};
    return transport;
}

void cell_world::route(const std::string& vm, const endpoint& to, const http_request& request,
                       const std::function<void(http_response)>& done)
{
    if (to == store_address)
    {
        if (!is_cut(vm, "store"))
            m_store.handle(request, done);
        return;
    }
    if (to == approval_address)
        return approve(request, done);
    for (std::size_t i = 0; i < m_workers.size(); ++i)
        if (address_of(static_cast<int>(i)) == to.m_ip && !is_cut(vm, to.m_ip))
            m_workers[i]->handle(request, done);
}

// The policy denies a step one worker of four, always the same one.
void cell_world::approve(const http_request& request,
                         const std::function<void(http_response)>& done)
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
    later(decision, [done, response = std::move(response)] { done(response); });
}

bool cell_world::is_cut(const std::string& one, const std::string& other) const
{
    return m_cuts.count({one, other}) != 0 || m_cuts.count({other, one}) != 0;
}

void cell_world::cut(const std::string& one, const std::string& other)
{
    m_cuts.insert({one, other});
}

void cell_world::start(const std::string& vm)
{
    auto owner = std::make_unique<box>();
    auto& made = *owner;
    made.m_life = ++m_last_life;
    m_boxes[vm] = std::move(owner);
    made.m_transport = transport_of(vm, made);
    const auto number = static_cast<std::uint16_t>(7000 + std::stoi(vm.substr(2)));
    node::node_options options{.m_vm = vm_id(vm),
                               .m_data_centre = data_centre_id("a"),
                               .m_incarnation = made.m_life,
                               .m_peer_address = {"10.2.0.1", number},
                               .m_store = wire::make_store(made.m_transport, store_address),
                               .m_directory = wire::make_directory(made.m_transport, store_address),
                               .m_workers = wire::make_workers(made.m_transport),
                               .m_approvals =
                                   wire::make_approvals(made.m_transport, approval_address)};
    if (const auto share = m_options.m_processor_shares.find(vm);
        share != m_options.m_processor_shares.end())
        options.m_processor_share = share->second;
    options.m_peers = {.m_add = [](const vm_id&, const endpoint&) {},
                       .m_send =
                           [this, vm](const vm_id& peer, std::string_view bytes)
                       {
                           if (m_boxes.count(peer.m_value) == 0)
                               return false;
                           if (!is_cut(vm, peer.m_value))
                               later(is_answer(bytes) ? way + m_answer_delay : way,
                                     [this, peer, text = std::string(bytes)]
                                     {
                                         const auto found = m_boxes.find(peer.m_value);
                                         if (found != m_boxes.end())
                                             found->second->m_loop.post(
                                                 [node = found->second->m_node.get(), text]
                                                 { node->on_peer_message(text); });
                                     });
                           return true;
                       },
                       .m_redial = [](const vm_id&) {}};
    options.m_on_stopped = [this, vm] { later({}, [this, vm] { kill(vm); }); };
    made.m_node = std::make_unique<node::node>(made.m_loop, made.m_counted, std::move(options));
    made.m_handler = wire::make_caller_handler(
        {.m_config = [&made] { return made.m_node->config(); },
         .m_call =
             [&made](cell::caller_call call, std::function<void(const cell::caller_answer&)> done)
         { made.m_node->callers().call(std::move(call), std::move(done)); },
         .m_stopping = [&made] { return made.m_node->stopping(); }});
}

void cell_world::kill(const std::string& vm)
{
    m_boxes.erase(vm);
}

void cell_world::stop(const std::string& vm)
{
    if (const auto found = m_boxes.find(vm); found != m_boxes.end())
        found->second->m_loop.post([node = found->second->m_node.get()] { node->stop(); });
}

void cell_world::freeze(const std::string& vm, bool frozen)
{
    m_boxes.at(vm)->m_frozen = frozen;
}

node::node* cell_world::find(const std::string& vm)
{
    const auto found = m_boxes.find(vm);
    return found == m_boxes.end() ? nullptr : found->second->m_node.get();
}

std::string cell_world::leader() const
{
    std::string found;
    for (const auto& [vm, owner] : m_boxes)
        if (owner->m_node->leading() != nullptr)
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
    later(way,
          [this, vm, request = std::move(request), done = std::move(done)]
          {
              const auto found = m_boxes.find(vm);
              if (found == m_boxes.end())
                  return;
              found->second->m_loop.post(
                  [this, vm, request, done, life = found->second->m_life]
                  {
                      const auto owner = m_boxes.find(vm);
                      if (owner != m_boxes.end() && owner->second->m_life == life)
                          owner->second->m_handler(request,
                                                   std::make_shared<caller_exchange>(done));
                  });
          });
}

} // namespace stand_in
