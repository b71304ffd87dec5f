#include "dragonflygap/node/leader_report.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/observe/log.hpp"
#include "dragonflygap/observe/metrics.hpp"

namespace dragonflygap::node
{

namespace
{

void log_wait(const cell::step_wait& wait)
{
    log_periodic("step_waits", {{"job", wait.m_step.m_job.m_value},
                                {"occurrence", wait.m_step.m_occurrence},
                                {"step", wait.m_step.m_step},
                                {"gang", wait.m_gang ? 1 : 0},
                                {"count", wait.m_count},
                                {"waiting", wait.m_waiting},
                                {"cause", cell::name_of(wait.m_cause)},
                                {"approved", wait.m_approved},
                                {"denied", wait.m_denied},
                                {"valid_tickets", wait.m_tickets},
                                {"asking", wait.m_calls},
                                {"room_ticketed", wait.m_room_ticketed},
                                {"room_approved", wait.m_room_approved},
                                {"room_anywhere", wait.m_room_anywhere},
                                {"not_asking", cell::name_of(wait.m_pause)},
                                {"drained", wait.m_drained},
                                {"retry_ms", to_ms(wait.m_retry_in)},
                                {"waiting_ms", to_ms(wait.m_age)}});
}

double to_seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

std::int64_t mean_ms(duration sum, std::uint64_t count)
{
    return count == 0 ? 0 : to_ms(sum / static_cast<std::int64_t>(count));
}

cell::answer_times since(const cell::answer_times& now, const cell::answer_times& before)
{
    return {.m_count = now.m_count - before.m_count,
            .m_waited = now.m_waited - before.m_waited,
            .m_service = now.m_service - before.m_service,
            .m_rest = now.m_rest - before.m_rest};
}

} // namespace

void leader_report::record_tick(const cell::coordinator& state, instant started_at,
                                instant ended_at)
{
    ++m_ticks;
    m_max_tick_time = std::max(m_max_tick_time, ended_at - started_at);
    m_metrics.observe("dragonflygap_tick_seconds", {}, ended_at - started_at);
    if (m_last_tick_at != instant{})
    {
        const auto delay = std::max<duration>(0s, started_at - m_last_tick_at - m_tick_interval);
        m_max_tick_delay = std::max(m_max_tick_delay, delay);
        m_metrics.observe("dragonflygap_tick_late_seconds", {}, delay);
    }
    m_last_tick_at = started_at;
    count_events(state.counts());
    m_customers.record(state, started_at);
    constexpr duration log_interval = 1s;
    constexpr std::size_t first_step_count = 8;
    constexpr std::size_t longest_waiting_count = 4;
    if (started_at - m_last_log_at < log_interval || !log_enabled(log_level::info))
        return;
    m_last_log_at = started_at;
    const auto report = state.report_waits(first_step_count, longest_waiting_count);
    log_pass(state, report.m_pass);
    for (const auto& step : report.m_steps)
        log_wait(step);
    m_ticks = 0;
    m_max_tick_time = {};
    m_max_tick_delay = {};
}

void leader_report::record_worker_list(const cell::change_watch& list, std::uint64_t newest_version,
                                       instant now)
{
    constexpr duration interval = 1s;
    if (now - m_last_list_at < interval || list.confirmed_at() == instant{})
        return;
    m_last_list_at = now;
    const auto age = now - list.confirmed_at();
    const auto behind = newest_version - std::min(newest_version, list.position());
    const auto counts = list.counts();
    const auto previous = std::exchange(m_last_list_counts, counts);
    constexpr double us_per_s = 1e6;
    m_metrics.set("dragonflygap_worker_list_age_seconds", {},
                  static_cast<double>(age.count()) / us_per_s);
    m_metrics.set("dragonflygap_worker_list_versions_behind", {}, static_cast<double>(behind));
    m_metrics.count("dragonflygap_worker_list_rows_total", {},
                    static_cast<double>(counts.m_rows - previous.m_rows));
    m_metrics.count("dragonflygap_worker_list_parts_total", {},
                    static_cast<double>(counts.m_parts - previous.m_parts));
    log_periodic("worker_list", {{"age_ms", to_ms(age)},
                                 {"versions_behind", behind},
                                 {"answers", counts.m_answers - previous.m_answers},
                                 {"rows", counts.m_rows - previous.m_rows},
                                 {"parts", counts.m_parts - previous.m_parts},
                                 {"full_reads", counts.m_full_reads - previous.m_full_reads}});
}

void leader_report::count_events(const cell::leader_counts& counts)
{
    const auto previous = std::exchange(m_last_counted, counts);
    auto count = [this](const char* name, const metric_label& label, double increase)
    {
        if (increase > 0)
            m_metrics.count(name, label, increase);
    };
    auto count_ends = [&](const char* name, std::string_view label, const auto& ends,
                          const auto& now, const auto& before)
    {
        for (const auto& end : ends)
            count(name, {label, end.m_name},
                  static_cast<double>(now.*end.m_count - before.*end.m_count));
    };
    const auto& calls = counts.m_calls;
    const auto& tickets = counts.m_tickets;
    count("dragonflygap_approvals_sent_total", {},
          static_cast<double>(calls.m_sent - previous.m_calls.m_sent));
    count("dragonflygap_approvals_timed_out_total", {},
          static_cast<double>(calls.m_timed_out - previous.m_calls.m_timed_out));
    count_ends("dragonflygap_approvals_total", "outcome", cell::call_ends, calls, previous.m_calls);
    count("dragonflygap_tickets_received_total", {},
          static_cast<double>(tickets.m_received - previous.m_tickets.m_received));
    count_ends("dragonflygap_tickets_total", "fate", cell::ticket_ends, tickets,
               previous.m_tickets);
    count("dragonflygap_tasks_stuck_total", {},
          static_cast<double>(counts.m_tasks_stuck - previous.m_tasks_stuck));
    const auto times = since(counts.m_answer_times, previous.m_answer_times);
    count("dragonflygap_answers_timed_total", {}, static_cast<double>(times.m_count));
    count("dragonflygap_answer_seconds_total", {"part", "waited"}, to_seconds(times.m_waited));
    count("dragonflygap_answer_seconds_total", {"part", "service"}, to_seconds(times.m_service));
    count("dragonflygap_answer_seconds_total", {"part", "rest"}, to_seconds(times.m_rest));
}

void leader_report::log_pass(const cell::coordinator& state, const cell::pass_summary& pass)
{
    const auto counts = state.counts();
    const auto previous = std::exchange(m_last_logged, counts);
    const auto& calls = counts.m_calls;
    const auto& tickets = counts.m_tickets;
    const auto times = since(counts.m_answer_times, previous.m_answer_times);
    log_periodic(
        "pass_summary",
        {{"steps_waiting", pass.m_steps_waiting},
         {"gangs_waiting", pass.m_gangs_waiting},
         {"not_queued", pass.m_not_queued},
         {"oldest_wait_ms", to_ms(pass.m_oldest_wait)},
         {"approvals_in_flight", pass.m_approvals_in_flight},
         {"approvals_open", pass.m_approvals_open},
         {"calls_sent", calls.m_sent - previous.m_calls.m_sent},
         {"calls_timed_out", calls.m_timed_out - previous.m_calls.m_timed_out},
         {"calls_answered", calls.m_answered - previous.m_calls.m_answered},
         {"calls_needless", calls.m_needless - previous.m_calls.m_needless},
         {"calls_given_up", calls.m_given_up - previous.m_calls.m_given_up},
         {"calls_gone", calls.m_gone - previous.m_calls.m_gone},
         {"calls_unsent", calls.m_unsent - previous.m_calls.m_unsent},
         {"calls_failed", calls.m_failed - previous.m_calls.m_failed},
         {"calls_silent", calls.m_silent - previous.m_calls.m_silent},
         {"calls_unexpected", calls.m_unexpected - previous.m_calls.m_unexpected},
         {"waited_mean_ms", mean_ms(times.m_waited, times.m_count)},
         {"service_mean_ms", mean_ms(times.m_service, times.m_count)},
         {"rest_mean_ms", mean_ms(times.m_rest, times.m_count)},
         {"workers_named", counts.m_workers_named - previous.m_workers_named},
         {"tickets_held", pass.m_tickets_held},
         {"tickets_got", tickets.m_received - previous.m_tickets.m_received},
         {"tickets_used", tickets.m_used - previous.m_tickets.m_used},
         {"tickets_lapsed", tickets.m_lapsed - previous.m_tickets.m_lapsed},
         {"tickets_given_up", tickets.m_given_up - previous.m_tickets.m_given_up},
         {"tickets_gone", tickets.m_gone - previous.m_tickets.m_gone},
         {"tickets_unknown_worker", tickets.m_unknown_worker - previous.m_tickets.m_unknown_worker},
         {"tickets_refused", tickets.m_refused - previous.m_tickets.m_refused},
         {"tickets_replaced", tickets.m_replaced - previous.m_tickets.m_replaced},
         {"tickets_forgotten", tickets.m_forgotten - previous.m_tickets.m_forgotten},
         {"starts_refused", counts.m_starts_refused - previous.m_starts_refused},
         {"stops_failed", counts.m_stops_failed - previous.m_stops_failed},
         {"tasks_stuck", counts.m_tasks_stuck - previous.m_tasks_stuck},
         {"workers_listed", pass.m_workers_listed},
         {"workers_open", pass.m_workers_open},
         {"workers_closed", pass.m_workers_closed},
         {"workers_suspected", pass.m_workers_suspected},
         {"millicores_free", pass.m_millicores_free},
         {"millicores_reserved", pass.m_millicores_reserved},
         {"millicores_closed", pass.m_millicores_closed},
         {"runs_starting", pass.m_runs_starting},
         {"runs_unknown", pass.m_runs_unknown},
         {"runs_stopping", pass.m_runs_stopping},
         {"longest_stop_ms", to_ms(pass.m_longest_stop)},
         {"ticks", m_ticks},
         {"longest_tick_us", m_max_tick_time.count()},
         {"latest_tick_ms", to_ms(m_max_tick_delay)}});
}

} // namespace dragonflygap::node
