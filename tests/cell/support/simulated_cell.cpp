#include "cell/support/simulated_cell.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>
#include <memory>
#include <utility>

#include <xxhash.h>

#include "cell/support/count_invariants.hpp"
#include "cell/support/run_invariants.hpp"
#include "dragonflygap/cell/task_size.hpp"

namespace simulated
{

namespace
{

constexpr duration tick_interval = 10ms;
constexpr duration list_interval = 700ms;
constexpr duration member_interval = 50ms;
constexpr duration gang_timeout = 4s; // A gang that isn't complete by then ends.
constexpr duration measure_interval = 100ms;
// With their heads, as written to a connection.
constexpr std::int64_t start_bytes = 900;
constexpr std::int64_t stop_bytes = 350;
constexpr std::int64_t renewal_bytes = 300;
constexpr std::int64_t approval_bytes = 900;

worker_id worker_named(int number)
{
    return worker_id("worker-" + std::to_string(number));
}

std::uint64_t hash_of(std::string_view text, std::uint64_t seed)
{
    return XXH64(text.data(), text.size(), seed);
}

} // namespace

simulated_cell::simulated_cell(cell_options options)
    : m_options(options), m_random(options.m_seed)
{
    for (int i = 0; i < m_options.m_vms; ++i)
        m_members[vm_id("vm-" + std::to_string(i))];
    m_backlog.m_self = {.m_epoch = 2, .m_vm = m_members.begin()->first};
    m_backlog.m_predecessor_gone = true;
    for (int i = 0; i < m_options.m_workers; ++i)
    {
        m_workers[worker_named(i)].m_speed = m_options.m_speed ? m_options.m_speed(i) : 1;
        m_backlog.m_workers.emplace_back(worker_named(i), "10.0.0.1:80");
    }
}

// Widths range from 1/8 to 3 times the kind's, sizes from 67% to 133%.
job_request simulated_cell::request_of(const job_kind& kind)
{
    const auto draw = [this](int bound)
    {
        m_random = hash_of("draw", m_random);
        return static_cast<int>(m_random % static_cast<std::uint64_t>(bound));
    };
    constexpr int widths[] = {1, 2, 4, 6, 8, 8, 10, 12, 16, 24};
    constexpr int eighths = 8;
    job_request request;
    auto step = kind.m_step;
    step.m_count = std::max(1, step.m_count * widths[draw(std::size(widths))] / eighths);
    const int percent = 67 + draw(67);
    step.m_size.m_millicores = step.m_size.m_millicores * percent / 100;
    step.m_size.m_memory_mb = step.m_size.m_memory_mb * percent / 100;
    if (m_options.m_work_deviation > 0)
        step.m_expected_ms = std::max<std::int64_t>(
            1, std::llround(static_cast<double>(step.m_expected_ms) *
                            std::exp(m_options.m_work_deviation * draw_normal())));
    request.m_steps.push_back(step);
    constexpr double max_named = 100; // Limit of the service for one call.
    const auto& approval = kind.m_queue.m_approval;
    const duration length = std::chrono::milliseconds(step.m_expected_ms);
    m_work.m_millicore_ms += step.m_size.m_millicores * step.m_count * step.m_expected_ms;
    m_work.m_longest_job = std::max(m_work.m_longest_job, length);
    const double named = std::min(max_named, step.m_count / kind.m_approved_share);
    m_work.m_service_time +=
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(
            2 * approval.m_decision_ms + approval.m_per_worker_ms * (named + step.m_count)));
    return request;
}

// As in a bell curve, with a standard deviation of 1.
double simulated_cell::draw_normal()
{
    constexpr int draws = 12;
    constexpr double mean = draws / 2.0;
    double sum = -mean;
    for (int i = 0; i < draws; ++i)
        sum += draw_unit();
    return sum;
}

// From 0 to 1. Independent of the draws that make up the jobs.
double simulated_cell::draw_unit()
{
    constexpr double scale = 18446744073709551616.0; // 2^64
    m_random_times = hash_of("times", m_random_times);
    return static_cast<double>(m_random_times) / scale;
}

void simulated_cell::distort_estimate(step_spec& step)
{
    if (m_options.m_max_estimate_error <= 0)
        return;
    const auto range = m_options.m_max_estimate_error - m_options.m_min_estimate_error;
    const double error = m_options.m_min_estimate_error + range * draw_unit();
    const double factor = draw_unit() < 1.0 / 2 ? 1 - error : 1 + error;
    step.m_expected_ms = std::max<std::int64_t>(
        1, std::llround(factor * static_cast<double>(step.m_expected_ms)));
}

// By the users' rule, which knows the true work.
void simulated_cell::watch_objective(const job_id& id, const job_kind& kind, const step_spec& step)
{
    const auto work = static_cast<double>(step.m_expected_ms) * kind.m_queue.m_stretch;
    m_callers[id] = {.m_submitted = m_now,
                     .m_objective = std::chrono::milliseconds(std::llround(work) +
                                                              kind.m_queue.m_slack_ms)};
}

objective_counts simulated_cell::objectives(const std::string& queue,
                                            duration submitted_after) const
{
    objective_counts result;
    for (const auto& [id, caller] : m_callers)
    {
        if (m_kinds.at(id).m_queue.m_name.m_value != queue ||
            caller.m_submitted < m_start + submitted_after)
            continue;
        const bool open = caller.m_done == instant{};
        const bool late =
            (open ? m_now : caller.m_done) - caller.m_submitted > caller.m_objective;
        result.m_jobs += open && !late ? 0 : 1;
        result.m_late += late ? 1 : 0;
    }
    return result;
}

std::pair<int, int> simulated_cell::starts_by_speed(const std::string& queue, double speed) const
{
    std::pair<int, int> result;
    if (const auto found = m_starts_by_speed.find(queue); found != m_starts_by_speed.end())
        for (const auto& [of_worker, count] : found->second)
            (of_worker >= speed ? result.first : result.second) += count;
    return result;
}

void simulated_cell::add_backlog(const job_kind& kind, int jobs)
{
    for (int i = 0; i < jobs; ++i)
    {
        const job_id id("job-" + std::to_string(++m_jobs));
        const job_record record{kind.m_queue, request_of(kind), 0};
        m_kinds[id] = kind;
        m_specs[id] = record.m_request.m_steps.front();
        m_waits_since[id] = m_start;
        m_backlog.m_jobs.push_back({{std::string(job_table), id.m_value}, 1, pack(record)});
    }
}

void simulated_cell::take_over()
{
    ++m_leaders;
    m_coordinator = std::make_unique<coordinator>(m_options.m_leader, m_backlog, m_now);
    std::vector<vm_id> members;
    for (const auto& [vm, member] : m_members)
        members.push_back(vm);
    feed(members_changed{members});
}

void simulated_cell::change_leader()
{
    recovered_state found;
    ++m_backlog.m_self.m_epoch;
    found.m_self = m_backlog.m_self;
    found.m_version = m_version;
    found.m_predecessor_gone = true;
    found.m_workers = m_backlog.m_workers;
    for (const auto& [name, row] : m_rows)
        if (name.m_table == job_table)
            found.m_jobs.push_back(row);
        else if (name.m_table == progress_table)
            found.m_progress.push_back(row);
    found.m_unix_ms = to_ms(m_now - m_start);
    m_backlog = std::move(found);
    m_submitted.clear();
    m_pending_calls.clear();
    m_held_events.clear();
    m_leader_queue = {};
    m_busy_until = m_now;
    for (auto& [id, worker] : m_workers)
        worker.m_pending_renewal.reset();
    take_over();
    m_backlog.m_jobs.clear();
    m_backlog.m_progress.clear();
}

// Answers to a leader that has ended meanwhile are lost.
std::function<void(event)> simulated_cell::to_leader()
{
    return [this, leader = m_leaders](const event& answer)
    {
        if (leader == m_leaders)
            feed(answer);
    };
}

void simulated_cell::store(const transaction& change)
{
    ++m_version;
    for (const auto& name : change.m_deletes)
        m_rows.erase(name);
    for (const auto& write : change.m_writes)
    {
        m_rows[write.m_row] = {write.m_row, m_version, write.m_value};
        if (write.m_row.m_table == ended_table)
            if (const auto caller = m_callers.find(job_id(write.m_row.m_key));
                caller != m_callers.end() && caller->second.m_done == instant{})
                caller->second.m_done = m_now;
    }
}

void simulated_cell::submit(const job_kind& kind, int jobs)
{
    for (int i = 0; i < jobs; ++i)
    {
        const job_id id("job-" + std::to_string(++m_jobs));
        auto request = request_of(kind);
        m_kinds[id] = kind;
        m_specs[id] = request.m_steps.front();
        watch_objective(id, kind, request.m_steps.front());
        distort_estimate(request.m_steps.front());
        m_waits_since[id] = m_now;
        m_submitted[++m_last_call] = id;
        feed(job_submitted{m_last_call, id, kind.m_queue, std::move(request)});
    }
}

void simulated_cell::run(duration length)
{
    for (const auto until = m_now + length; m_now < until; m_now += tick_interval)
    {
        const auto since_start = m_now - m_start;
        if (since_start % list_interval < tick_interval)
        {
            std::vector<worker_info> listed;
            for (const auto& [id, worker] : m_workers)
                listed.push_back({.m_id = id,
                                  .m_service = service_id("pool"),
                                  .m_address = endpoint{"10.0.0.1", 80},
                                  .m_capacity = m_options.m_capacity});
            feed(workers_listed{std::move(listed)});
        }
        if (!stalled())
        {
            for (const auto& held : std::exchange(m_held_events, {}))
                feed(held);
            if (m_options.m_costs.any())
            {
                m_leader_queue.tick_due(m_now);
                work_on_queue();
            }
            else
                feed(tick{});
        }
        if (since_start % member_interval < tick_interval)
            for (const auto& [vm, member] : m_members)
                call_service(vm);
        const auto next = m_now + tick_interval;
        const auto tick_time = m_now;
        while (!m_due.empty() && m_due.begin()->first < next)
        {
            auto first = m_due.extract(m_due.begin());
            m_now = std::max(m_now, first.key());
            first.mapped()();
        }
        m_now = tick_time;
        if (since_start % measure_interval < tick_interval)
            measure();
    }
}

void simulated_cell::schedule(instant when, std::function<void()> callback)
{
    m_due.emplace(when, std::move(callback));
}

instant simulated_cell::leave_link(std::int64_t bytes)
{
    if (m_options.m_link_bytes_per_s == 0)
        return m_now;
    constexpr std::int64_t us_per_s = 1000000;
    m_link_free =
        std::max(m_now, m_link_free) + duration(bytes * us_per_s / m_options.m_link_bytes_per_s);
    return m_link_free;
}

bool simulated_cell::stalled() const
{
    return (m_now - m_start) % 1s < m_options.m_stall;
}

void simulated_cell::feed(const event& incoming)
{
    if (stalled())
    {
        m_held_events.push_back(incoming);
        return;
    }
    if (m_options.m_costs.any())
    {
        m_leader_queue.add(incoming, m_now);
        work_on_queue();
    }
    else
        handle(incoming);
}

void simulated_cell::work_on_queue()
{
    if (m_now < m_busy_until)
        return;
    if (const auto next = m_leader_queue.next(m_now))
        handle(*next);
}

// What the leader sends leaves when its work on the event is done.
void simulated_cell::handle(const event& incoming)
{
    if (is_given_up(incoming))
        return work_on_queue();
    const auto& costs = m_options.m_costs;
    auto cost = costs.m_event;
    if (std::holds_alternative<tick>(incoming))
        cost = costs.m_tick + m_coordinator->ready_steps() * costs.m_step_per_tick;
    auto actions = m_coordinator->handle(incoming, m_now, to_ms(m_now - m_start));
    cost += actions.size() * costs.m_action;
    const auto send = [this](const std::vector<action>& all)
    {
        for (const auto& one : all)
        {
            if (m_on_action)
                m_on_action(one);
            std::visit([this](const auto& request) { act(request); }, one);
        }
    };
    if (cost == duration{})
        return send(actions);
    m_busy_until = m_now + cost;
    schedule(m_busy_until,
             [this, send, actions = std::move(actions), leader = m_leaders]
             {
                 if (leader != m_leaders)
                     return;
                 send(actions);
                 work_on_queue();
             });
}

// True for the timeout of a call that was answered before.
bool simulated_cell::is_given_up(const event& incoming)
{
    const auto* answer = std::get_if<approval_answered>(&incoming);
    if (answer == nullptr)
        return false;
    const bool pending = m_pending_calls.erase(answer->m_call) != 0;
    const bool timeout = !answer->m_backlog_time;
    if (timeout && !pending)
        return true;
    if (timeout)
        ++m_calls.m_given_up;
    else if (!answer->m_result)
        ++m_calls.m_failed;
    else if (pending)
        ++m_calls.m_answered;
    else
        ++m_calls.m_wasted;
    return false;
}

// A rejected job doesn't wait.
void simulated_cell::act(const answer_call& action)
{
    const auto submitted = m_submitted.extract(action.m_call);
    if (!submitted || action.m_status != call_status::rejected)
        return;
    ++m_rejected;
    stop_waiting(submitted.mapped());
}

void simulated_cell::stop_waiting(const job_id& job)
{
    m_waits_since.erase(job);
    m_beside_room.erase(job);
    m_approved_workers.erase(job);
}

void simulated_cell::act(const send_commit& action)
{
    schedule(m_now + m_options.m_store_wait,
             [this, number = action.m_number, change = action.m_change, reply = to_leader()]
             {
                 store(change);
                 reply(commit_answered{
                     number, transaction_result{.m_committed = true, .m_version = m_version}});
             });
}

void simulated_cell::act(const read_leader_row&) {}

void simulated_cell::act(const send_renewal& action)
{
    schedule(leave_link(renewal_bytes) + m_options.m_network_delay,
             [this, id = action.m_worker.m_id, sent = action.m_sent, order = action.m_renewal,
              leader = m_leaders]
             {
                 if (leader != m_leaders)
                     return;
                 auto& worker = m_workers.at(id);
                 worker.acknowledge(order.m_acknowledged);
                 worker.m_pending_renewal = {sent, m_now + order.m_wait};
                 if (order.m_wait == duration{} || !worker.m_ended.empty())
                     answer_renewal(id);
                 else
                     schedule(m_now + order.m_wait,
                              [this, id, sent]
                              {
                                  const auto& pending = m_workers.at(id).m_pending_renewal;
                                  if (pending && pending->m_sent == sent)
                                      answer_renewal(id);
                              });
             });
}

// Answers the pending renewal.
void simulated_cell::answer_renewal(const worker_id& id)
{
    auto& worker = m_workers.at(id);
    const auto pending = std::exchange(worker.m_pending_renewal, std::nullopt);
    if (!pending)
        return;
    schedule(m_now + m_options.m_network_delay,
             [id, sent = pending->m_sent, report = worker.report(m_now), reply = to_leader()] {
                 reply(renewal_answered{id, sent, report});
             });
}

void simulated_cell::act(const send_start& action)
{
    const auto& order = action.m_order;
    const auto answer = [this, open = std::make_shared<bool>(true), id = action.m_worker.m_id,
                         task = order.m_task, run = order.m_run, sent = action.m_sent,
                         reply = to_leader()](const outcome<start_result>& result)
    {
        if (!std::exchange(*open, false))
            return;
        m_timed_out += result ? 0 : 1;
        reply(start_answered{id, task, run, result, sent});
    };
    schedule(leave_link(start_bytes) + m_options.m_network_delay,
             [this, id = action.m_worker.m_id, order, answer]
             {
                 const auto result = start(id, order);
                 schedule(m_now + m_options.m_network_delay, [answer, result] { answer(result); });
             });
    schedule(m_now + action.m_timeout,
             [answer] { answer(fail(verdict::may_have_run, reason::timeout, "")); });
}

start_result simulated_cell::start(const worker_id& id, const start_order& order)
{
    const auto& job = order.m_task.m_job;
    if (to_ms(m_now.time_since_epoch()) > order.m_deadline_ms)
        return {.m_refusal = start_refusal::too_late};
    const auto ticket = m_tickets.find({step_of(order.m_task), id});
    if (m_kinds.at(job).m_queue.m_approval.required() &&
        (ticket == m_tickets.end() || ticket->second.m_expires_at < m_now))
    {
        ++m_refused_starts;
        return {.m_refusal = start_refusal::no_ticket};
    }
    if (ticket != m_tickets.end())
        if (const auto call = m_unused_calls.extract(ticket->second.m_call))
        {
            ++m_calls.m_useful;
            m_calls.m_useful_time += call.mapped();
        }
    begin(id, order, m_specs.at(job));
    return {};
}

void simulated_cell::begin(const worker_id& id, const start_order& order, const step_spec& spec)
{
    ++m_started;
    auto& worker = m_workers.at(id);
    ++m_starts_by_speed[m_kinds.at(order.m_task.m_job).m_queue.m_name.m_value][worker.m_speed];
    duration length = std::chrono::milliseconds(spec.m_expected_ms);
    if (m_options.m_task_deviation > 0)
        length = duration(static_cast<std::int64_t>(
            static_cast<double>(length.count()) * std::exp(m_options.m_task_deviation * draw_normal())));
    worker.m_running[order.m_task] = {.m_run = order.m_run,
                                      .m_size = size_of(spec),
                                      .m_work_time = length,
                                      .m_working_since = spec.m_gang ? instant{} : m_now,
                                      .m_speed = worker.m_speed};
    if (!worker.used().fits_in(m_options.m_capacity))
        ++m_overcommitted;
    stop_waiting(order.m_task.m_job);
    if (!spec.m_gang)
        return schedule_end(id, order.m_task);
    const auto key = std::make_pair(step_of(order.m_task), order.m_run);
    auto& gang = m_gangs[key];
    gang.m_started_members.emplace_back(id, order.m_task);
    if (static_cast<int>(gang.m_started_members.size()) == spec.m_count)
    {
        gang.m_complete = true;
        for (const auto& [member, task] : gang.m_started_members)
            m_workers.at(member).m_running.at(task).m_working_since = m_now;
        count_gang(key);
        set_gang_speed(key);
    }
    else if (gang.m_started_members.size() == 1)
        schedule(m_now + gang_timeout,
                 [this, key]
                 {
                     const auto found = m_gangs.find(key);
                     if (found == m_gangs.end() || found->second.m_complete)
                         return;
                     m_incomplete_gang_members +=
                         static_cast<int>(found->second.m_started_members.size());
                     break_gang(key.first, key.second, end_kind::alone);
                 });
}

// At the worker's present speed.
void simulated_cell::schedule_end(const worker_id& id, const task_key& task)
{
    const auto& run = m_workers.at(id).m_running.at(task);
    schedule(m_now + run.time_left(m_now),
             [this, id, task, number = run.m_run, changes = run.m_changes]
             {
                 const auto& running = m_workers.at(id).m_running;
                 if (const auto found = running.find(task);
                     found != running.end() && found->second.m_changes == changes)
                     end(id, task, number, end_kind::done);
             });
}

// All members advance as the slowest one does, and end together.
void simulated_cell::set_gang_speed(const std::pair<step_key, std::uint64_t>& key)
{
    auto& gang = m_gangs.at(key);
    double speed = std::numeric_limits<double>::max();
    duration left{};
    for (const auto& [member, task] : gang.m_started_members)
        speed = std::min(speed, m_workers.at(member).m_speed);
    for (const auto& [member, task] : gang.m_started_members)
    {
        auto& run = m_workers.at(member).m_running.at(task);
        run.set_speed(speed, m_now);
        left = std::max(left, run.time_left(m_now));
    }
    schedule(m_now + left,
             [this, key, changes = ++gang.m_changes]
             {
                 if (const auto found = m_gangs.find(key);
                     found != m_gangs.end() && found->second.m_changes == changes)
                     break_gang(key.first, key.second, end_kind::done);
             });
}

void simulated_cell::count_gang(const std::pair<step_key, std::uint64_t>& key)
{
    double slowest = std::numeric_limits<double>::max();
    double fastest = 0;
    for (const auto& [member, task] : m_gangs.at(key).m_started_members)
    {
        slowest = std::min(slowest, m_workers.at(member).m_speed);
        fastest = std::max(fastest, m_workers.at(member).m_speed);
    }
    constexpr double alike = 1.1;
    ++m_complete_gangs;
    m_unlike_gangs += fastest > alike * slowest ? 1 : 0;
}

void simulated_cell::set_speed(int number, double speed)
{
    const auto id = worker_named(number);
    auto& worker = m_workers.at(id);
    worker.m_speed = speed;
    std::set<std::pair<step_key, std::uint64_t>> gangs;
    for (auto& [task, run] : worker.m_running)
        if (m_specs.at(task.m_job).m_gang)
            gangs.emplace(step_of(task), run.m_run);
        else
        {
            run.set_speed(speed, m_now);
            schedule_end(id, task);
        }
    for (const auto& key : gangs)
        if (const auto found = m_gangs.find(key); found != m_gangs.end() && found->second.m_complete)
            set_gang_speed(key);
}

void simulated_cell::restart(int number)
{
    const auto id = worker_named(number);
    auto& worker = m_workers.at(id);
    const auto running = worker.m_running;
    for (const auto& [task, run] : running)
        break_gang(step_of(task), run.m_run, end_kind::broken);
    worker.m_running.clear();
    worker.m_ended.clear();
    worker.m_last_end = 0;
    ++worker.m_started_at;
    if (const auto pending = std::exchange(worker.m_pending_renewal, std::nullopt))
        schedule(m_now + m_options.m_network_delay,
                 [id, sent = pending->m_sent, reply = to_leader()]
                 {
                     reply(renewal_answered{
                         id, sent, fail(verdict::may_have_run, reason::target_failed, "reset")});
                 });
}

void simulated_cell::end(const worker_id& id, const task_key& task, std::uint64_t run,
                         end_kind kind)
{
    if (m_workers.at(id).end(task, run, kind))
        answer_renewal(id);
}

void simulated_cell::break_gang(const step_key& step, std::uint64_t run, end_kind kind)
{
    const auto found = m_gangs.find({step, run});
    if (found == m_gangs.end())
        return;
    const auto members = found->second.m_started_members;
    m_gangs.erase(found);
    for (const auto& [worker, task] : members)
        end(worker, task, run, kind);
}

void simulated_cell::act(const send_stop& action)
{
    schedule(leave_link(stop_bytes) + m_options.m_network_delay,
             [this, id = action.m_worker.m_id, task = action.m_task, run = action.m_run,
              sent = action.m_sent, reply = to_leader()]
             {
                 m_stopped += m_workers.at(id).m_running.count(task) != 0 ? 1 : 0;
                 end(id, task, run, end_kind::stopped);
                 break_gang(step_of(task), run, end_kind::broken);
                 schedule(m_now + m_options.m_network_delay,
                          [id, task, run, sent, reply] {
                              reply(stop_answered{id, task, run, start_result{}, sent});
                          });
             });
}

void simulated_cell::act(const request_approval& action)
{
    m_called_vms.insert(action.m_via);
    ++m_calls.m_sent;
    m_pending_calls.insert(action.m_call);
    auto& via = m_members.at(action.m_via);
    via.m_sent_work += std::chrono::milliseconds(to_ms(action.m_cost));
    m_max_sent_work = std::max(m_max_sent_work, via.m_sent_work);
    constexpr duration margin = 600ms; // As added by leader_task.
    if (m_options.m_gives_up_calls)
        schedule(m_now + action.m_timeout,
                 [call = action.m_call, step = action.m_step, vm = action.m_via,
                  reply = to_leader()]
                 {
                     reply(approval_answered{.m_call = call,
                                             .m_step = step,
                                             .m_via = vm,
                                             .m_result =
                                                 fail(verdict::may_have_run, reason::timeout, "")});
                 });
    approval_call call{.m_epoch = m_backlog.m_self.m_epoch,
                       .m_step = action.m_step,
                       .m_workers = action.m_workers,
                       .m_timeout_ms = to_ms(action.m_expected + margin),
                       .m_cost_ms = to_ms(action.m_cost),
                       .m_call = action.m_call};
    schedule(leave_link(approval_bytes) + m_options.m_network_delay,
             [this, vm = action.m_via, call = std::move(call)]
             {
                 auto& member = m_members.at(vm);
                 const auto before = member.m_backlog.backlog_time();
                 member.m_backlog.add(vm, call, m_now);
                 // It replaces an earlier call for the same step.
                 member.m_sent_work -= before + std::chrono::milliseconds(call.m_cost_ms) -
                                       member.m_backlog.backlog_time();
                 call_service(vm);
             });
}

void simulated_cell::call_service(const vm_id& vm)
{
    auto& member = m_members.at(vm);
    for (const auto& late : member.m_backlog.remove_expired(m_now))
    {
        member.m_sent_work -= std::chrono::milliseconds(late.m_call.m_cost_ms);
        answer_approval(vm, late, fail(verdict::not_run, reason::timeout, "not begun"),
                        std::nullopt);
    }
    while (const auto next = member.m_backlog.next())
    {
        const auto done = std::max(m_now, member.m_service_free) +
                          std::chrono::milliseconds(next->m_call.m_cost_ms);
        member.m_service_free = done;
        const auto waited = m_now - next->m_arrived_at;
        schedule(done,
                 [this, vm, entry = *next, waited]
                 {
                     m_members.at(vm).m_backlog.finished(entry.m_call);
                     count_service(entry.m_call);
                     m_members.at(vm).m_sent_work -=
                         std::chrono::milliseconds(entry.m_call.m_cost_ms);
                     answer_approval(vm, entry, decide(entry.m_call, m_now), waited);
                     call_service(vm);
                 });
    }
}

void simulated_cell::count_service(const approval_call& call)
{
    const duration cost = std::chrono::milliseconds(call.m_cost_ms);
    ++m_calls.m_served;
    m_calls.m_served_time += cost;
    m_unused_calls[call.m_call] = cost;
}

duration simulated_cell::sent_work() const
{
    duration sum{};
    for (const auto& [vm, member] : m_members)
        sum += member.m_sent_work;
    return sum;
}

approval simulated_cell::decide(const approval_call& call, instant answered)
{
    const auto& rules = m_kinds.at(call.m_step.m_job).m_queue.m_approval;
    approval result{.m_valid_ms = rules.m_valid_ms};
    for (const auto& worker : call.m_workers)
    {
        if (!approved(call.m_step, worker))
            continue;
        m_tickets[{call.m_step, worker}] = {answered + std::chrono::milliseconds(rules.m_valid_ms),
                                            call.m_call};
        result.m_tickets.push_back({worker, "ticket"});
    }
    return result;
}

bool simulated_cell::approved(const step_key& step, const worker_id& worker) const
{
    constexpr std::uint64_t thousand = 1000;
    const auto share = m_kinds.at(step.m_job).m_approved_share;
    const auto text = step.m_job.m_value + "/" + worker.m_value;
    return static_cast<double>(hash_of(text, m_options.m_seed) % thousand) <
           share * static_cast<double>(thousand);
}

void simulated_cell::answer_approval(const vm_id& vm, const approval_backlog::entry& entry,
                                     outcome<approval> result, std::optional<duration> waited)
{
    const auto backlog_time = m_members.at(vm).m_backlog.backlog_time();
    const auto response_time = m_now - entry.m_arrived_at;
    schedule(m_now + m_options.m_network_delay + m_options.m_approval_lag,
             [this, vm, call = entry.m_call, backlog_time, response_time, waited,
              result = std::move(result)]
             {
                 if (call.m_epoch != m_backlog.m_self.m_epoch)
                     return; // Of a former leader.
                 feed(approval_answered{.m_call = call.m_call,
                                        .m_step = call.m_step,
                                        .m_via = vm,
                                        .m_workers = call.m_workers,
                                        .m_result = result,
                                        .m_response_time = response_time,
                                        .m_backlog_time = backlog_time,
                                        .m_waited = waited});
             });
}

void simulated_cell::act(const step_down&) {}

void simulated_cell::measure()
{
    check_runs(*m_coordinator);
    check_counts(*m_coordinator);
    std::int64_t used = 0;
    std::vector<resources> free;
    free.reserve(m_workers.size());
    for (const auto& [id, worker] : m_workers)
    {
        const auto here = worker.used();
        used += here.m_millicores;
        free.push_back(m_options.m_capacity - here);
    }
    const auto all = m_options.m_capacity.m_millicores * m_options.m_workers;
    const auto lateness = m_leader_queue.take_longest_age(m_now);
    m_max_lateness = std::max(m_max_lateness, lateness);
    for (auto& [job, since] : m_waits_since)
    {
        if (2 * used > all || m_now < m_measured_from)
            since = m_now;
        m_max_avoidable_wait = std::max<duration>(m_max_avoidable_wait, m_now - since);
        measure_room(job, free, lateness);
    }
}

void simulated_cell::measure_room(const job_id& job, const std::vector<resources>& free,
                                  duration lateness)
{
    const auto& spec = m_specs.at(job);
    const int needed = 2 * (spec.m_gang ? spec.m_count : 1);
    int places = 0;
    for (const auto position : approved_workers(job))
        if (places < needed)
            places += fit_count(size_of(spec), free[position]);
    auto& wait = m_beside_room.emplace(job, wait_beside_room{m_now}).first->second;
    if (places < needed || m_now < m_measured_from)
        wait = {m_now};
    wait.m_lateness = std::max(wait.m_lateness, lateness);
    const duration length = m_now - wait.m_since;
    m_max_wait_beyond_lateness = std::max(m_max_wait_beyond_lateness, length - wait.m_lateness);
    if (length <= m_max_wait_beside_room)
        return;
    m_max_wait_beside_room = length;
    m_longest_wait_beside_room = job.m_value + " of " + std::to_string(spec.m_count) + " tasks";
}

const std::vector<std::size_t>& simulated_cell::approved_workers(const job_id& job)
{
    const auto [known, added] = m_approved_workers.try_emplace(job);
    if (!added)
        return known->second;
    const bool needed = m_kinds.at(job).m_queue.m_approval.required();
    std::size_t position = 0;
    for (const auto& [id, worker] : m_workers)
    {
        if (!needed || approved({job, 0, 0}, id))
            known->second.push_back(position);
        ++position;
    }
    return known->second;
}

} // namespace simulated
