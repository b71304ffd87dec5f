#include "dragonflygap/cell/commit_chain.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap::cell
{

namespace
{

const row_name leader_row{std::string(leader_table), std::string(leader_key)};

} // namespace

commit_chain::commit_chain(commit_chain_options options, leader_record self, std::uint64_t version)
    : m_options(options), m_record(std::move(self)), m_version(version)
{
}

const transaction& commit_chain::begin(transaction change, instant now)
{
    ++m_record.m_commit;
    ++m_number;
    change.m_conditions.push_back({leader_row, m_version});
    change.m_writes.push_back({leader_row, pack(m_record)});
    m_in_flight = std::move(change);
    m_backoff = std::max(m_backoff, m_options.m_initial_backoff);
    m_certainly_not_run = true;
    m_attempts_in_flight = 1;
    m_retry_at.reset();
    schedule_check(now);
    m_begun_at = now;
    return *m_in_flight;
}

const transaction& commit_chain::resend(instant now)
{
    ++m_attempts_in_flight;
    m_retry_at.reset();
    schedule_check(now);
    return *m_in_flight;
}

void commit_chain::schedule_check(instant now)
{
    constexpr int latency_factor = 3; // Times the typical latency.
    m_check_at =
        now + std::max<duration>(m_options.m_check_delay, latency_factor * m_typical_latency);
}

void commit_chain::record_check(instant now)
{
    m_check_at.reset();
    m_check_sent_at = now;
}

void commit_chain::drop()
{
    clear();
    --m_record.m_commit;
}

void commit_chain::clear()
{
    m_in_flight.reset();
    m_retry_at.reset();
    m_check_at.reset();
}

commit_chain::status commit_chain::committed(std::uint64_t version, instant now)
{
    constexpr duration latency_step = 5ms; // A typical answer takes about 10 ms.
    m_typical_latency =
        std::min<duration>(now - m_begun_at, m_typical_latency * 3 / 2 + latency_step);
    m_backoff = m_options.m_initial_backoff;
    m_last_success_at = now;
    m_confirmed_at = m_begun_at;
    m_version = version;
    clear();
    return status::committed;
}

commit_chain::status commit_chain::apply_row(const outcome<stored_row>& row, instant now)
{
    if (!row)
    {
        schedule_check(now);
        return status::pending;
    }
    if (row->m_version != m_version)
    {
        const auto record = unpack<leader_record>(row->m_value);
        if (!record || *record != m_record)
            return status::deposed;
        const auto result = committed(row->m_version, now);
        m_confirmed_at = std::max(m_confirmed_at, m_check_sent_at);
        return result;
    }
    m_confirmed_at = std::max(m_confirmed_at, m_check_sent_at);
    // The transaction isn't applied. If the store answered this read quickly, it isn't slow, so the
    // attempt was lost or is delayed: resend it. Otherwise keep waiting.
    const bool quick = now - m_check_sent_at <= m_options.m_check_delay;
    if (quick && m_attempts_in_flight < m_options.m_max_attempts_in_flight)
        m_retry_at = now;
    else
        schedule_check(now);
    return status::pending;
}

commit_chain::status commit_chain::apply_answer(const outcome<transaction_result>& result,
                                                instant now)
{
    --m_attempts_in_flight;
    if (!result && result.error().m_reason == reason::never_fits)
    {
        // The number isn't used again: a row with it would be mistaken for the next transaction.
        clear();
        return status::rejected;
    }
    if (!result)
    {
        m_certainly_not_run = m_certainly_not_run && result.error().m_verdict == verdict::not_run;
        if (m_attempts_in_flight > 0)
            return status::pending;
        const auto next_attempt = now + m_backoff;
        m_backoff = std::min(2 * m_backoff, m_options.m_max_backoff);
        if (m_certainly_not_run)
        {
            m_not_before = next_attempt;
            drop();
            return status::refused;
        }
        m_retry_at = next_attempt;
        return status::retry;
    }
    if (result->m_committed)
        return committed(result->m_version, now);
    for (const auto& row : result->m_conflicts)
    {
        if (row.m_name != leader_row || row.m_version == m_version)
            continue;
        const auto found = unpack<leader_record>(row.m_value);
        if (!found || *found != m_record)
            return status::deposed;
        // An earlier attempt of this transaction took effect, but its answer was lost.
        return committed(row.m_version, now);
    }
    m_backoff = m_options.m_initial_backoff;
    m_last_success_at = now;
    m_confirmed_at = m_begun_at;
    drop();
    return status::conflict;
}

} // namespace dragonflygap::cell
