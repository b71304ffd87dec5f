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
    change.m_conditions.push_back({leader_row, m_version});
    change.m_writes.push_back({leader_row, pack(m_record)});
    m_sent = std::move(change);
    m_backoff = std::max(m_backoff, m_options.m_first_backoff);
    m_surely_not_done = true;
    m_retry_at.reset();
    m_last = now;
    return *m_sent;
}

const transaction& commit_chain::again()
{
    m_retry_at.reset();
    return *m_sent;
}

void commit_chain::drop()
{
    m_sent.reset();
    m_retry_at.reset();
    --m_record.m_commit;
}

commit_chain::status commit_chain::finish(const outcome<transaction_result>& result, instant now)
{
    if (!result)
    {
        m_surely_not_done = m_surely_not_done && result.error().m_verdict == verdict::not_run;
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
    m_backoff = m_options.m_first_backoff;
    m_last_success = now;
    if (result->m_committed)
    {
        m_version = result->m_version;
        m_sent.reset();
        return status::committed;
    }
    for (const auto& row : result->m_conflicts)
    {
        if (row.m_name != leader_row || row.m_version == m_version)
            continue;
        const auto found = unpack<leader_record>(row.m_value);
        if (!found || *found != m_record)
            return status::deposed;
        // An earlier try of this very transaction took effect; its answer was lost.
        m_version = row.m_version;
        m_sent.reset();
        return status::committed;
    }
    drop();
    return status::conflict;
}

} // namespace dragonflygap::cell
