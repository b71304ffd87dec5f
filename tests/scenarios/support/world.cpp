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

constexpr instant start_time{1000s};
instant virtual_now = start_time;

instant read_virtual_now()
{
    return virtual_now;
}

std::string entry_vm_name(int number)
{
    return "entry-" + std::to_string(number);
}

std::string data_centre_name(int number)
{
    return std::string("norte-") + static_cast<char>('a' + number);
}

std::vector<data_centre_id> data_centre_names(int count)
{
    std::vector<data_centre_id> result;
    for (int i = 0; i < count; ++i)
        result.emplace_back(data_centre_name(i));
    return result;
}

int entry_vm_number(const std::string& vm)
{
    return std::stoi(vm.substr(vm.find('-') + 1));
}

} // namespace

world::world(world_options options)
    : m_options(options),
      m_random(options.m_seed),
      m_cell({.m_data_centres = data_centre_names(options.m_data_centres),
              .m_workers = options.m_workers,
              .m_slots = options.m_slots,
              .m_record = [this](const history::event& event, instant at)
              { record("emulator", event, at); }})
{
    virtual_now = start_time;
    monotonic_clock::set_source(&read_virtual_now);
    history::set_sink([this](const history::event& event, instant at)
                      { record(m_event_source, event, at); });
    // The emulator must not enforce capacity, or it would hide errors in the daemons' accounting.
    faults(R"({"enforce_capacity": false})");
    for (int i = 1; i <= options.m_entry_vms; ++i)
        start(entry_vm_name(i));
}

world::~world()
{
    m_nodes.clear();
    history::set_sink({});
    monotonic_clock::set_source(nullptr);
}

void world::record(const std::string& vm, const history::event& event, instant at)
{
    m_history_lines.push_back(history::format(vm, event, at));
    if (const auto* started = std::get_if<history::worker_task_started>(&event))
    {
        m_running_tasks[started->m_task.m_value + "@" + started->m_worker.m_value] =
            started->m_task.m_value;
        ++m_task_starts[started->m_task.m_value];
    }
    if (const auto* ended = std::get_if<history::worker_task_ended>(&event))
        m_running_tasks.erase(ended->m_task.m_value + "@" + ended->m_worker.m_value);
}

std::string world::data_centre_of(const std::string& vm) const
{
    return data_centre_name((entry_vm_number(vm) - 1) % m_options.m_data_centres);
}

void world::start(const std::string& vm)
{
    config::settings settings{.m_vm = vm_id(vm),
                              .m_data_centre = data_centre_id(data_centre_of(vm)),
                              .m_caller_listen = {"127.0.0.1", 0},
                              .m_operator_listen = {"127.0.0.1", 0},
                              .m_peer_listen = {"127.0.0.1", 0},
                              .m_platform = emulator::cell_options{}.m_platform,
                              .m_history = true};
    for (int i = 1; i <= m_options.m_entry_vms; ++i)
        if (entry_vm_name(i) != vm)
            settings.m_peers.push_back(
                {.m_vm = vm_id(entry_vm_name(i)),
                 .m_data_centre = data_centre_id(data_centre_of(entry_vm_name(i))),
                 .m_address = {"127.0.0.1", 1}});
    m_event_source = vm;
    m_draining.erase(vm);
    record(vm, history::node_started{++m_last_incarnation}, virtual_now);
    m_nodes[vm] = std::make_unique<node>(*this, std::move(settings), m_last_incarnation);
    if (const auto call_delay = m_call_delays.find(vm); call_delay != m_call_delays.end())
        m_nodes[vm]->network().set_delay(call_delay->second);
}

void world::kill(const std::string& vm)
{
    record("scenario", history::fault_injected{vm_id(vm), "kill"}, virtual_now);
    // Exchanges that the dead node still held end as lost connections, without a response.
    m_nodes.erase(vm);
}

void world::pause(const std::string& vm)
{
    record("scenario", history::fault_injected{vm_id(vm), "pause"}, virtual_now);
    m_nodes.at(vm)->m_paused = true;
}

void world::resume(const std::string& vm)
{
    record("scenario", history::fault_healed{vm_id(vm), "pause"}, virtual_now);
    m_nodes.at(vm)->m_paused = false;
}

void world::drain(const std::string& vm)
{
    m_draining.insert(vm);
    auto& draining = *m_nodes.at(vm);
    draining.post([&draining] { draining.control().handle(daemon::stop_requested{}); });
}

void world::cut(const std::string& from, const std::string& to)
{
    m_cuts.insert({from, to});
}

void world::heal()
{
    m_cuts.clear();
    m_call_delays.clear();
    for (auto& [vm, node] : m_nodes)
        node->network().set_delay({});
    faults(R"({"cuts": []})");
}

void world::slow_calls(const std::string& vm, duration delay)
{
    m_call_delays[vm] = delay;
    m_nodes.at(vm)->network().set_delay(delay);
}

void world::faults(const std::string& json)
{
    m_cell.handle(emulator::cell_options{}.m_platform,
                  {.m_method = "POST", .m_path = "/faults", .m_body = json}, virtual_now);
}

bool world::is_cut(const std::string& from, const std::string& to) const
{
    const auto matches = [&](const std::string& pattern, const std::string& vm)
    { return pattern == "*" || pattern == vm || pattern == data_centre_of(vm); };
    for (const auto& [left, right] : m_cuts)
        if (matches(left, from) && matches(right, to))
            return true;
    return false;
}

bool world::send_message(const std::string& from, const std::string& to, std::string bytes)
{
    if (is_cut(from, to))
        return true;
    constexpr int min_delay_us = 1000;
    constexpr int max_delay_us = 3000;
    std::uniform_int_distribution<int> delay(min_delay_us, max_delay_us);
    for (int copies = m_duplicate_messages ? 2 : 1; copies > 0; --copies)
        deliver_after(duration(delay(m_random)),
                      [this, to, bytes]
                      {
                          if (auto* receiver = find(to))
                              receiver->post(
                                  [receiver, bytes]
                                  { receiver->control().handle(daemon::peer_bytes{bytes}); });
                      });
    return true;
}

void world::deliver_after(duration delay, std::function<void()> work)
{
    m_network.add(virtual_now + delay, {}, std::move(work));
}

node* world::find(const std::string& vm)
{
    const auto found = m_nodes.find(vm);
    return found == m_nodes.end() ? nullptr : found->second.get();
}

void world::run(duration length)
{
    const auto until = virtual_now + length;
    while (run_next_event(until))
    {
    }
    virtual_now = until;
    m_cell.advance(virtual_now);
}

bool world::run_next_event(instant until)
{
    auto* earliest = &m_network;
    std::string event_source = "network";
    auto due = m_network.next().value_or(instant::max());
    for (auto& [vm, node] : m_nodes)
    {
        const auto next = node->timers().next();
        if (node->m_paused || !next || *next >= due)
            continue;
        earliest = &node->timers();
        due = *next;
        event_source = vm;
    }
    if (due > until)
        return false;
    virtual_now = std::max(virtual_now, due);
    m_event_source = event_source;
    m_cell.advance(virtual_now);
    earliest->run_next(virtual_now);
    const auto active_node = m_nodes.find(event_source);
    if (active_node != m_nodes.end() && active_node->second->m_stopped)
    {
        record(event_source, history::node_stopped{}, virtual_now);
        m_nodes.erase(active_node);
    }
    return true;
}

void world::call(const call_options& options)
{
    ++m_call_counts.m_sent;
    const auto token = options.m_key.empty() ? "t" + std::to_string(++m_last_call) : options.m_key;
    const bool keyed = !options.m_key.empty();
    std::vector<std::string> available;
    for (const auto& [vm, node] : m_nodes)
        if (options.m_entry_vm.empty() ? !node->m_paused && !m_draining.contains(vm)
                                       : vm == options.m_entry_vm)
            available.push_back(vm);
    if (available.empty())
        return record_failure(token, keyed, verdict::not_run);
    const auto& vm = available[m_random() % available.size()];
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
            response == nullptr ? record_failure(token, keyed, verdict::may_have_run)
                                : record_response(token, keyed, *response);
        });
    auto* entry = find(vm);
    m_hang_up_hooks.push_back(
        [this, vm, weak = std::weak_ptr(exchange)]
        {
            if (auto* live_node = find(vm))
                live_node->post(
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
    for (const auto& hang_up_hook : std::exchange(m_hang_up_hooks, {}))
        hang_up_hook();
}

void world::record_response(const std::string& token, bool keyed, const http_response& response)
{
    constexpr int ok = 200;
    if (response.m_status != ok)
    {
        ++m_call_counts.m_reason_counts[std::string(response.header(reason_header))];
        return record_failure(token, keyed, verdict_from_string(response.header(verdict_header)));
    }
    ++m_call_counts.m_answered;
    const auto body = nlohmann::json::parse(response.m_body, nullptr, false);
    record("caller",
           history::caller_answered{token, body.is_object() ? body.value("token", "") : "",
                                    verdict::ran},
           virtual_now);
}

void world::record_failure(const std::string& token, bool keyed, verdict call_verdict)
{
    ++(call_verdict == verdict::not_run ? m_call_counts.m_refused : m_call_counts.m_unknown);
    // A request with a key may be sent twice, and one copy refused as not run while the other runs.
    if (call_verdict == verdict::not_run && !keyed)
        record("caller", history::caller_answered{token, "", call_verdict}, virtual_now);
}

http_response world::call_operator_api(const std::string& vm, http_request request)
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
    constexpr duration answer_timeout = 20s;
    constexpr duration step_interval = 10ms;
    for (const auto end = virtual_now + answer_timeout; !*result && virtual_now < end;)
        run(step_interval);
    constexpr int gateway_timeout = 504;
    return result->value_or(http_response{.m_status = gateway_timeout});
}

int world::running_tasks(std::string_view job) const
{
    int count = 0;
    for (const auto& [task_at_worker, task] : m_running_tasks)
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
    for (const auto& line : m_history_lines)
        result += line + '\n';
    return result;
}

std::vector<history_checker::violation> world::violations()
{
    m_cell.advance(virtual_now);
    std::vector<history_checker::entry> entries;
    for (const auto& line : m_history_lines)
        if (auto read = history_checker::parse_entry(line))
            entries.push_back(std::move(*read));
    history_checker::sort_entries(entries);
    return history_checker::check(entries, {});
}

} // namespace scenarios
