#include "dragonflygap/cell/coordinator.hpp"

#include <algorithm>
#include <utility>

#include "dragonflygap/cell/customer_keys.hpp"
#include "dragonflygap/cell/row_split.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

namespace
{

// At peak load a few jobs that need most of the cell arrive among many small ones of the same
// priority. A job's rank time is delayed by the work it needs, so that small jobs, of which many
// finish in the time of a large one, overtake it. The delay leaves half of the slack of the job's
// objective: a job that is late because of its delay would be placed after all that are on time.
instant rank_time_of(const job_record& record, instant since)
{
    constexpr std::int64_t core_ms_per_ms = 150; // 1 ms of delay per 150 core-ms of work
    constexpr duration max_delay = 12s;          // three times the usual objective of a large job
    std::int64_t core_ms = 0;
    for (const auto& step : record.m_request.m_steps)
        core_ms += step.m_size.m_millicores * step.m_count * step.m_expected_ms / 1000;
    return since + std::min<duration>({max_delay, slack_of(record) / 2,
                                       std::chrono::milliseconds(core_ms / core_ms_per_ms)});
}

// Time since a job was accepted. The clocks of the two VMs involved may differ, so it is clamped.
duration age_of(const job_record& record, std::int64_t unix_ms)
{
    constexpr duration max_age = 1h;
    const duration age = std::chrono::milliseconds(unix_ms - record.m_accepted_ms);
    return unix_ms == 0 ? duration{} : std::clamp<duration>(age, duration{}, max_age);
}

// At a takeover the stored rows stand beside the state that is made of them.
std::size_t memory_limit(std::int64_t process_mb)
{
    constexpr std::size_t bytes_per_mb = 1000000;
    constexpr std::size_t share = 3; // a third of the process's memory
    return static_cast<std::size_t>(process_mb) * bytes_per_mb / share;
}

} // namespace

coordinator::coordinator(coordinator_options options, recovered_state found, instant now)
    : m_options(options),
      m_chain(options.m_commits, found.m_self, found.m_version),
      m_approval_balancer(options.m_approvals),
      m_memory(std::make_shared<memory_budget>(memory_limit(options.m_memory_mb))),
      m_order_time(options.m_orders),
      m_approval_delay(options.m_approval_delay),
      m_order_window(options.m_order_window),
      m_approval_window(options.m_approval_window),
      m_now(now),
      m_taken_over_at(now),
      m_elected_at(found.m_elected_at == instant{} ? now : found.m_elected_at),
      m_resumed_at(now - m_elected_at < options.m_max_pause ? instant{} : now)
{
    restore_workers(found);
    restore_jobs(found);
}

// Frees each row that it has read, as all of them take as much memory as the jobs.
void coordinator::restore_jobs(recovered_state& found)
{
    for (auto& row : found.m_jobs)
    {
        auto record = unpack<job_record>(std::exchange(row.m_value, {}));
        if (!record)
        {
            log_event(log_level::error, "job_row_unreadable", {{"job", row.m_name.m_key}});
            continue;
        }
        auto job =
            std::make_shared<job_state>(job_id(row.m_name.m_key), std::move(*record), m_memory);
        job->m_customer = m_usage.index_of(job->record().m_customer);
        job->restore({});
        job->m_since = m_now - age_of(job->record(), found.m_unix_ms);
        job->m_rank_time = rank_time_of(job->record(), job->m_since);
        // Higher than the run numbers of all earlier epochs.
        job->m_next_run = (m_chain.record().m_epoch - 1) * m_options.m_runs_per_epoch + 1;
        m_jobs[job->id()] = std::move(job);
    }
    restore_progress(found);
    for (auto& [id, job] : m_jobs)
    {
        if (job->all_done())
        {
            end_job(*job, job_outcome::completed);
            continue;
        }
        m_timetable.add(id, job->record().m_request, job->next_undone(0));
        update_ready_steps(*job);
    }
}

void coordinator::restore_progress(recovered_state& found)
{
    std::map<job_id, progress_record> all;
    for (auto& row : found.m_progress)
    {
        const job_id id(std::string(name_of_row(row.m_name.m_key)));
        const auto job = m_jobs.find(id);
        auto progress = unpack<progress_record>(std::exchange(row.m_value, {}));
        if (job == m_jobs.end())
            continue;
        job->second->m_progress_rows =
            std::max(job->second->m_progress_rows, number_of_row(row.m_name.m_key) + 1);
        if (progress)
            merge(all[id], std::move(*progress));
        else
            log_event(log_level::error, "progress_row_unreadable", {{"key", row.m_name.m_key}});
    }
    for (const auto& [id, progress] : all)
        m_jobs.at(id)->restore(progress);
}

std::vector<action> coordinator::handle(const event& incoming, instant now, std::int64_t unix_ms)
{
    actions out;
    if (m_deposed)
        return out;
    check_pause(now, unix_ms);
    m_now = now;
    m_unix_ms = unix_ms;
    m_actions = &out;
    std::visit([this](const auto& event) { on(event); }, incoming);
    m_actions = nullptr;
    return out;
}

void coordinator::on(const tick&)
{
    reject_unstored();
    expire_calls();
    m_memory->measure(m_now);
    // A leader that was replaced while it was paused must not act on the time alone.
    const bool acts = !awaits_confirmation();
    if (acts)
    {
        apply_due_occurrences();
        rank_late_jobs();
        stop_stalled_tasks();
        remove_expired_workers();
    }
    check_list_age();
    auto checked = workers_to_check();
    if (acts)
    {
        check_leases(checked);
        place_ready_steps();
    }
    count_lapsed_tickets();
    end_silent_calls();
    // Placing and losses changed more of them.
    const auto changed = m_index.take_changed();
    checked.insert(checked.end(), changed.begin(), changed.end());
    std::sort(checked.begin(), checked.end());
    checked.erase(std::unique(checked.begin(), checked.end()), checked.end());
    if (acts)
        for (const auto number : checked)
            send_stops(m_index.at(number));
    build_commit();
    for (const auto number : checked)
        if (auto& worker = m_index.at(number); renewal_needed(worker) || worker.m_report_wanted)
            renew(worker);
}

void coordinator::check_leases(std::span<const worker_number> workers)
{
    for (const auto number : workers)
    {
        auto& worker = m_index.at(number);
        if (!worker.m_placements.empty() && m_now >= worker.m_lease_expires_at)
            handle_worker_loss(worker, "lease_over");
        give_up_if_silent(worker);
        m_index.set_open(worker, !m_list_outdated && may_use(worker) && accepts_tasks(worker));
    }
}

void coordinator::on(const job_submitted& event)
{
    if (const auto ended = m_ended.find(event.m_job))
    {
        if (!reject_foreign(event, ended->m_customer))
            m_actions->push_back(answer_call{event.m_call, call_status::accepted});
        return;
    }
    if (const job_state* known = find(event.m_job); known != nullptr)
    {
        if (reject_foreign(event, known->record().m_customer))
            return;
        if (known->m_stored)
            m_actions->push_back(answer_call{event.m_call, call_status::accepted});
        else
            m_calls[event.m_job].push_back({event.m_call, m_now});
        return;
    }
    if (const auto wait = refused_for_customer(event))
    {
        m_actions->push_back(answer_call{event.m_call, call_status::rejected, *wait});
        return;
    }
    if (store_unavailable() || m_ready.size() >= m_options.m_max_ready_steps)
    {
        const bool unavailable = store_unavailable();
        const auto wait =
            unavailable ? m_options.m_store_retry_after_ms : m_options.m_full_retry_after_ms;
        log_event(log_level::info, "job_rejected",
                  {{"job", event.m_job.m_value},
                   {"cause", unavailable ? "store_unavailable" : "queue_full"},
                   {"steps_waiting", m_ready.size()},
                   {"store_age_ms", to_ms(store_age())}});
        m_actions->push_back(answer_call{event.m_call, call_status::rejected, wait});
        return;
    }
    job_record record{.m_queue = event.m_queue,
                      .m_request = event.m_request,
                      .m_accepted_ms = m_unix_ms,
                      .m_customer = event.m_customer};
    if (const auto customer = m_customers.find(event.m_customer); customer != m_customers.end())
        record.m_customer_limit = customer->second.m_limit;
    // The jobs have to fit into each successor too, so their memory is limited, not the process's.
    if (const auto memory = job_state::min_memory(record); !m_memory->fits(memory))
    {
        log_event(log_level::info, "job_rejected",
                  {{"job", event.m_job.m_value},
                   {"cause", "memory_full"},
                   {"job_bytes", memory},
                   {"used_bytes", m_memory->used()},
                   {"limit_bytes", m_memory->limit()}});
        m_actions->push_back(
            answer_call{event.m_call, call_status::rejected, m_memory->retry_after_ms(memory)});
        return;
    }
    auto job = std::make_shared<job_state>(event.m_job, std::move(record), m_memory);
    job->m_customer = m_usage.index_of(event.m_customer);
    job->m_since = m_now;
    job->m_rank_time = rank_time_of(job->record(), m_now);
    job->m_next_run = (m_chain.record().m_epoch - 1) * m_options.m_runs_per_epoch + 1;
    m_timetable.add(event.m_job, event.m_request);
    m_dirty.insert(event.m_job);
    m_calls[event.m_job].push_back({event.m_call, m_now});
    m_jobs[event.m_job] = job;
    update_ready_steps(*job);
}

// Callers choose the IDs. The ID of another customer's job tells nothing about that job, and the
// submission must not change it.
bool coordinator::reject_foreign(const job_submitted& event, const customer_id& owner)
{
    if (may_access(event.m_customer, owner))
        return false;
    log_event(log_level::info, "job_rejected",
              {{"job", event.m_job.m_value}, {"cause", "id_in_use"}});
    m_actions->push_back(
        answer_call{event.m_call, call_status::rejected, m_options.m_full_retry_after_ms});
    return true;
}

void coordinator::on(const job_cancelled& event)
{
    job_state* job = find(event.m_job);
    if (job == nullptr || !may_access(event.m_customer, job->record().m_customer))
    {
        const auto ended = m_ended.find(event.m_job);
        const bool known = ended && may_access(event.m_customer, ended->m_customer);
        m_actions->push_back(
            answer_call{event.m_call, known ? call_status::accepted : call_status::not_here});
        return;
    }
    if (!job->m_outcome)
        end_job(*job, job_outcome::cancelled);
    m_calls[event.m_job].push_back({event.m_call, m_now, true});
}

void coordinator::on(const members_changed& event)
{
    m_approval_balancer.set_members(event.m_members);
    if (event.m_least_memory_mb > 0)
        m_memory->set_limit(memory_limit(std::min(m_options.m_memory_mb, event.m_least_memory_mb)));
}

void coordinator::on(const store_heard& event)
{
    m_store_heard_at = std::max(m_store_heard_at, event.m_at);
}

void coordinator::on(const config_changed& event)
{
    m_customers.clear();
    for (const auto& customer : event.m_customers)
        m_customers[customer.m_name] = customer;
    m_usage.set_limits(event.m_customers);
}

job_state* coordinator::find(const job_id& job)
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

step_state* coordinator::find_step(const step_key& key)
{
    job_state* job = find(key.m_job);
    if (job == nullptr || job->find({key.m_job, key.m_occurrence, key.m_step, 0}) == nullptr)
        return nullptr;
    return &job->step(key.m_occurrence, key.m_step);
}

const job_state* coordinator::find_job(const job_id& job) const
{
    const auto found = m_jobs.find(job);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

void coordinator::for_each_job(const std::function<void(const job_state&)>& visit) const
{
    for (const auto& [id, job] : m_jobs)
        visit(*job);
}

void coordinator::answer_calls(job_state& job, call_status status)
{
    const auto calls = m_calls.find(job.id());
    if (calls == m_calls.end())
        return;
    for (const auto& call : calls->second)
        m_actions->push_back(
            answer_call{call.m_call, status,
                        status == call_status::rejected ? m_options.m_store_retry_after_ms : 0});
    m_calls.erase(calls);
}

void coordinator::end_job(job_state& job, job_outcome outcome)
{
    job.m_outcome = outcome;
    job.m_ended_at = m_now;
    job.m_dirty = true;
    m_dirty.insert(job.id());
    m_timetable.remove(job.id());
    remember_unreported(job);
    for (auto& [k, steps] : job.open_occurrences())
        for (int s = 0; s < job.steps(); ++s)
        {
            const step_key key{job.id(), k, s};
            m_ready.erase(rank_of(job, key));
            m_unsuited.erase(key);
            m_counts.m_tickets.m_gone += steps[s].m_approval.drop_lapsed(instant::max());
            m_claims.drop(key);
            set_drained(steps[s], {});
        }
    stop_all_tasks(job);
}

step_rank coordinator::rank_of(const job_state& job, const step_key& step)
{
    return {job.record().m_queue.m_priority, job.m_lateness, job.m_rank_time, step};
}

void coordinator::update_ready_steps(job_state& job)
{
    std::vector<int> open;
    for (const auto& [k, steps] : job.open_occurrences())
        open.push_back(k);
    for (const int k : open)
        update_ready_steps(job, k);
}

// One occurrence is enough, as steps depend only on steps of the same occurrence.
void coordinator::update_ready_steps(job_state& job, int occurrence)
{
    if (job.m_outcome || job.next_undone(occurrence) != occurrence)
        return;
    for (int s = 0; s < job.steps(); ++s)
    {
        auto& step = job.step(occurrence, s);
        const step_key key{job.id(), occurrence, s};
        if (step.m_waiting > 0 && job.is_due(occurrence, s, m_unix_ms))
        {
            m_ready.insert(rank_of(job, key), m_jobs.at(job.id()));
            if (step.m_ready_since == instant{})
                step.m_ready_since = m_now;
        }
        else
        {
            m_ready.erase(rank_of(job, key));
            m_claims.drop(key);
            set_drained(step, {});
        }
        if (step.m_done == static_cast<int>(step.m_tasks.size()))
        {
            m_counts.m_tickets.m_gone += step.m_approval.drop_lapsed(instant::max());
            step.m_approval = {};
            m_unsuited.erase(key);
        }
    }
    job.close_if_done(occurrence);
}

// At a load peak, jobs that are late already would make all that come after them late too.
void coordinator::rank_late_jobs()
{
    constexpr duration check_interval = 250ms;
    if (m_now - m_last_lateness_check < check_interval)
        return;
    m_last_lateness_check = m_now;
    std::vector<job_ptr> changed;
    for (std::size_t i = 0; i < m_ready.size(); ++i)
    {
        const auto& job = m_ready.at(i).m_job;
        if (m_now < job->m_later_at)
            continue;
        job->m_later_at = next_lateness_at(*job);
        if (lateness_of(*job, m_now) > job->m_lateness)
            changed.push_back(job);
    }
    for (const auto& job : changed)
    {
        for (int s = 0; s < job->steps(); ++s)
            m_ready.erase(rank_of(*job, {job->id(), 0, s}));
        job->m_lateness = lateness_of(*job, m_now);
        job->m_later_at = next_lateness_at(*job);
        update_ready_steps(*job);
    }
}

void coordinator::apply_due_occurrences()
{
    m_timetable.begin_due(m_unix_ms,
                          [this](const occurrence_key& due) -> std::optional<int>
                          {
                              auto& job = *find(due.m_job);
                              if (!may_open(job, due.m_occurrence))
                                  return std::nullopt;
                              job.mark_due(due.m_occurrence);
                              job.open(due.m_occurrence);
                              update_ready_steps(job, due.m_occurrence);
                              return job.next_undone(due.m_occurrence + 1);
                          });
}

// Each job may have one open occurrence. More of them leave memory to the other jobs, and half of
// the queue of ready steps to new ones.
bool coordinator::may_open(const job_state& job, int occurrence) const
{
    const auto& open = job.open_occurrences();
    return open.empty() || open.count(occurrence) != 0 ||
           (m_memory->fits(job.occurrence_memory()) &&
            m_ready.size() < m_options.m_max_ready_steps / 2);
}

std::string_view coordinator::state_of(const job_id& id, const customer_id& caller) const
{
    if (const auto ended = m_ended.find(id))
    {
        if (!may_access(caller, ended->m_customer))
            return {};
        switch (ended->m_outcome)
        {
        case job_outcome::completed:
            return "completed";
        case job_outcome::failed:
            return "failed";
        case job_outcome::cancelled:
            return "cancelled";
        }
    }
    const job_state* job = find_job(id);
    if (job == nullptr || !job->m_stored || !may_access(caller, job->record().m_customer))
        return {};
    return job->started() ? "running" : "queued";
}

std::int64_t coordinator::waiting(const queue_id& queue) const
{
    return std::count_if(m_jobs.begin(), m_jobs.end(),
                         [&queue](const auto& entry)
                         {
                             const auto& job = *entry.second;
                             return job.m_stored && !job.started() && !job.m_outcome &&
                                    job.record().m_queue.m_name == queue;
                         });
}

} // namespace dragonflygap::cell
