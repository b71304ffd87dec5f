#include "cell/support/simulated_cell.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
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

simulated_cell::simulated_cell(cell_options options) : m_options(options), m_random(options.m_seed)
{
    for (int i = 0; i < options.m_vms; ++i)
        m_members[vm_id("vm-" + std::to_string(i))];
    m_backlog.m_self = {.m_epoch = 2, .m_vm = m_members.begin()->first};
    m_backlog.m_predecessor_gone = true;
    for (int i = 0; i < options.m_workers; ++i)
    {
        m_workers[worker_named(i)];
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
    for (const auto& row : m_backlog.m_jobs)
        m_rows[row.m_name] = row.m_value;
    lead();
}

void simulated_cell::lead()
{
    m_coordinator = std::make_unique<coordinator>(m_options.m_leader, m_backlog, m_now);
    std::vector<vm_id> members;
    for (const auto& [vm, member] : m_members)
        members.push_back(vm);
    feed(members_changed{members});
    if (!m_customers.empty())
        feed(config_changed{1, m_customers});
    for (const auto& held : std::exchange(m_held_submissions, {}))
        feed(held);
}

void simulated_cell::set_customers(std::vector<customer_rules> customers)
{
    m_customers = std::move(customers);
    feed(config_changed{1, m_customers});
}

void simulated_cell::replace_leader(duration gap)
{
    m_coordinator.reset();
    ++m_backlog.m_self.m_epoch;
    run(gap);
    for (auto& [id, worker] : m_workers)
        worker.m_pending_renewal.reset();
    m_pending_calls.clear();
    m_backlog.m_version = m_version;
    m_backlog.m_unix_ms = to_ms(m_now - m_start);
    m_backlog.m_jobs.clear();
    m_backlog.m_progress.clear();
    for (const auto& [name, value] : m_rows)
        (name.m_table == job_table ? m_backlog.m_jobs : m_backlog.m_progress)
            .push_back({name, m_version, value});
    lead();
}

// Keeps the rows of jobs alone.
void simulated_cell::store(const transaction& change)
{
    for (const auto& name : change.m_deletes)
        m_rows.erase(name);
    for (const auto& write : change.m_writes)
    {
        const auto& table = write.m_row.m_table;
        if (table == job_table || table == progress_table)
            m_rows[write.m_row] = write.m_value;
        const auto result = m_results.find(job_id(write.m_row.m_key));
        if (result == m_results.end())
            continue;
        if (table == ended_table)
            result->second.m_ended_at = m_now;
        if (table == job_table)
            result->second.m_beyond_share = unpack<job_record>(write.m_value)->m_beyond_share;
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
        m_waits_since[id] = m_now;
        m_submitted[++m_last_call] = id;
        feed(job_submitted{m_last_call, id, kind.m_queue, std::move(request)});
    }
}

void simulated_cell::submit(const job_id& id, const job_kind& kind, const customer_id& customer)
{
    job_request request;
    request.m_steps.push_back(kind.m_step);
    m_kinds[id] = kind;
    m_specs[id] = kind.m_step;
    m_waits_since[id] = m_now;
    m_submitted[++m_last_call] = id;
    m_results[id] = {.m_submitted_at = m_now};
    job_submitted submission{m_last_call, id, kind.m_queue, std::move(request), customer};
    if (m_coordinator == nullptr)
        m_held_submissions.push_back(std::move(submission));
    else
        feed(submission);
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

void simulated_cell::feed(std::uint64_t epoch, const event& incoming)
{
    if (epoch == m_backlog.m_self.m_epoch)
        feed(incoming);
}

void simulated_cell::feed(const event& incoming)
{
    if (m_coordinator == nullptr)
        return;
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
            std::visit([this](const auto& request) { act(request); }, one);
    };
    if (cost == duration{})
        return send(actions);
    m_busy_until = m_now + cost;
    schedule(m_busy_until,
             [this, send, actions = std::move(actions)]
             {
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
    if (!submitted || !is_rejection(action.m_status))
        return;
    ++m_rejected;
    stop_waiting(submitted.mapped());
    if (const auto result = m_results.find(submitted.mapped()); result != m_results.end())
        result->second.m_rejected = true;
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
             [this, number = action.m_number, change = action.m_change,
              epoch = m_backlog.m_self.m_epoch]
             {
                 store(change);
                 feed(epoch, commit_answered{number, transaction_result{.m_committed = true,
                                                                        .m_version = ++m_version}});
             });
}

void simulated_cell::act(const read_leader_row&) {}

void simulated_cell::act(const send_renewal& action)
{
    schedule(leave_link(renewal_bytes) + m_options.m_network_delay,
             [this, id = action.m_worker.m_id, sent = action.m_sent, order = action.m_renewal]
             {
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
             [this, id, sent = pending->m_sent, report = worker.report(m_now),
              epoch = m_backlog.m_self.m_epoch] {
                 feed(epoch, renewal_answered{id, sent, report});
             });
}

void simulated_cell::act(const send_start& action)
{
    const auto& order = action.m_order;
    const auto answer = [this, open = std::make_shared<bool>(true), id = action.m_worker.m_id,
                         task = order.m_task, run = order.m_run, sent = action.m_sent,
                         epoch = m_backlog.m_self.m_epoch](const outcome<start_result>& result)
    {
        if (!std::exchange(*open, false))
            return;
        m_timed_out += result ? 0 : 1;
        feed(epoch, start_answered{id, task, run, result, sent});
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
    const auto length = std::chrono::milliseconds(spec.m_expected_ms);
    worker.m_running[order.m_task] = {.m_run = order.m_run,
                                      .m_size = size_of(spec),
                                      .m_work_time = length,
                                      .m_working_since = spec.m_gang ? instant{} : m_now};
    if (!worker.used().fits_in(m_options.m_capacity))
        ++m_overcommitted;
    stop_waiting(order.m_task.m_job);
    if (!spec.m_gang)
    {
        schedule(m_now + length, [this, id, task = order.m_task, run = order.m_run]
                 { end(id, task, run, end_kind::done); });
        return;
    }
    const auto key = std::make_pair(step_of(order.m_task), order.m_run);
    auto& gang = m_gangs[key];
    gang.m_started_members.emplace_back(id, order.m_task);
    if (static_cast<int>(gang.m_started_members.size()) == spec.m_count)
    {
        gang.m_complete = true;
        for (const auto& [member, task] : gang.m_started_members)
            m_workers.at(member).m_running.at(task).m_working_since = m_now;
        schedule(m_now + length,
                 [this, key] { break_gang(key.first, key.second, end_kind::done); });
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
              sent = action.m_sent, epoch = m_backlog.m_self.m_epoch]
             {
                 m_stopped += m_workers.at(id).m_running.count(task) != 0 ? 1 : 0;
                 end(id, task, run, end_kind::stopped);
                 break_gang(step_of(task), run, end_kind::broken);
                 schedule(m_now + m_options.m_network_delay,
                          [this, id, task, run, sent, epoch] {
                              feed(epoch, stop_answered{id, task, run, start_result{}, sent});
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
                 [this, call = action.m_call, step = action.m_step, vm = action.m_via,
                  epoch = m_backlog.m_self.m_epoch]
                 {
                     feed(epoch, approval_answered{.m_call = call,
                                                   .m_step = step,
                                                   .m_via = vm,
                                                   .m_result = fail(verdict::may_have_run,
                                                                    reason::timeout, "")});
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
                 feed(call.m_epoch, approval_answered{.m_call = call.m_call,
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
    if (m_coordinator == nullptr)
        return;
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
    if (std::getenv("SHOW_USE") && (m_now - m_start) % 1s < measure_interval) std::printf("use at %lld: %.2f ready %zu\n", static_cast<long long>(to_ms(m_now-m_start)), double(used)/all, m_coordinator->ready_steps());
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
