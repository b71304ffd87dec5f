#include "dragonflygap/cell/change_watch.hpp"

#include <algorithm>

namespace dragonflygap::cell
{

std::optional<table_read> change_watch::next(instant now)
{
    if (now < m_not_before)
        return std::nullopt;
    if (m_reads.empty())
    {
        const bool waits = m_overdue == 0 && !m_read_all && m_rows_behind == 0;
        if (waits && now < m_sent_at + m_options.m_min_interval)
            return std::nullopt;
        return send(waits ? m_options.m_wait : duration{}, m_overdue > 0, now);
    }
    const auto& latest = m_reads.rbegin()->second;
    constexpr int max_doublings = 2;
    const auto usual_delay =
        latest.m_position == 0 ? m_options.m_full_read_time : m_options.m_answer_delay;
    const auto answer_delay = usual_delay * (1 << std::min(m_overdue, max_doublings));
    if (m_reads.size() >= m_options.m_max_reads || now < latest.m_at + latest.m_wait + answer_delay)
        return std::nullopt;
    ++m_overdue;
    return send({}, true, now);
}

table_read change_watch::send(duration wait, bool new_connection, instant now)
{
    const auto position = m_read_all ? 0 : m_position;
    m_sent_at = now;
    m_reads[++m_last_read] = {now, wait, position};
    return {.m_number = m_last_read,
            .m_position = position,
            .m_wait = wait,
            .m_timeout = wait + m_options.m_timeout,
            .m_new_connection = new_connection};
}

bool change_watch::answered(std::uint64_t read, const read_extent& extent, instant now)
{
    const auto found = m_reads.find(read);
    if (found == m_reads.end())
        return false;
    const auto sent = found->second;
    m_reads.erase(found);
    m_overdue = 0;
    if (extent.m_position == 0)
    {
        // An empty table, or history that the store no longer has.
        if (sent.m_position == 0 || sent.m_position == m_position)
        {
            m_read_all = true;
            m_not_before = now + m_options.m_retry_delay;
        }
        return false;
    }
    // Rows before the answer's position may have been removed since, if the read began elsewhere.
    const bool known =
        extent.m_position < m_position || (extent.m_position == m_position && !extent.m_up_to_date);
    if (known)
        return false;
    m_position = extent.m_position;
    ++m_counts.m_answers;
    m_counts.m_rows += extent.m_rows;
    m_counts.m_parts += extent.m_up_to_date ? 0 : 1;
    m_counts.m_full_reads += sent.m_position == 0 ? 1 : 0;
    if (sent.m_position == 0)
        m_table_rows = extent.m_rows;
    if (!extent.m_up_to_date)
    {
        read_on(extent.m_rows);
        return true;
    }
    m_read_all = false;
    m_rows_behind = 0;
    m_confirmed_at = std::max(m_confirmed_at, sent.m_at);
    return true;
}

// How much history is left isn't known, but the table has no more rows than the last time. So a
// reader that is behind reads at most twice the rows of the table, however late it is.
void change_watch::read_on(std::size_t rows)
{
    m_rows_behind += rows;
    m_read_all = m_read_all || m_rows_behind >= m_table_rows;
}

void change_watch::failed(std::uint64_t read, bool refused, instant now)
{
    const auto found = m_reads.find(read);
    if (found == m_reads.end())
        return;
    // Not at once, as a store that resets connections would get a flood of new ones.
    const auto since = refused ? now : found->second.m_at;
    m_not_before = std::max(m_not_before, since + m_options.m_retry_delay);
    m_reads.erase(found);
    if (m_reads.empty())
        ++m_overdue;
}

} // namespace dragonflygap::cell
