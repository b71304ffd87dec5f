#include "dragonflygap/net/connection_pool.hpp"

#include <algorithm>
#include <utility>

namespace dragonflygap
{

void connection_pool::abort(std::unique_ptr<client_connection> aborted, http_client_counts& counts)
{
    aborted->reset();
    close(std::move(aborted), counts);
}

void connection_pool::close(std::unique_ptr<client_connection> closed, http_client_counts& counts)
{
    --m_open_count;
    counts.m_failed += closed->m_answered ? 0 : 1;
}

std::unique_ptr<client_connection> connection_pool::take_idle()
{
    if (m_idle.empty())
        return nullptr;
    auto newest = std::move(m_idle.back());
    m_idle.pop_back();
    return newest;
}

void connection_pool::close_unused_since(instant since, http_client_counts& counts)
{
    const auto usable = [since](const std::unique_ptr<client_connection>& idle)
    { return idle->m_idle_since > since && idle->socket() >= 0; };
    const auto unused = std::stable_partition(m_idle.begin(), m_idle.end(), usable);
    for (auto closed = unused; closed != m_idle.end(); ++closed)
    {
        close(std::move(*closed), counts);
        ++counts.m_closed_idle;
    }
    m_idle.erase(unused, m_idle.end());
}

void connection_pool::close_oldest_idle(http_client_counts& counts)
{
    if (m_idle.empty())
        return;
    close(std::move(m_idle.front()), counts);
    m_idle.erase(m_idle.begin());
}

} // namespace dragonflygap
