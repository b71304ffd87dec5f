#include <algorithm>
#include <iterator>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/cell/row_split.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

namespace
{

row_name row_of(std::string_view table, const job_id& job)
{
    return {std::string(table), job.m_value};
}

// A call to the store carries names as text and values as base64.
std::size_t encoded_bytes(const transaction& change)
{
    constexpr std::size_t entry_bytes = 100;
    std::size_t bytes = change.entries() * entry_bytes;
    for (const auto& write : change.m_writes)
        bytes += (write.m_value.size() + 2) / 3 * 4;
    return bytes;
}

template <class T>
void append(std::vector<T>& to, std::vector<T>&& from)
{
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

} // namespace

// Adds one job's changes; false if they don't fit into the transaction beside others.
bool coordinator::add_job(job_state& job, transaction& change, batch& contents)
{
    constexpr std::size_t least_entries = 4;
    const bool alone = change.entries() == 0;
    if (!alone && (change.entries() + least_entries > m_options.m_max_entries ||
                   encoded_bytes(change) > m_options.m_max_bytes))
        return false;
    auto added = changes_of(job);
    if (!alone && (change.entries() + added.entries() > m_options.m_max_entries ||
                   encoded_bytes(change) + encoded_bytes(added) > m_options.m_max_bytes))
        return false;
    contents.m_jobs.push_back(job.id());
    job.m_dirty = false;
    append(change.m_conditions, std::move(added.m_conditions));
    append(change.m_writes, std::move(added.m_writes));
    append(change.m_deletes, std::move(added.m_deletes));
    return true;
}

transaction coordinator::changes_of(job_state& job)
{
    transaction change;
    if (!job.m_stored)
        change.m_conditions.push_back({row_of(ended_table, job.id()), 0});
    if (job.m_outcome)
    {
        change.m_writes.push_back(
            {row_of(ended_table, job.id()), pack(ended_record{static_cast<int>(*job.m_outcome)})});
        if (job.m_stored)
        {
            change.m_deletes.push_back(row_of(job_table, job.id()));
            delete_progress(job, 0, change);
        }
    }
    else if (!job.m_stored)
        change.m_writes.push_back({row_of(job_table, job.id()), pack(job.record())});
    else
        add_progress(job, change);
    return change;
}

void coordinator::delete_progress(const job_state& job, std::size_t first, transaction& change)
{
    for (auto i = first; i < std::max<std::size_t>(1, job.m_progress_rows); ++i)
        change.m_deletes.push_back({std::string(progress_table), row_key(job.id().m_value, i)});
}

// A wide step of tasks that checkpoint takes several rows. Ends are stored at once; the rows beyond
// them, with checkpoints alone, only now and then, as they change with each report.
void coordinator::add_progress(job_state& job, transaction& change)
{
    constexpr std::size_t max_rows = 6; // of 1 MB that a transaction may have
    constexpr duration checkpoint_interval = 2s;
    auto progress = job.progress();
    if (job.m_store_without_checkpoints)
        for (auto& task : progress.m_tasks)
            task.m_checkpoint.clear();
    auto packed = pack_progress(progress, max_rows);
    const bool all = packed.m_rows.size() == packed.m_with_ends ||
                     job.m_checkpoints_stored_at == instant{} ||
                     m_now - job.m_checkpoints_stored_at >= checkpoint_interval;
    const auto count = all ? packed.m_rows.size() : packed.m_with_ends;
    for (std::size_t i = 0; i < count; ++i)
        change.m_writes.push_back({{std::string(progress_table), row_key(job.id().m_value, i)},
                                   std::move(packed.m_rows[i])});
    if (all)
    {
        delete_progress(job, count, change);
        job.m_checkpoints_stored_at = m_now;
    }
    job.m_progress_rows = std::max(job.m_progress_rows, count);
}

// Adds the changes of as many jobs as fit, or of one that the store refused before.
void coordinator::add_jobs(transaction& change, batch& contents)
{
    std::erase_if(m_refused, [this](const job_id& id) { return find(id) == nullptr; });
    for (const auto& id : m_refused)
        if (auto& job = *find(id); m_now >= job.m_store_not_before && m_dirty.count(id) != 0)
        {
            if (add_job(job, change, contents))
                m_dirty.erase(id);
            return;
        }
    std::vector<job_id> added;
    for (const auto& id : m_dirty)
    {
        if (m_refused.count(id) != 0)
            continue;
        job_state* job = find(id);
        if (job != nullptr &&
            (contents.m_jobs.size() >= m_max_jobs || !add_job(*job, change, contents)))
            break;
        added.push_back(id);
    }
    for (const auto& id : added)
        m_dirty.erase(id);
}

void coordinator::build_commit()
{
    if (const auto retry_at = m_chain.retry_at(); retry_at && m_now >= *retry_at)
    {
        log_event(log_level::info, "commit_tried_again",
                  {{"commit", m_chain.record().m_commit}, {"store_age_ms", to_ms(store_age())}});
        m_actions->push_back(send_commit{m_chain.number(), m_chain.resend(m_now)});
        return;
    }
    if (const auto check = m_chain.check_at(); check && m_now >= *check)
    {
        m_chain.record_check(m_now);
        m_actions->push_back(read_leader_row{m_chain.number()});
        return;
    }
    const bool changed = !m_dirty.empty() || m_workers_dirty;
    if (!((changed || awaits_confirmation()) && m_chain.idle(m_now)) && !m_chain.due(m_now))
        return;
    transaction change;
    batch contents;
    if (m_workers_dirty && m_now >= m_workers_not_before)
        store_workers(change, contents);
    // While a transaction that the store rejected is taken apart, the workers go alone.
    if (!contents.m_workers || m_max_jobs == all_jobs)
        add_jobs(change, contents);
    // Jobs that the store refused wait before they are sent again.
    if (contents.m_jobs.empty() && !contents.m_workers && changed && !m_dirty.empty() &&
        !m_chain.due(m_now))
        return;
    // All changes caused by the ends seen so far are in this transaction or an earlier one.
    if (m_dirty.empty())
        for (const auto& [id, worker] : m_workers)
            if (worker.m_ends_seen > worker.m_ends_stored)
                contents.m_ends[id] = {worker.m_started_at, worker.m_ends_seen};
    m_batch = std::move(contents);
    const auto& sent = m_chain.begin(std::move(change), m_now);
    m_actions->push_back(send_commit{m_chain.number(), sent});
}

void coordinator::on(const commit_answered& event)
{
    if (!m_chain.expects(event.m_number))
        return; // Another attempt of that transaction was answered before.
    const auto status = m_chain.apply_answer(event.m_result, m_now);
    if (status == commit_chain::status::committed && event.m_result->m_clock_ms != 0)
    {
        m_store_clock_ms = event.m_result->m_clock_ms;
        m_store_clock_at = m_chain.confirmed_at();
    }
    if (status == commit_chain::status::conflict)
        drop_duplicates(*event.m_result);
    apply_commit_status(status);
}

void coordinator::on(const leader_row_read& event)
{
    if (m_chain.expects(event.m_number))
        apply_commit_status(m_chain.apply_row(event.m_row, m_now));
}

void coordinator::apply_commit_status(commit_chain::status status)
{
    switch (status)
    {
    case commit_chain::status::committed:
        committed();
        break;
    case commit_chain::status::deposed:
        m_deposed = true;
        m_actions->push_back(step_down{"another VM has written the leader row"});
        return;
    case commit_chain::status::refused:
        requeue();
        break;
    case commit_chain::status::rejected:
        take_apart();
        break;
    case commit_chain::status::conflict:
    case commit_chain::status::retry:
    case commit_chain::status::pending:
        break;
    }
    build_commit();
}

void coordinator::committed()
{
    const batch contents = std::exchange(m_batch, std::nullopt).value_or(batch{});
    if (!contents.m_jobs.empty())
        m_max_jobs = m_max_jobs >= m_options.m_max_entries ? all_jobs : 2 * m_max_jobs;
    for (const auto& id : contents.m_jobs)
    {
        job_state* job = find(id);
        if (job == nullptr)
            continue;
        job->m_store_refusals = 0;
        m_refused.erase(id);
        const bool accepted_now = !job->m_stored;
        job->m_stored = true;
        if (job->m_outcome && m_dirty.count(id) == 0)
        {
            m_ended[id] = {*job->m_outcome, m_now};
            answer_calls(*job, call_status::accepted);
            m_jobs.erase(id);
            continue;
        }
        if (accepted_now)
            update_ready_steps(*job); // It may be placed now.
        // A cancellation that arrived meanwhile is answered by its own transaction.
        if (accepted_now && !job->m_outcome)
            answer_calls(*job, call_status::accepted);
    }
    allow_used_workers(contents);
    for (const auto& [id, ends] : contents.m_ends)
    {
        auto* worker = find_worker(id);
        if (worker == nullptr || worker->m_started_at != ends.m_started_at ||
            ends.m_highest < worker->m_ends_stored)
            continue;
        worker->m_ends_stored = ends.m_highest;
        worker->m_next_renewal = m_now;
    }
}

// The last transaction had no effect: its changes go into the next one.
void coordinator::requeue()
{
    const batch contents = std::exchange(m_batch, std::nullopt).value_or(batch{});
    for (const auto& id : contents.m_jobs)
        if (find(id) != nullptr)
            m_dirty.insert(id);
    m_workers_dirty = m_workers_dirty || contents.m_workers;
}

// The store will never accept the last transaction. The next ones have ever fewer jobs, until the
// one that can't be stored stands alone.
void coordinator::take_apart()
{
    const batch contents = m_batch.value_or(batch{});
    log_event(log_level::error, "commit_rejected",
              {{"jobs", contents.m_jobs.size()}, {"workers", contents.m_workers}});
    requeue();
    if (contents.m_jobs.size() == 1 && !contents.m_workers)
        return give_way(contents.m_jobs.front());
    constexpr duration workers_retry = 1s;
    if (contents.m_jobs.empty() && contents.m_workers)
        m_workers_not_before = m_now + workers_retry;
    m_max_jobs = std::max<std::size_t>(1, contents.m_jobs.size() / 2);
}

// Lets the others pass a job that the store refuses. Without checkpoints it may be accepted; at the
// worst it fails, as nothing that happens to it can be kept.
void coordinator::give_way(const job_id& id)
{
    constexpr duration first_retry = 250ms;
    constexpr duration longest_retry = 8s;
    constexpr int max_refusals = 6;
    job_state* job = find(id);
    if (job == nullptr)
        return;
    // If the store refuses even the leader's own row, it isn't the job.
    if (job->m_store_refusals == 0 || m_chain.last_success_at() > job->m_store_refused_at)
        ++job->m_store_refusals;
    job->m_store_refused_at = m_now;
    m_refused.insert(id);
    log_event(log_level::error, "job_not_stored",
              {{"job", id.m_value},
               {"refusals", job->m_store_refusals},
               {"accepted", job->m_stored},
               {"progress_rows", job->m_progress_rows}});
    if (!job->m_stored)
    {
        m_customer_counts.add_rejected(job->record().m_customer, rejection_cause::not_stored);
        answer_calls(*job, call_status::rejected);
        end_job(*job, job_outcome::cancelled);
        m_dirty.erase(id);
        m_jobs.erase(id);
        return;
    }
    const bool had_checkpoints = !std::exchange(job->m_store_without_checkpoints, true);
    if (had_checkpoints && !job->m_outcome)
        return;
    job->m_store_not_before =
        m_now + std::min(longest_retry, first_retry * (1 << std::min(job->m_store_refusals, 8)));
    if (job->m_store_refusals >= max_refusals && !job->m_outcome)
    {
        end_job(*job, job_outcome::failed);
        job->m_store_not_before = {};
    }
}

// While the store is unavailable, rejects jobs that were never sent to it, or only in transactions
// without effect: they aren't stored and will never run.
void coordinator::reject_unstored()
{
    if (!store_unavailable())
        return;
    std::vector<job_state*> rejected;
    for (const auto& id : m_dirty)
        if (job_state* job = find(id); job != nullptr && !job->m_stored && !in_flight(id))
            rejected.push_back(job);
    for (job_state* job : rejected)
    {
        const auto id = job->id();
        log_event(log_level::info, "job_rejected",
                  {{"job", id.m_value},
                   {"cause", "store_unavailable"},
                   {"store_age_ms", to_ms(store_age())}});
        m_customer_counts.add_rejected(job->record().m_customer,
                                       rejection_cause::store_unavailable);
        answer_calls(*job, call_status::rejected);
        end_job(*job, job_outcome::cancelled);
        m_dirty.erase(id);
        m_jobs.erase(id);
    }
}

bool coordinator::in_flight(const job_id& job) const
{
    return m_batch &&
           std::find(m_batch->m_jobs.begin(), m_batch->m_jobs.end(), job) != m_batch->m_jobs.end();
}

void coordinator::drop_duplicates(const transaction_result& result)
{
    const batch contents = std::exchange(m_batch, std::nullopt).value_or(batch{});
    std::set<std::string> known;
    for (const auto& row : result.m_conflicts)
        if (row.m_name.m_table == ended_table && row.m_version != 0)
            known.insert(row.m_name.m_key);
    for (const auto& id : contents.m_jobs)
    {
        job_state* job = find(id);
        if (job == nullptr)
            continue;
        if (known.count(id.m_value) == 0)
        {
            m_dirty.insert(id);
            continue;
        }
        // The job ended under an earlier leader; this is a late duplicate of its submission.
        log_event(log_level::info, "submission_repeated", {{"job", id.m_value}});
        answer_calls(*job, call_status::accepted);
        end_job(*job, job_outcome::cancelled);
        m_dirty.erase(id);
        m_jobs.erase(id);
    }
    m_workers_dirty = m_workers_dirty || contents.m_workers;
}

void coordinator::expire_calls()
{
    constexpr duration trim_interval = 5s;
    if (m_now - m_last_trim > trim_interval)
    {
        m_last_trim = m_now;
        std::erase_if(m_ended, [this](const auto& entry)
                      { return m_now - entry.second.second > m_options.m_ended_retention; });
    }
    for (auto entry = m_calls.begin(); entry != m_calls.end();)
    {
        std::erase_if(entry->second,
                      [this](const open_call& call)
                      {
                          if (m_now - call.m_since < m_options.m_call_timeout)
                              return false;
                          m_actions->push_back(answer_call{call.m_call, call_status::unknown});
                          return true;
                      });
        entry = entry->second.empty() ? m_calls.erase(entry) : std::next(entry);
    }
}

} // namespace dragonflygap::cell
