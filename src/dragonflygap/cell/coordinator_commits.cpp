#include <algorithm>
#include <utility>

#include "dragonflygap/cell/coordinator.hpp"
#include "dragonflygap/observe/log.hpp"

namespace dragonflygap::cell
{

namespace
{

row_name row_of(std::string_view table, const job_id& job)
{
    return {std::string(table), job.m_value};
}

std::size_t bytes_of(const transaction& change)
{
    std::size_t bytes = 0;
    for (const auto& write : change.m_writes)
        bytes += write.m_value.size();
    return bytes;
}

} // namespace

bool coordinator::store_unavailable() const
{
    // Without changes the leader's row is still rewritten several times within this timeout.
    return store_age() > m_options.m_store_timeout;
}

duration coordinator::store_age() const
{
    return m_now - std::max(m_chain.last_success_at(), m_taken_over_at);
}

// Without this, a successor may count on it that the worker's leases run out.
bool coordinator::leadership_confirmed() const
{
    return m_now - std::max(m_chain.confirmed_at(), m_elected_at) <
           m_options.m_renewal_store_timeout;
}

// Adds one job's changes; false if they don't fit into the transaction.
bool coordinator::add_job(job_state& job, transaction& change, batch& contents)
{
    constexpr std::size_t max_entries_per_job = 4;
    if (change.entries() + max_entries_per_job > m_options.m_max_entries ||
        bytes_of(change) > m_options.m_max_bytes)
        return false;
    contents.m_jobs.push_back(job.id());
    if (!job.m_stored)
        change.m_conditions.push_back({row_of(ended_table, job.id()), 0});
    if (job.m_outcome)
    {
        change.m_writes.push_back(
            {row_of(ended_table, job.id()), pack(ended_record{static_cast<int>(*job.m_outcome)})});
        if (job.m_stored)
        {
            change.m_deletes.push_back(row_of(job_table, job.id()));
            change.m_deletes.push_back(row_of(progress_table, job.id()));
        }
    }
    else if (!job.m_stored)
        change.m_writes.push_back({row_of(job_table, job.id()), pack(job.record())});
    else
        change.m_writes.push_back({row_of(progress_table, job.id()), pack(job.progress())});
    return true;
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
    if (!(changed && m_chain.idle(m_now)) && !m_chain.due(m_now))
        return;
    transaction change;
    batch contents;
    std::vector<job_id> added;
    for (const auto& id : m_dirty)
    {
        job_state* job = find(id);
        if (job != nullptr && !add_job(*job, change, contents))
            break;
        added.push_back(id);
        if (job != nullptr)
            job->m_dirty = false;
    }
    for (const auto& id : added)
        m_dirty.erase(id);
    if (m_workers_dirty)
        store_workers(change, contents);
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
    for (const auto& id : contents.m_jobs)
    {
        job_state* job = find(id);
        if (job == nullptr)
            continue;
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
