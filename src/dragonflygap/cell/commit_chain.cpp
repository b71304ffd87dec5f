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
    m_sent = std::move(change);
    m_backoff = std::max(m_backoff, m_options.m_first_backoff);
    m_surely_not_done = true;
    m_tries = 1;
    m_retry_at.reset();
    check_later(now);
    m_last = now;
    return *m_sent;
}

const transaction& commit_chain::again(instant now)
{
    ++m_tries;
    m_retry_at.reset();
    check_later(now);
    return *m_sent;
}

void commit_chain::check_later(instant now)
{
    constexpr int patience = 3; // times a usual answer
    m_check_at = now + std::max<duration>(m_options.m_check_after, patience * m_usual_took);
}

void commit_chain::check_sent(instant now)
{
    m_check_at.reset();
    m_check_sent = now;
}

void commit_chain::drop()
{
    m_sent.reset();
    m_retry_at.reset();
    m_check_at.reset();
    --m_record.m_commit;
}

commit_chain::status commit_chain::committed(std::uint64_t version, instant now)
{
    constexpr duration step = 5ms; // a usual answer takes about ten
    m_usual_took = std::min<duration>(now - m_last, m_usual_took * 3 / 2 + step);
    m_backoff = m_options.m_first_backoff;
    m_last_success = now;
    m_version = version;
    m_sent.reset();
    m_retry_at.reset();
    m_check_at.reset();
    return status::committed;
}

commit_chain::status commit_chain::found(const outcome<stored_row>& row, instant now)
{
    if (!row)
    {
        check_later(now);
        return status::pending;
    }
    if (row->m_version != m_version)
    {
        const auto record = unpack<leader_record>(row->m_value);
        return record && *record == m_record ? committed(row->m_version, now) : status::deposed;
    }
    // Not done. A quick answer shows that the store isn't slow: that try is lost, or comes late.
    const bool quick = now - m_check_sent <= m_options.m_check_after;
    if (quick && m_tries < m_options.m_most_tries)
        m_retry_at = now;
    else
        check_later(now);
    return status::pending;
}

commit_chain::status commit_chain::finish(const outcome<transaction_result>& result, instant now)
{
    --m_tries;
    if (!result)
    {
        m_surely_not_done = m_surely_not_done && result.error().m_verdict == verdict::not_run;
        if (m_tries > 0)
            return status::pending;
        const auto again = now + m_backoff;
        m_backoff = std::min(2 * m_backoff, m_options.m_longest_backoff);
        if (m_surely_not_done)
        {
            m_not_before = again;
            drop();
            return status::refused;
        }
        m_retry_at = again;
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
        // An earlier try of this very transaction took effect; its answer was lost.
        return committed(row.m_version, now);
    }
    m_backoff = m_options.m_first_backoff;
    m_last_success = now;
    drop();
    return status::conflict;
}

} // namespace dragonflygap::cell
