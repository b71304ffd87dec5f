#include "scenarios/support/world.hpp"

#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

#include "dragonflygap/observe/history.hpp"
#include "scenarios/support/node.hpp"
#include "scenarios/support/virtual_exchange.hpp"

namespace scenarios
{

namespace
{

constexpr instant beginning{1000s};
instant world_now = beginning;

instant read_world_now()
{
    return world_now;
}

std::string vm_name(int number)
{
    return "entry-" + std::to_string(number);
}

std::string centre_name(int number)
{
    return std::string("norte-") + static_cast<char>('a' + number);
}

std::vector<data_centre_id> centre_names(int count)
{
    std::vector<data_centre_id> result;
    for (int i = 0; i < count; ++i)
        result.emplace_back(centre_name(i));
    return result;
}

int number_of(const std::string& vm)
{
    return std::stoi(vm.substr(vm.find('-') + 1));
}

} // namespace

world::world(world_options options)
    : m_options(options),
      m_random(options.m_seed),
      m_cell({.m_data_centres = centre_names(options.m_data_centres),
              .m_workers = options.m_workers,
              .m_slots = options.m_slots,
              .m_record = [this](const history::event& what, instant at)
              { record("emulator", what, at); }})
{
    world_now = beginning;
    monotonic_clock::set_source(&read_world_now);
    history::set_sink([this](const history::event& what, instant at)
                      { record(m_acting, what, at); });
    // A wrong account of the room must show, so the stand-in doesn't correct it.
    faults(R"({"enforce_capacity": false})");
    for (int i = 1; i <= options.m_entry_vms; ++i)
        start(vm_name(i));
}

world::~world()
{
    m_nodes.clear();
    history::set_sink({});
    monotonic_clock::set_source(nullptr);
}

void world::record(const std::string& vm, const history::event& what, instant at)
{
    m_lines.push_back(history::format(vm, what, at));
    if (const auto* started = std::get_if<history::worker_task_started>(&what))
    {
        m_running[started->m_task.m_value + "@" + started->m_worker.m_value] =
            started->m_task.m_value;
        ++m_task_starts[started->m_task.m_value];
    }
    if (const auto* ended = std::get_if<history::worker_task_ended>(&what))
        m_running.erase(ended->m_task.m_value + "@" + ended->m_worker.m_value);
}

std::string world::centre_of(const std::string& vm) const
{
    return centre_name((number_of(vm) - 1) % m_options.m_data_centres);
}

void world::start(const std::string& vm)
{
    config::settings settings{.m_vm = vm_id(vm),
                              .m_data_centre = data_centre_id(centre_of(vm)),
                              .m_caller_listen = {"127.0.0.1", 0},
                              .m_operator_listen = {"127.0.0.1", 0},
                              .m_peer_listen = {"127.0.0.1", 0},
                              .m_platform = emulator::cell_options{}.m_platform,
                              .m_history = true};
    for (int i = 1; i <= m_options.m_entry_vms; ++i)
        if (vm_name(i) != vm)
            settings.m_peers.push_back({.m_vm = vm_id(vm_name(i)),
                                        .m_data_centre = data_centre_id(centre_of(vm_name(i))),
                                        .m_address = {"127.0.0.1", 1}});
    m_acting = vm;
    m_draining.erase(vm);
    record(vm, history::node_started{++m_last_incarnation}, world_now);
    m_nodes[vm] = std::make_unique<node>(*this, std::move(settings), m_last_incarnation);
    if (const auto slow = m_slow.find(vm); slow != m_slow.end())
        m_nodes[vm]->network().set_delay(slow->second);
}

void world::kill(const std::string& vm)
{
    record("scenario", history::fault_injected{vm_id(vm), "kill"}, world_now);
    // The dead node says nothing more: what its destructors would answer is a lost connection.
    m_nodes.erase(vm);
}

void world::pause(const std::string& vm)
{
    record("scenario", history::fault_injected{vm_id(vm), "pause"}, world_now);
    m_nodes.at(vm)->m_paused = true;
}

void world::resume(const std::string& vm)
{
    record("scenario", history::fault_healed{vm_id(vm), "pause"}, world_now);
    m_nodes.at(vm)->m_paused = false;
}

void world::drain(const std::string& vm)
{
    m_draining.insert(vm);
    auto& leaving = *m_nodes.at(vm);
    leaving.post([&leaving] { leaving.control().handle(daemon::stop_requested{}); });
}

void world::cut(const std::string& from, const std::string& to)
{
    m_cuts.insert({from, to});
}

void world::heal()
{
    m_cuts.clear();
    m_slow.clear();
    for (auto& [vm, node] : m_nodes)
        node->network().set_delay({});
    faults(R"({"cuts": []})");
}

void world::slow_calls(const std::string& vm, duration delay)
{
    m_slow[vm] = delay;
    m_nodes.at(vm)->network().set_delay(delay);
}

void world::faults(const std::string& json)
{
    m_cell.handle(emulator::cell_options{}.m_platform,
                  {.m_method = "POST", .m_path = "/faults", .m_body = json}, world_now);
}

bool world::is_cut(const std::string& from, const std::string& to) const
{
    const auto names = [&](const std::string& pattern, const std::string& vm)
    { return pattern == "*" || pattern == vm || pattern == centre_of(vm); };
    for (const auto& [left, right] : m_cuts)
        if (names(left, from) && names(right, to))
            return true;
    return false;
}

bool world::carry(const std::string& from, const std::string& to, std::string bytes)
{
    if (is_cut(from, to))
        return true;
    constexpr int least_us = 1000;
    constexpr int most_us = 3000;
    std::uniform_int_distribution<int> delay(least_us, most_us);
    for (int copies = m_double_messages ? 2 : 1; copies > 0; --copies)
        arrive(duration(delay(m_random)),
               [this, to, bytes]
               {
                   if (auto* receiver = find(to))
                       receiver->post([receiver, bytes]
                                      { receiver->control().handle(daemon::peer_bytes{bytes}); });
               });
    return true;
}

void world::arrive(duration delay, std::function<void()> work)
{
    m_network.add(world_now + delay, {}, std::move(work));
}

node* world::find(const std::string& vm)
{
    const auto found = m_nodes.find(vm);
    return found == m_nodes.end() ? nullptr : found->second.get();
}

void world::run(duration length)
{
    const auto until = world_now + length;
    while (step(until))
    {
    }
    world_now = until;
    m_cell.advance(world_now);
}

bool world::step(instant until)
{
    auto* earliest = &m_network;
    std::string acting = "network";
    auto due = m_network.next().value_or(instant::max());
    for (auto& [vm, node] : m_nodes)
    {
        const auto next = node->timers().next();
        if (node->m_paused || !next || *next >= due)
            continue;
        earliest = &node->timers();
        due = *next;
        acting = vm;
    }
    if (due > until)
        return false;
    world_now = std::max(world_now, due);
    m_acting = acting;
    m_cell.advance(world_now);
    earliest->run_next(world_now);
    const auto acted = m_nodes.find(acting);
    if (acted != m_nodes.end() && acted->second->m_stopped)
    {
        record(acting, history::node_stopped{}, world_now);
        m_nodes.erase(acted);
    }
    return true;
}

void world::call(const call_options& options)
{
    ++m_calls.m_sent;
    const auto token = options.m_key.empty() ? "t" + std::to_string(++m_last_call) : options.m_key;
    const bool keyed = !options.m_key.empty();
    std::vector<std::string> up;
    for (const auto& [vm, node] : m_nodes)
        if (options.m_through.empty() ? !node->m_paused && !m_draining.contains(vm)
                                      : vm == options.m_through)
            up.push_back(vm);
    if (up.empty())
        return lost(token, keyed, verdict::not_run);
    const auto& vm = up[m_random() % up.size()];
    http_request request{.m_method = "POST",
                         .m_path = "/v1/requests/" + options.m_class,
                         .m_headers = {{"X-Dragonflygap-Caller", "floor"}},
                         .m_body =
                             nlohmann::json{{"run_ms", options.m_run_ms}, {"token", token}}.dump()};
    if (keyed)
        request.m_headers.push_back({"Idempotency-Key", options.m_key});
    if (!options.m_idempotent.empty())
        request.m_headers.push_back({"X-Dragonflygap-Idempotent", options.m_idempotent});
    if (options.m_deadline_ms != 0)
        request.m_headers.push_back(
            {"X-Dragonflygap-Deadline-Ms", std::to_string(options.m_deadline_ms)});
    auto exchange = std::make_shared<virtual_exchange>(
        [this, token, keyed](const http_response* response)
        {
            response == nullptr ? lost(token, keyed, verdict::may_have_run)
                                : answered(token, keyed, *response);
        });
    auto* entry = find(vm);
    m_hang_ups.push_back(
        [this, vm, weak = std::weak_ptr(exchange)]
        {
            if (auto* there = find(vm))
                there->post(
                    [weak]
                    {
                        if (const auto open = weak.lock())
                            open->hang_up();
                    });
        });
    entry->post([entry, request = std::move(request), exchange]
                { entry->requests().serve(request, exchange); });
}

void world::hang_up()
{
    for (const auto& one : std::exchange(m_hang_ups, {}))
        one();
}

void world::answered(const std::string& token, bool keyed, const http_response& response)
{
    constexpr int ok = 200;
    if (response.m_status != ok)
    {
        ++m_calls.m_reasons[std::string(response.header(reason_header))];
        return lost(token, keyed, verdict_from_string(response.header(verdict_header)));
    }
    ++m_calls.m_answered;
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    record("caller",
           history::caller_answered{token, body.is_object() ? body.value("token", "") : "",
                                    verdict::ran},
           world_now);
}

void world::lost(const std::string& token, bool keyed, verdict what)
{
    ++(what == verdict::not_run ? m_calls.m_refused : m_calls.m_unknown);
    // Of a request sent twice, one copy may rightly be refused as not run.
    if (what == verdict::not_run && !keyed)
        record("caller", history::caller_answered{token, "", what}, world_now);
}

http_response world::operate(const std::string& vm, http_request request)
{
    auto result = std::make_shared<std::optional<http_response>>();
    auto exchange = std::make_shared<virtual_exchange>(
        [result](const http_response* response)
        {
            if (response != nullptr)
                *result = *response;
        });
    auto* entry = &*m_nodes.at(vm);
    entry->post([entry, request = std::move(request), exchange]
                { entry->control().serve(request, exchange); });
    exchange.reset();
    constexpr duration patience = 20s;
    constexpr duration step_length = 10ms;
    for (const auto end = world_now + patience; !*result && world_now < end;)
        run(step_length);
    constexpr int gateway_timeout = 504;
    return result->value_or(http_response{.m_status = gateway_timeout});
}

int world::running_tasks(std::string_view job) const
{
    int count = 0;
    for (const auto& [place, task] : m_running)
        count += task.starts_with(job) ? 1 : 0;
    return count;
}

int world::task_starts(std::string_view job) const
{
    int count = 0;
    for (const auto& [task, starts] : m_task_starts)
        count += task.starts_with(job) ? starts : 0;
    return count;
}

std::string world::history() const
{
    std::string result;
    for (const auto& line : m_lines)
        result += line + '\n';
    return result;
}

std::vector<history_checker::violation> world::violations()
{
    m_cell.advance(world_now);
    std::vector<history_checker::entry> entries;
    for (const auto& line : m_lines)
        if (auto read = history_checker::parse_entry(line))
            entries.push_back(std::move(*read));
    history_checker::sort_entries(entries);
    return history_checker::check(entries, {});
}

} // namespace scenarios
