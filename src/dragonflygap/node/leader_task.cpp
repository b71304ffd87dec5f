#include "dragonflygap/node/leader_task.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "dragonflygap/cell/worker_text.hpp"
#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::node
{

namespace
{

// A read that waits in vain confirms the list as it was when the read was sent, so the wait is a
// small part of the workers' notice. Workers' heartbeats may change the list hundreds of times a
// second, so there is an interval between reads too.
cell::change_watch_options watch_options(duration notice)
{
    constexpr int waits_per_notice = 10;
    constexpr duration max_interval = 150ms;
    constexpr duration overdue_after = 1300ms; // a busy leader reads slowly, and would read twice
    const auto wait = notice / waits_per_notice;
    return {.m_wait = wait,
            .m_answer_delay = std::max<duration>(overdue_after - wait, max_interval),
            .m_min_interval = std::min<duration>(wait, max_interval)};
}

} // namespace

leader_task::leader_task(event_loop& loop, metrics& registry, leader_task_options options,
                         cell::recovered_state state)
    : m_loop(loop),
      m_metrics(registry),
      m_options(std::move(options)),
      m_coordinator(m_options.m_coordinator, std::move(state), monotonic_clock::now()),
      m_report(registry, m_options.m_tick_interval),
      m_customer_report(registry),
      m_worker_watch(watch_options(m_options.m_coordinator.m_min_notice)),
      m_epoch(m_coordinator.record().m_epoch)
{
    m_members[m_options.m_vm].m_address = m_options.m_address;
    m_timers.push_back(m_loop.every(m_options.m_tick_interval, [this] { tick(); }));
    m_timers.push_back(m_loop.every(m_options.m_heartbeat_interval,
                                    [this]
                                    {
                                        check_members();
                                        report_store();
                                        send_heartbeats();
                                    }));
    m_timers.push_back(
        m_loop.every(m_options.m_worker_watch_interval, [this] { watch_workers(); }));
    m_timers.push_back(m_loop.every(m_options.m_member_read_interval, [this] { read_members(); }));
    config_changed();
    watch_workers();
    read_members();
    check_members();
    tick();
}

leader_task::~leader_task()
{
    *m_alive = false;
}

void leader_task::process_event(const cell::event& event)
{
    if (m_stopped)
        return;
    for (const auto& action : m_coordinator.handle(event, monotonic_clock::now(), unix_ms()))
        std::visit([this](const auto& alternative) { execute(alternative); }, action);
}

void leader_task::config_changed()
{
    if (const auto* config = m_options.m_config(); config != nullptr)
        process_event(cell::config_changed{config->m_version, config->m_customers});
}

void leader_task::tick()
{
    if (m_stopped)
        return;
    const auto started_at = monotonic_clock::now();
    process_event(cell::tick{});
    m_report.record_tick(m_coordinator, started_at, monotonic_clock::now());
    m_customer_report.record(m_coordinator, started_at);
    m_report.record_worker_list(m_worker_watch, m_newest_version, started_at);
}

void leader_task::execute(const cell::answer_call& action)
{
    const auto found = m_origins.find(action.m_call);
    if (found == m_origins.end())
        return;
    const auto origin = found->second;
    m_origins.erase(found);
    m_options.m_send(origin.m_vm, cell::caller_answer{.m_call = origin.m_call,
                                                      .m_status = static_cast<int>(action.m_status),
                                                      .m_number = action.m_retry_after_ms});
}

void leader_task::execute(const cell::send_commit& action)
{
    const auto sent_at = monotonic_clock::now();
    m_options.m_store.m_commit(
        action.m_change, m_options.m_commit_timeout,
        [this, sent_at, number = action.m_number,
         alive = m_alive](outcome<cell::transaction_result> result)
        {
            if (!*alive)
                return;
            m_metrics.observe("dragonflygap_store_wait_seconds",
                              {"outcome", result ? "answered" : to_string(result.error().m_reason)},
                              monotonic_clock::now() - sent_at);
            if (result)
                m_newest_version = std::max(m_newest_version, result->m_version);
            process_event(cell::commit_answered{number, std::move(result)});
        });
}

void leader_task::execute(const cell::read_leader_row& action)
{
    m_options.m_store.m_read(
        {std::string(cell::leader_table), std::string(cell::leader_key)},
        m_options.m_commit_timeout,
        [this, number = action.m_number, alive = m_alive](outcome<cell::stored_row> row)
        {
            if (*alive)
                process_event(cell::leader_row_read{number, std::move(row)});
        });
}

void leader_task::execute(const cell::send_renewal& action)
{
    m_options.m_workers.m_renew(
        action.m_worker, m_epoch, action.m_renewal,
        [this, id = action.m_worker.m_id, sent_at = action.m_sent,
         alive = m_alive](outcome<cell::worker_report> result)
        {
            if (*alive)
                process_event(cell::renewal_answered{id, sent_at, std::move(result)});
        });
}

void leader_task::execute(const cell::send_start& action)
{
    m_options.m_workers.m_start(
        action.m_worker, m_epoch, action.m_order, action.m_timeout,
        [this, id = action.m_worker.m_id, task = action.m_order.m_task, run = action.m_order.m_run,
         sent = action.m_sent, alive = m_alive](outcome<cell::start_result> result)
        {
            if (!*alive)
                return;
            if (!result || result->m_refusal != cell::start_refusal::none)
                m_metrics.count("dragonflygap_start_refusals_total",
                                {"kind", result ? cell::name_of(result->m_refusal)
                                                : to_string(result.error().m_reason)});
            process_event(cell::start_answered{id, task, run, std::move(result), sent});
        });
}

void leader_task::execute(const cell::send_stop& action)
{
    m_options.m_workers.m_stop(
        action.m_worker, m_epoch, action.m_task, action.m_run, action.m_timeout,
        [this, id = action.m_worker.m_id, task = action.m_task, run = action.m_run,
         sent = action.m_sent, alive = m_alive](outcome<cell::start_result> result)
        {
            if (!*alive)
                return;
            m_metrics.count("dragonflygap_stops_total",
                            {"outcome", result ? cell::name_of(result->m_refusal)
                                               : to_string(result.error().m_reason)});
            process_event(cell::stop_answered{id, task, run, std::move(result), sent});
        });
}

void leader_task::execute(const cell::request_approval& action)
{
    constexpr duration margin = 600ms; // on top of the service's expected time
    m_pending_approvals.insert(action.m_call);
    m_options.m_send(action.m_via,
                     cell::approval_call{.m_epoch = m_epoch,
                                         .m_step = action.m_step,
                                         .m_workers = action.m_workers,
                                         .m_timeout_ms = to_ms(action.m_expected + margin),
                                         .m_cost_ms = to_ms(action.m_cost),
                                         .m_call = action.m_call});
    // A member that doesn't answer in time counts as a failed call.
    m_loop.defer(
        action.m_timeout,
        [this, call = action.m_call, step = action.m_step, via = action.m_via, alive = m_alive]
        {
            if (!*alive || m_pending_approvals.erase(call) == 0)
                return;
            process_event(cell::approval_answered{
                .m_call = call,
                .m_step = step,
                .m_via = via,
                .m_result = fail(verdict::may_have_run, reason::timeout, "")});
        });
}

void leader_task::execute(const cell::step_down& action)
{
    m_stopped = true;
    // m_on_deposed destroys this task, which must not happen while it executes an action.
    m_loop.post([on_deposed = m_options.m_on_deposed, cause = action.m_cause]
                { on_deposed(cause); });
}

void leader_task::handle(const vm_id& from, const cell::caller_call& call)
{
    const auto kind = static_cast<cell::call_kind>(call.m_kind);
    if (kind == cell::call_kind::submit || kind == cell::call_kind::cancel)
    {
        const auto id = ++m_last_call;
        m_origins[id] = {from, call.m_call};
        if (kind == cell::call_kind::submit)
            process_event(
                cell::job_submitted{id, call.m_job, call.m_queue, call.m_request, call.m_customer});
        else
            process_event(cell::job_cancelled{id, call.m_job});
        return;
    }
    cell::caller_answer answer{.m_call = call.m_call};
    if (kind == cell::call_kind::waiting)
        answer.m_number = m_coordinator.waiting(call.m_queue.m_name);
    else
        answer.m_state = m_coordinator.state_of(call.m_job);
    const bool unknown_job = kind == cell::call_kind::state && answer.m_state.empty();
    answer.m_status =
        static_cast<int>(unknown_job ? cell::call_status::not_here : cell::call_status::accepted);
    m_options.m_send(from, answer);
}

void leader_task::handle(const vm_id& from, const cell::member_heartbeat& heartbeat)
{
    const auto found = m_members.find(from);
    if (found == m_members.end())
        return;
    const bool was_responsive = is_responsive(found->second);
    found->second.m_last_heard_at = monotonic_clock::now();
    found->second.m_stopping = heartbeat.m_stopping;
    if (heartbeat.m_store_age_ms >= 0)
        m_store_heard_at =
            std::max(m_store_heard_at,
                     monotonic_clock::now() - std::chrono::milliseconds(heartbeat.m_store_age_ms));
    // After a take-over, approvals go through every VM as soon as it responds.
    if (!was_responsive)
        check_members();
}

void leader_task::handle(const vm_id& from, const cell::approval_answer& answer)
{
    if (answer.m_epoch != m_epoch)
        return;
    m_pending_approvals.erase(answer.m_call);
    outcome<cell::approval> result =
        fail(verdict::not_run, reason::target_failed, "the member couldn't obtain an approval");
    if (answer.m_succeeded)
        result = answer.m_approval;
    std::optional<duration> waited;
    if (answer.m_waited_ms >= 0)
        waited = std::chrono::milliseconds(answer.m_waited_ms);
    process_event(cell::approval_answered{
        .m_call = answer.m_call,
        .m_step = answer.m_step,
        .m_via = from,
        .m_workers = answer.m_workers,
        .m_result = std::move(result),
        .m_response_time = std::chrono::milliseconds(answer.m_response_time_ms),
        .m_backlog_time = std::chrono::milliseconds(answer.m_backlog_time_ms),
        .m_waited = waited});
}

cell::leader_heartbeat leader_task::heartbeat() const
{
    const auto store_age = monotonic_clock::now() - m_coordinator.last_commit_at();
    const auto* config = m_options.m_config();
    return {.m_epoch = m_epoch,
            .m_commit = m_coordinator.record().m_commit,
            .m_store_age_ms = m_coordinator.last_commit_at() == instant{} ? 0 : to_ms(store_age),
            .m_config_version = config == nullptr ? 0 : config->m_version,
            .m_address = m_options.m_address,
            .m_cut_off = cut_off()};
}

void leader_task::send_heartbeats()
{
    if (m_stopped)
        return;
    auto message = heartbeat();
    for (const auto& [vm, member] : m_members)
    {
        message.m_hears_receiver = hears(member);
        m_options.m_send(vm, message);
    }
}

void leader_task::resign()
{
    auto message = heartbeat();
    message.m_resigns = true;
    const vm_id* successor = nullptr;
    std::tuple<bool, double, instant> best_rating; // leading costs processor time
    for (const auto& [vm, member] : m_members)
    {
        if (vm == m_options.m_vm || member.m_stopping || member.m_last_heard_at == instant{})
            continue;
        const bool responsive = is_responsive(member);
        const std::tuple rating(responsive, responsive ? member.m_processor_share : 0,
                                member.m_last_heard_at);
        if (successor == nullptr || rating > best_rating)
        {
            best_rating = rating;
            successor = &vm;
        }
    }
    m_stopped = true;
    if (successor != nullptr)
        m_options.m_send(*successor, message);
    log_event(log_level::info, "leader_resigned",
              {{"epoch", m_epoch}, {"successor", successor == nullptr ? "" : successor->m_value}});
}

// Reads the list of workers once and then its changes.
void leader_task::watch_workers()
{
    if (m_stopped)
        return;
    while (const auto read = m_worker_watch.next(monotonic_clock::now()))
        m_options.m_directory.m_read_workers(
            *read,
            [this, number = read->m_number, alive = m_alive](outcome<cell::worker_changes> changes,
                                                             const cell::read_extent& extent)
            {
                if (!*alive)
                    return;
                const auto now = monotonic_clock::now();
                if (!changes)
                {
                    log_event(log_level::warning, "workers_not_listed",
                              {{"detail", changes.error().m_detail},
                               {"list_age_ms", to_ms(now - m_worker_watch.confirmed_at())}});
                    m_worker_watch.failed(number, changes.error().m_verdict == verdict::not_run,
                                          now);
                }
                else if (m_worker_watch.answered(number, extent, now))
                    process_event(
                        cell::workers_listed{.m_workers = std::move(changes->m_listed),
                                             .m_unlisted = std::move(changes->m_unlisted),
                                             .m_complete = changes->m_complete,
                                             .m_confirmed_at = m_worker_watch.confirmed_at()});
                watch_workers();
            });
}

} // namespace dragonflygap::node
