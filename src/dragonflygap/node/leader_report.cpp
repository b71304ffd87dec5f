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
                                {"asking", wait.m_call_in_flight ? 1 : 0},
                                {"room_ticketed", wait.m_room_ticketed},
                                {"room_approved", wait.m_room_approved},
                                {"room_anywhere", wait.m_room_anywhere},
                                {"waiting_ms", to_ms(wait.m_age)}});
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
    count_tickets(state.counts());
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

void leader_report::count_tickets(const cell::leader_counts& counts)
{
    const auto previous = std::exchange(m_last_counted, counts);
    auto count = [this](std::string_view fate, std::uint64_t increase)
    {
        if (increase > 0)
            m_metrics.count("dragonflygap_tickets_total", {"fate", fate},
                            static_cast<double>(increase));
    };
    count("used", counts.m_tickets_used - previous.m_tickets_used);
    count("lapsed", counts.m_tickets_lapsed - previous.m_tickets_lapsed);
}

void leader_report::log_pass(const cell::coordinator& state, const cell::pass_summary& pass)
{
    const auto counts = state.counts();
    const auto previous = std::exchange(m_last_logged, counts);
    log_periodic("pass_summary",
                 {{"steps_waiting", pass.m_steps_waiting},
                  {"gangs_waiting", pass.m_gangs_waiting},
                  {"not_queued", pass.m_not_queued},
                  {"oldest_wait_ms", to_ms(pass.m_oldest_wait)},
                  {"approvals_in_flight", pass.m_approvals_in_flight},
                  {"answers", counts.m_answers - previous.m_answers},
                  {"answers_failed", counts.m_answers_failed - previous.m_answers_failed},
                  {"answers_late", counts.m_answers_late - previous.m_answers_late},
                  {"workers_named", counts.m_workers_named - previous.m_workers_named},
                  {"tickets_got", counts.m_tickets_received - previous.m_tickets_received},
                  {"tickets_used", counts.m_tickets_used - previous.m_tickets_used},
                  {"tickets_lapsed", counts.m_tickets_lapsed - previous.m_tickets_lapsed},
                  {"starts_refused", counts.m_starts_refused - previous.m_starts_refused},
                  {"stops_failed", counts.m_stops_failed - previous.m_stops_failed},
                  {"workers_listed", pass.m_workers_listed},
                  {"workers_open", pass.m_workers_open},
                  {"workers_closed", pass.m_workers_closed},
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
